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
import java.util.TreeMap;

import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;

/**
 * Tells which jobs a customer sent within its weight: in any second as many as its weight, the
 * earliest first. The others wait behind what all customers send within theirs, so that one that
 * sends several times its usual costs the others nothing while the cell is full, and takes what is
 * idle otherwise. Jobs that last or have due times are never put back: they hold their place for
 * their whole life. Not thread-safe; used under the ledger's lock.
 */
final class WeightRates
{
    private static final long WINDOW_MILLIS = 1_000;
    /**
     * How long acceptances are remembered: far longer than boxes' clocks differ and a store's silence
     * holds records back.
     */
    private static final long MEMORY_MILLIS = 60_000;

    /** The acceptances within the weight, by their milliseconds, of each customer. */
    private final Map<String, TreeMap<Long, Integer>> within = new HashMap<>();

    /** Rates jobs that were accepted since the last call. */
    void rate(Collection<Job> accepted, Customers customers)
    {
        List<Job> earliestFirst = accepted.stream()
                .sorted(Comparator.comparingLong(job -> job.record().acceptedMillis())).toList();
        for (Job job : earliestFirst)
        {
            customers.named(job.record().customer()).filter(customer -> !job.isOpen())
                    .ifPresent(customer -> job.setBeyondWeight(!take(customer, job)));
        }
    }

    /** Takes one of the customer's places in the second before the job, if one is left. */
    private boolean take(Customer customer, Job job)
    {
        TreeMap<Long, Integer> times = within.computeIfAbsent(customer.name(), name -> new TreeMap<>());
        long accepted = job.record().acceptedMillis();
        int before = 0;
        for (int count : times.subMap(accepted - WINDOW_MILLIS, false, accepted, true).values())
        {
            before += count;
        }
        if (before >= customer.weight())
        {
            return false;
        }
        times.merge(accepted, 1, Integer::sum);
        times.headMap(times.lastKey() - MEMORY_MILLIS).clear();
        return true;
    }
}
