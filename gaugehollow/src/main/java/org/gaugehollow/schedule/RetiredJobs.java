/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import org.gaugehollow.job.Cancellation;

/**
 * Jobs that need no further work: those that have finished, and those that were cancelled before
 * their records were read. Guarded by the lock of the cell state.
 */
final class RetiredJobs
{
    private final LongSupplier nanoTime;
    /** Finished jobs by id, with the time at which this owner learned of their end. */
    private final Map<String, Long> finishedNanos = new LinkedHashMap<>();
    /** Cancellations of jobs whose records have not been read yet. */
    private final Map<String, EarlyCancellation> cancelledEarly = new LinkedHashMap<>();

    /** A cancellation and the time at which it was read. */
    private record EarlyCancellation(Cancellation cancellation, long sinceNanos)
    {
    }

    /** @param nanoTime monotonic clock, in nanoseconds */
    RetiredJobs(LongSupplier nanoTime)
    {
        this.nanoTime = nanoTime;
    }

    void add(String id)
    {
        finishedNanos.put(id, nanoTime.getAsLong());
    }

    boolean isFinished(String id)
    {
        return finishedNanos.containsKey(id);
    }

    /** Keeps the cancellation of an unknown job until the job's record is read. */
    void cancelEarly(String id, Cancellation cancellation)
    {
        cancelledEarly.putIfAbsent(id, new EarlyCancellation(cancellation, nanoTime.getAsLong()));
    }

    boolean isCancelledEarly(String id)
    {
        return cancelledEarly.containsKey(id);
    }

    /** Removes and returns the cancellation that was read before the job's record. */
    Optional<Cancellation> takeCancellation(String id)
    {
        return Optional.ofNullable(cancelledEarly.remove(id)).map(EarlyCancellation::cancellation);
    }

    /** Removes a job whose records were deleted from the store. */
    void remove(String id)
    {
        finishedNanos.remove(id);
        cancelledEarly.remove(id);
    }

    /**
     * Returns the jobs that finished longer ago than the given time, oldest first, followed by unknown
     * jobs whose cancellation is that old.
     *
     * @param nanos minimum age, in nanoseconds
     * @param limit maximum number of jobs
     */
    List<String> findRetiredFor(long nanos, int limit)
    {
        long now = nanoTime.getAsLong();
        Stream<String> finished = finishedNanos.entrySet().stream()
                .filter(entry -> now - entry.getValue() > nanos).map(Map.Entry::getKey);
        Stream<String> neverAccepted = cancelledEarly.entrySet().stream()
                .filter(entry -> now - entry.getValue().sinceNanos() > nanos).map(Map.Entry::getKey);
        return Stream.concat(finished, neverAccepted).limit(limit).toList();
    }
}
