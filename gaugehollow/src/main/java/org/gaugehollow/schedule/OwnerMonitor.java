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
 * Finds out early that the cell's owner is dead or has lost the store, before its lease ends. An
 * owner that does not answer counts as dead only if most of the registered boxes do not hear from
 * it either: a box that is cut off from the others never takes over for that reason. A wrong
 * suspicion costs a change of owner and no more, because workers and store refuse the old owner.
 */
public final class OwnerMonitor
{
    /**
     * How long the owner holds each call at least. Calls are what an idle box spends most on: with a
     * hold of 1.5 s in place of 0.15 s, seven idle boxes took 15.8 s of processor time in place of 19.6
     * s from their start to the 15th second (one run each). An owner that is silent is noticed 0.45 s
     * after the end of the hold at the latest.
     */
    private static final int SHORTEST_HOLD_MILLIS = 250;
    /**
     * How much longer it holds them for each box, so that it answers some 100 calls a second however
     * many boxes there are; with a hold of 0.15 s it answers 300 in a cell of 47 boxes.
     */
    private static final int HOLD_MILLIS_A_BOX = 10;
    private static final int RETRY_MILLIS = 50;
    /**
     * How long a term is left alone at its begin, while the new owner reads and looks at everything.
     */
    private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** An owner renews several times as often. */
    private static final long UNCONFIRMED_MILLIS = 750;
    private static final int DENIALS = 3;

    private final OwnerProbe probe;
    private final BooleanSupplier storeIsSteady;
    private final Predicate<String> isOutranked;
    private final LongSupplier nanoTime;
    private volatile String silentOwner = "";
    private long graceTerm;
    private long graceBegunNanos;

    /**
     * @param probe asks other boxes
     * @param storeIsSteady whether the store has answered this box for a while
     * @param isOutranked whether boxes other than the given one take over before this one, which then
     *            leaves asking to them
     * @param nanoTime a monotonic clock
     */
    public OwnerMonitor(OwnerProbe probe, BooleanSupplier storeIsSteady, Predicate<String> isOutranked,
            LongSupplier nanoTime)
    {
        this.probe = probe;
        this.storeIsSteady = storeIsSteady;
        this.isOutranked = isOutranked;
        this.nanoTime = nanoTime;
    }

    /**
     * @param owner a box
     * @return whether that box is the owner as far as this one knows and does not answer it
     */
    public boolean isOwnerUnresponsive(String owner)
    {
        return silentOwner.equals(owner);
    }

    /**
     * Waits until the owner's term should be ended by another box.
     *
     * @param owner the owner's box id
     * @param term the owner's term; one that is awaited again is not left alone again
     * @return why, for the log
     * @throws InterruptedException if nobody wants to know any more
     */
    String awaitSuspicion(String owner, long term) throws InterruptedException
    {
        long begunNanos = graceBegun(term);
        int denials = 0;
        try
        {
            while (true)
            {
                OwnerProbe.Result standing = probe.probe(owner, owner, holdMillis());
                denials = standing.reached() && !standing.owner() ? denials + 1 : 0;
                boolean heard = standing.reached() && denials < DENIALS;
                silentOwner = heard || !probe.peers().contains(owner) ? "" : owner;
                if (nanoTime.getAsLong() - begunNanos > GRACE_NANOS)
                {
                    String why = suspicion(owner, standing);
                    if (why != null)
                    {
                        return why;
                    }
                }
                if (!standing.owner())
                {
                    Thread.sleep(RETRY_MILLIS);
                }
            }
        }
        finally
        {
            silentOwner = "";
        }
    }

    /** When this box first heard of the term. */
    private synchronized long graceBegun(long term)
    {
        if (graceTerm != term)
        {
            graceTerm = term;
            graceBegunNanos = nanoTime.getAsLong();
        }
        return graceBegunNanos;
    }

    /** Why the owner should be replaced, or null. */
    private String suspicion(String owner, OwnerProbe.Result standing) throws InterruptedException
    {
        boolean unconfirmed = standing.owner() && standing.unconfirmedMillis() > UNCONFIRMED_MILLIS;
        if (unconfirmed && storeIsSteady.getAsBoolean())
        {
            return "the store has not confirmed it for " + standing.unconfirmedMillis() + " ms";
        }
        boolean dead = isOwnerUnresponsive(owner) && !isOutranked.test(owner) && mostHearNothing(owner);
        return dead ? "most boxes hear nothing from it" : null;
    }

    private int holdMillis()
    {
        return Math.max(SHORTEST_HOLD_MILLIS, HOLD_MILLIS_A_BOX * probe.peers().size());
    }

    /**
     * Whether this box and others that hear nothing from the owner are most of those registered. All
     * are asked side by side: one that cannot be reached must not hold up the others' word.
     */
    private boolean mostHearNothing(String owner) throws InterruptedException
    {
        List<String> others = probe.peers().stream().filter(peer -> !peer.equals(owner)).toList();
        BlockingQueue<Boolean> words = new LinkedBlockingQueue<>();
        List<Thread> questions = others.stream().map(peer -> askInBackground(peer, owner, words)).toList();
        try
        {
            int boxes = others.size() + 1;
            int deaf = 1;
            int left = others.size();
            while (left > 0 && deaf * 2 <= boxes && (deaf + left) * 2 > boxes)
            {
                deaf += words.take() ? 1 : 0;
                left--;
            }
            return boxes > 1 && deaf * 2 > boxes;
        }
        finally
        {
            questions.forEach(Thread::interrupt);
        }
    }

    /** A box that does not answer counts as one that hears the owner. */
    private Thread askInBackground(String peer, String owner, BlockingQueue<Boolean> words)
    {
        return OwnerTerm.inBackground("owner-word-" + peer, () ->
        {
            boolean silent = false;
            try
            {
                silent = probe.probe(peer, owner, 0).ownerUnresponsive();
            }
            finally
            {
                words.add(silent);
            }
        });
    }
}
