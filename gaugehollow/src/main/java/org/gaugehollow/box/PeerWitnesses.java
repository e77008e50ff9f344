/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.generated.PeerProtocol.EndVouchingCall;
import org.gaugehollow.peer.generated.PeerProtocol.EndVouchingReply;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.VouchCall;
import org.gaugehollow.peer.generated.PeerProtocol.VouchReply;
import org.gaugehollow.schedule.Witnesses;
import org.gaugehollow.time.SteadyClock;

/**
 * Asks other boxes to vouch for this one, and vouches for others. What this box has promised is
 * kept in memory: a process that starts at an address has vouched for nobody, and the one before it
 * there has ended.
 */
final class PeerWitnesses implements Witnesses
{
    private static final int TIMEOUT_MILLIS = 300;

    private final String ownAddress;
    private final String hall;
    private final PeerDirectory directory;
    private final Supplier<List<String>> registeredAddresses;
    /** Monotonic time since which no other process listens at the address of this one, if known. */
    private final Supplier<OptionalLong> listeningNanos;
    /** Fencing token of the earliest term for which this box may vouch. */
    private long earliestFence;
    private OptionalLong lastVouchNanos = OptionalLong.empty();

    /**
     * @param ownAddress address at which this box listens for calls of other boxes
     * @param hall data hall of this box
     * @param directory links to other boxes
     * @param registeredAddresses returns the addresses of the other registered boxes
     * @param listeningNanos returns the monotonic time since which no other process listens at the
     *            address of this one, if it listens there
     */
    PeerWitnesses(String ownAddress, String hall, PeerDirectory directory,
            Supplier<List<String>> registeredAddresses, Supplier<OptionalLong> listeningNanos)
    {
        this.ownAddress = ownAddress;
        this.hall = hall;
        this.directory = directory;
        this.registeredAddresses = registeredAddresses;
        this.listeningNanos = listeningNanos;
    }

    @Override
    public List<String> candidates()
    {
        return registeredAddresses.get();
    }

    @Override
    public Vouch vouch(String address, long fence) throws InterruptedException
    {
        try
        {
            VouchReply reply = call(address,
                    Frame.newBuilder().setVouch(VouchCall.newBuilder().setFence(fence))).getVouchReply();
            return new Vouch(true, reply.getVouches(), reply.getHall().equals(hall));
        }
        catch (GaugehollowException e)
        {
            return Vouch.NONE;
        }
    }

    @Override
    public OptionalLong endVouching(String address, long fence) throws InterruptedException
    {
        if (address.equals(ownAddress))
        {
            return endVouching(fence);
        }
        try
        {
            EndVouchingReply reply = call(address,
                    Frame.newBuilder().setEndVouching(EndVouchingCall.newBuilder().setFence(fence)))
                    .getEndVouchingReply();
            return OptionalLong.of(PeerTermProbe.toLocalNanos(reply.getQuietMillis()));
        }
        catch (GaugehollowException e)
        {
            return OptionalLong.empty();
        }
    }

    private Frame call(String address, Frame.Builder call) throws InterruptedException
    {
        return directory.link(address).call(call, TIMEOUT_MILLIS);
    }

    /** Answers an owner that asks this box to vouch for its term. */
    synchronized Frame.Builder handle(VouchCall call)
    {
        boolean vouches = call.getFence() >= earliestFence;
        if (vouches)
        {
            lastVouchNanos = OptionalLong.of(SteadyClock.nanos());
        }
        return Frame.newBuilder().setVouchReply(VouchReply.newBuilder().setVouches(vouches).setHall(hall));
    }

    /**
     * Answers a new owner that asks this box to vouch no longer for earlier terms.
     *
     * @throws GaugehollowException {@code PEER_BAD_CALL} if another process may still listen at the
     *             address of this one
     */
    Frame.Builder handle(EndVouchingCall call)
    {
        long sinceNanos = endVouching(call.getFence()).orElseThrow(
                () -> new GaugehollowException(ResultCode.PEER_BAD_CALL, "this box does not listen yet"));
        long quietMillis = TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - sinceNanos);
        return Frame.newBuilder()
                .setEndVouchingReply(EndVouchingReply.newBuilder().setQuietMillis(Math.max(0, quietMillis)));
    }

    private synchronized OptionalLong endVouching(long fence)
    {
        earliestFence = Math.max(earliestFence, fence);
        OptionalLong listening = listeningNanos.get();
        return listening.isPresent() && lastVouchNanos.isPresent()
                ? OptionalLong.of(Math.max(listening.getAsLong(), lastVouchNanos.getAsLong()))
                : listening;
    }
}
