/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.concurrent.CompletableFuture;

/** A task that waits for free capacity, with the future of its placement. */
final class Waiter
{
    private final TaskDemand demand;
    private final long waitingSinceNanos;
    private final long sequence;
    private final CompletableFuture<Placement> decision = new CompletableFuture<>();

    Waiter(TaskDemand demand, long waitingSinceNanos, long sequence)
    {
        this.demand = demand;
        this.waitingSinceNanos = waitingSinceNanos;
        this.sequence = sequence;
    }

    TaskDemand demand()
    {
        return demand;
    }

    long waitingSinceNanos()
    {
        return waitingSinceNanos;
    }

    CompletableFuture<Placement> decision()
    {
        return decision;
    }

    /** Orders by deadline, then by arrival. */
    static int compareByDeadline(Waiter a, Waiter b)
    {
        int order = Long.compare(a.demand.deadlineNanos() - b.demand.deadlineNanos(), 0);
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    }
}
