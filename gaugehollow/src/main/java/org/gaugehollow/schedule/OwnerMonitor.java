/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Detects that the cell's owner is dead or has lost the store before its lease ends. An
 * unresponsive owner counts as dead only if it is unresponsive to most of the registered boxes, so
 * an isolated box never takes over. A wrong suspicion only costs a change of owner, because workers
 * and store reject the old owner.
 */
public final class OwnerMonitor
{
    /**
     * Minimum time for which the owner holds each probe. Longer holds reduce the load of idle boxes but
     * delay the detection of a dead owner.
     */
    private static final int MIN_HOLD_MILLIS = 250;
    /**
     * Hold time per box in large cells. Bounds the rate of probes that the owner answers to about 100
     * per second, regardless of the number of boxes.
     */
    private static final int HOLD_MILLIS_PER_BOX = 10;
    private static final int RETRY_MILLIS = 50;
    /** Time at the start of a term in which the owner isn't suspected, while it restores its state. */
    private static final long GRACE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * Time without an answer of the store to a renewal after which an owner is suspected; it renews
     * several times as often.
     */
    private static final long MAX_UNRENEWED_MILLIS = 750;
    /** Number of consecutive probes denying ownership after which the owner counts as unresponsive. */
    private static final int DENIAL_THRESHOLD = 3;

    private final OwnerProbe probe;
    private final BooleanSupplier isStoreStable;
    private final Predicate<String> isOutranked;
    private final LongSupplier nanoTime;
    private volatile String unresponsiveOwner = "";
    private ObservedTerm observedTerm = ObservedTerm.NONE;

    /**
     * @param probe queries other boxes
     * @param isStoreStable returns whether the store has answered this box without failures for a while
     * @param isOutranked returns whether boxes other than the given one take over before this box,
     *            which then doesn't query the other boxes
     * @param nanoTime monotonic clock, in nanoseconds
     */
    public OwnerMonitor(OwnerProbe probe, BooleanSupplier isStoreStable, Predicate<String> isOutranked,
            LongSupplier nanoTime)
    {
        this.probe = probe;
        this.isStoreStable = isStoreStable;
        this.isOutranked = isOutranked;
        this.nanoTime = nanoTime;
    }

    /**
     * Returns whether a box is the owner as far as this box knows, but doesn't answer it.
     *
     * @param owner id of a box
     * @return whether that box is an unresponsive owner
     */
    public boolean isOwnerUnresponsive(String owner)
    {
        return unresponsiveOwner.equals(owner);
    }

    /**
     * Records that a box owns the cell, unless it is known.
     *
     * @param owner id of the owner
     * @param fence fencing token of its term
     * @return the term, with the time at which it was first observed
     */
    synchronized ObservedTerm observe(String owner, long fence)
    {
        if (observedTerm.fence() != fence)
        {
            observedTerm = new ObservedTerm(fence, owner, nanoTime.getAsLong());
        }
        return observedTerm;
    }

    /**
     * Waits until the owner should be replaced by another box.
     *
     * @param owner id of the owner
     * @param term the owner's term; the grace period applies once per term
     * @return the reason, for the log
     * @throws InterruptedException if the thread is interrupted
     */
    String awaitSuspicion(String owner, long term) throws InterruptedException
    {
        long startNanos = observe(owner, term).firstSeenNanos();
        int deniedProbes = 0;
        try
        {
            while (true)
            {
                OwnerProbe.Result result = probe.probe(owner, owner, holdMillis());
                deniedProbes = result.reached() && !result.owner() ? deniedProbes + 1 : 0;
                boolean isResponsive = result.reached() && deniedProbes < DENIAL_THRESHOLD;
                unresponsiveOwner = isResponsive || !probe.peers().contains(owner) ? "" : owner;
                if (nanoTime.getAsLong() - startNanos > GRACE_PERIOD_NANOS)
                {
                    String reason = suspicionReason(owner, result);
                    if (reason != null)
                    {
                        return reason;
                    }
                }
                if (!result.owner())
                {
                    Thread.sleep(RETRY_MILLIS);
                }
            }
        }
        finally
        {
            unresponsiveOwner = "";
        }
    }

    /** Returns the reason to replace the owner, or null. */
    private String suspicionReason(String owner, OwnerProbe.Result result) throws InterruptedException
    {
        boolean isUnrenewed = result.owner() && result.unrenewedMillis() > MAX_UNRENEWED_MILLIS;
        if (isUnrenewed && isStoreStable.getAsBoolean())
        {
            return "not confirmed by the store for " + result.unrenewedMillis() + " ms";
        }
        boolean isDead = isOwnerUnresponsive(owner) && !isOutranked.test(owner)
                && isUnresponsiveToMajority(owner);
        return isDead ? "unresponsive to most boxes" : null;
    }

    private int holdMillis()
    {
        return Math.max(MIN_HOLD_MILLIS, HOLD_MILLIS_PER_BOX * probe.peers().size());
    }

    /**
     * Returns whether the owner is unresponsive to most of the registered boxes. All boxes are queried
     * in parallel, so that unreachable ones don't delay the result.
     */
    private boolean isUnresponsiveToMajority(String owner) throws InterruptedException
    {
        List<String> others = probe.peers().stream().filter(peer -> !peer.equals(owner)).toList();
        BlockingQueue<Boolean> answers = new LinkedBlockingQueue<>();
        List<Thread> probes = others.stream().map(peer -> probeInBackground(peer, owner, answers)).toList();
        try
        {
            int boxCount = others.size() + 1;
            int unresponsiveCount = 1;
            int pendingCount = others.size();
            while (pendingCount > 0 && unresponsiveCount * 2 <= boxCount
                    && (unresponsiveCount + pendingCount) * 2 > boxCount)
            {
                unresponsiveCount += answers.take() ? 1 : 0;
                pendingCount--;
            }
            return boxCount > 1 && unresponsiveCount * 2 > boxCount;
        }
        finally
        {
            probes.forEach(Thread::interrupt);
        }
    }

    /**
     * Queries a box in the background. A box that doesn't answer counts as one that reaches the owner.
     */
    private Thread probeInBackground(String peer, String owner, BlockingQueue<Boolean> answers)
    {
        return OwnerTerm.inBackground("owner-word-" + peer, () ->
        {
            boolean isUnresponsive = false;
            try
            {
                isUnresponsive = probe.probe(peer, owner, 0).ownerUnresponsive();
            }
            finally
            {
                answers.add(isUnresponsive);
            }
        });
    }
}
