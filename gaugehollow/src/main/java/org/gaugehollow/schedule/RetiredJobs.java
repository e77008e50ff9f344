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
 * The jobs of which nothing is left to do: those that are over, and those that were cancelled
 * before their records came. Guarded by the ledger's lock.
 */
final class RetiredJobs
{
    private final LongSupplier nanoTime;
    /** Jobs that are over, and since when as far as this owner knows. */
    private final Map<String, Long> over = new LinkedHashMap<>();
    /** Cancellations of jobs whose records are not there, which may still come. */
    private final Map<String, EarlyCancellation> cancelledEarly = new LinkedHashMap<>();

    /** A cancellation, and since when it is known. */
    private record EarlyCancellation(Cancellation cancellation, long sinceNanos)
    {
    }

    /** @param nanoTime a monotonic clock */
    RetiredJobs(LongSupplier nanoTime)
    {
        this.nanoTime = nanoTime;
    }

    void add(String id)
    {
        over.put(id, nanoTime.getAsLong());
    }

    boolean isFinished(String id)
    {
        return over.containsKey(id);
    }

    /** The cancellation of a job that is not known is kept for when the job comes. */
    void cancelEarly(String id, Cancellation cancellation)
    {
        cancelledEarly.putIfAbsent(id, new EarlyCancellation(cancellation, nanoTime.getAsLong()));
    }

    boolean isCancelledEarly(String id)
    {
        return cancelledEarly.containsKey(id);
    }

    /** The cancellation that came before the job, which is known now. */
    Optional<Cancellation> takeCancellation(String id)
    {
        return Optional.ofNullable(cancelledEarly.remove(id)).map(EarlyCancellation::cancellation);
    }

    /** A job's records are gone from the store. */
    void forget(String id)
    {
        over.remove(id);
        cancelledEarly.remove(id);
    }

    /**
     * Some jobs that have been over for that long, the oldest first, and cancellations of jobs that
     * never came.
     */
    List<String> retiredFor(long nanos, int most)
    {
        long now = nanoTime.getAsLong();
        Stream<String> ended = over.entrySet().stream().filter(entry -> now - entry.getValue() > nanos)
                .map(Map.Entry::getKey);
        Stream<String> neverCame = cancelledEarly.entrySet().stream()
                .filter(entry -> now - entry.getValue().sinceNanos() > nanos).map(Map.Entry::getKey);
        return Stream.concat(ended, neverCame).limit(most).toList();
    }
}
