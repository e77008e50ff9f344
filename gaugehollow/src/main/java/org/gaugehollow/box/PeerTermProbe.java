/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.TermCall;
import org.gaugehollow.peer.generated.PeerProtocol.TermReply;
import org.gaugehollow.schedule.OwnerElection;
import org.gaugehollow.schedule.PreviousTerm;
import org.gaugehollow.time.SteadyClock;

/**
 * Asks the process at the address of an earlier owner whether that owner's term is over, and
 * answers such questions. If another process listens there, the owner has ended: two processes
 * can't listen at one address, and the question is asked after the term began. So the owner had
 * ended before that process started.
 */
final class PeerTermProbe
{
    private static final int TIMEOUT_MILLIS = 400;
    /** Factor by which clocks of boxes may run at different rates. */
    private static final double MAX_CLOCK_DRIFT_FACTOR = 1.02;

    private final String box;
    private final String ownAddress;
    private final long startNanos;
    private final PeerDirectory directory;

    /**
     * @param box id of this box
     * @param ownAddress address at which this box listens for calls of other boxes
     * @param startNanos monotonic time at which this process had started
     * @param directory links to other boxes
     */
    PeerTermProbe(String box, String ownAddress, long startNanos, PeerDirectory directory)
    {
        this.box = box;
        this.ownAddress = ownAddress;
        this.startNanos = startNanos;
        this.directory = directory;
    }

    /**
     * Returns the monotonic time since which no commands of a term are sent, or empty if that isn't
     * known. The term must be one that another term has replaced.
     */
    OptionalLong endNanos(PreviousTerm term) throws InterruptedException
    {
        if (term.address().equals(ownAddress))
        {
            // A box serves one term at a time.
            return OptionalLong.of(term.box().equals(box) ? SteadyClock.nanos() : startNanos);
        }
        TermCall call = TermCall.newBuilder().setOwner(term.box()).setFence(term.fence()).build();
        try
        {
            TermReply reply = directory.link(term.address())
                    .call(Frame.newBuilder().setTerm(call), TIMEOUT_MILLIS).getTermReply();
            return reply.getEnded() ? OptionalLong.of(toLocalNanos(reply)) : OptionalLong.empty();
        }
        catch (GaugehollowException e)
        {
            return OptionalLong.empty();
        }
    }

    private static long toLocalNanos(TermReply reply)
    {
        double ageMillis = reply.getEndedMillis() / MAX_CLOCK_DRIFT_FACTOR;
        return SteadyClock.nanos() - TimeUnit.MILLISECONDS.toNanos((long) ageMillis);
    }

    /**
     * Answers a question of the present owner.
     *
     * @param call the question
     * @param endReplacedTerm ends a term of this box and returns whether it is over, see
     *            {@link OwnerElection#endReplacedTerm}
     */
    Frame.Builder handle(TermCall call, LongPredicate endReplacedTerm)
    {
        TermReply.Builder reply = TermReply.newBuilder();
        if (call.getOwner().equals(box))
        {
            reply.setEnded(endReplacedTerm.test(call.getFence()));
        }
        else
        {
            reply.setEnded(true)
                    .setEndedMillis(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos));
        }
        return Frame.newBuilder().setTermReply(reply);
    }
}
