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
 * answers such questions. If another process listens there, the owner has ended: an address belongs
 * to one machine, on which two processes can't listen there, and the question is asked after the
 * term began. So the owner had ended before that process took the address.
 */
final class PeerTermProbe
{
    private static final int TIMEOUT_MILLIS = 400;
    /** Factor by which clocks of boxes may run at different rates. */
    private static final double MAX_CLOCK_DRIFT_FACTOR = 1.02;

    private final String box;
    private final String ownAddress;
    private final PeerDirectory directory;
    /**
     * Monotonic time since which no other process listens at the address of this one; empty until this
     * one listens there.
     */
    private volatile OptionalLong listeningNanos = OptionalLong.empty();

    /**
     * @param box id of this box
     * @param ownAddress address at which this box listens for calls of other boxes
     * @param directory links to other boxes
     */
    PeerTermProbe(String box, String ownAddress, PeerDirectory directory)
    {
        this.box = box;
        this.ownAddress = ownAddress;
        this.directory = directory;
    }

    /**
     * Records that this process listens at its address.
     *
     * @param claimNanos monotonic time since which no other process listens there
     */
    void onListening(long claimNanos)
    {
        listeningNanos = OptionalLong.of(claimNanos);
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
            return term.box().equals(box) ? OptionalLong.of(SteadyClock.nanos()) : listeningNanos;
        }
        TermCall call = TermCall.newBuilder().setOwner(term.box()).setFence(term.fence()).build();
        try
        {
            TermReply reply = directory.link(term.address())
                    .call(Frame.newBuilder().setTerm(call), TIMEOUT_MILLIS).getTermReply();
            return reply.getEnded()
                    ? OptionalLong.of(toLocalNanos(reply.getEndedMillis()))
                    : OptionalLong.empty();
        }
        catch (GaugehollowException e)
        {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns the monotonic time of an event at another box, at the latest.
     *
     * @param elapsedMillis time since the event by the clock of the other box, as of its reply
     */
    static long toLocalNanos(long elapsedMillis)
    {
        double ageMillis = elapsedMillis / MAX_CLOCK_DRIFT_FACTOR;
        return SteadyClock.nanos() - TimeUnit.MILLISECONDS.toNanos((long) ageMillis);
    }

    /**
     * Returns the monotonic time since which no other process listens at the address of this one; empty
     * until this one listens there.
     */
    OptionalLong listeningNanos()
    {
        return listeningNanos;
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
        OptionalLong listening = listeningNanos;
        if (call.getOwner().equals(box))
        {
            reply.setEnded(endReplacedTerm.test(call.getFence()));
        }
        else if (listening.isPresent())
        {
            long listeningMillis = TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - listening.getAsLong());
            reply.setEnded(true).setEndedMillis(listeningMillis);
        }
        return Frame.newBuilder().setTermReply(reply);
    }
}
