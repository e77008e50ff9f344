/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;

/**
 * Limits the number of jobs per second that each customer gets planned at normal rank: as many as
 * its weight, the earliest first. Jobs beyond the weight wait behind all jobs within theirs, so
 * that a burst of one customer does not delay the others but can use idle capacity. Jobs that are
 * long-running or have due times are never limited. Not thread-safe; guarded by the lock of the
 * cell state.
 */
final class WeightLimiter
{
    private static final long WINDOW_MILLIS = 1_000;
    /**
     * Retention of accepted jobs; far longer than clock differences between boxes and delays of the
     * store.
     */
    private static final long RETENTION_MILLIS = 60_000;

    /** Number of jobs accepted within the weight, by customer and acceptance time in milliseconds. */
    private final Map<String, TreeMap<Long, Integer>> acceptedWithinWeight = new HashMap<>();

    /** Classifies the jobs accepted since the last call as within or beyond their customer's weight. */
    void classify(Collection<Job> accepted, Customers customers)
    {
        List<Job> earliestFirst = accepted.stream()
                .sorted(Comparator.comparingLong(job -> job.record().acceptedMillis())).toList();
        for (Job job : earliestFirst)
        {
            customers.findByName(job.record().customer()).filter(customer -> !job.isOpenEnded())
                    .ifPresent(customer -> job.setBeyondWeight(!tryAcquire(customer, job)));
        }
    }

    /**
     * Returns the customers whose next job exceeds their weight.
     *
     * @param customers the customers of the newest configuration
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     * @return the names of the customers
     */
    Set<String> customersAtWeight(Customers customers, long wallMillis)
    {
        return acceptedWithinWeight.keySet().stream()
                .filter(name -> customers.findByName(name)
                        .filter(customer -> recentCount(name, wallMillis) >= customer.weight()).isPresent())
                .collect(Collectors.toSet());
    }

    /** Returns the number of jobs within the weight in the window that ends at the given time. */
    private int recentCount(String customer, long endMillis)
    {
        int recent = 0;
        for (int count : acceptedWithinWeight.get(customer)
                .subMap(endMillis - WINDOW_MILLIS, false, endMillis, true).values())
        {
            recent += count;
        }
        return recent;
    }

    /**
     * Returns whether the job is within the customer's weight over the window that precedes it, and
     * counts it if so.
     */
    private boolean tryAcquire(Customer customer, Job job)
    {
        TreeMap<Long, Integer> counts = acceptedWithinWeight.computeIfAbsent(customer.name(),
                name -> new TreeMap<>());
        long accepted = job.record().acceptedMillis();
        if (recentCount(customer.name(), accepted) >= customer.weight())
        {
            return false;
        }
        counts.merge(accepted, 1, Integer::sum);
        counts.headMap(counts.lastKey() - RETENTION_MILLIS).clear();
        return true;
    }
}
