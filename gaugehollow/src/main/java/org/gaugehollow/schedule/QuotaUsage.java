/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gaugehollow.fairness.FairShares;
import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.model.ComputeResources;

/**
 * Tracks the compute resources that each customer uses on all workers, as the basis of its share,
 * and compares them with its quota. Work without a customer has an account without a quota. A run
 * counts from its planned start until its end is known; this includes unanswered starts, runs on
 * unresponsive workers whose lease has not expired, abandoned runs, runs being stopped and orphan
 * runs. Recomputed from the workers' state for each plan, so that no counter can drift. Not
 * thread-safe; guarded by the lock of the cell state.
 *
 * <p>
 * A customer above its quota, for example after the quota was lowered, gets no new starts until its
 * usage fits; its runs continue, because stopping them would lose their work.
 */
final class QuotaUsage
{
    /** The quota and current usage of one customer; mutable because it is consulted for each step. */
    private static final class Account
    {
        private final ComputeResources quota;
        private long cpuMillis;
        private long memoryMib;
        private long accelerators;

        private Account(ComputeResources quota)
        {
            this.quota = quota;
        }

        private void add(ComputeResources needs)
        {
            cpuMillis += needs.cpuMillis();
            memoryMib += needs.memoryMib();
            accelerators += needs.accelerators();
        }

        private boolean allows(ComputeResources needs, long tasks)
        {
            return cpuMillis + tasks * needs.cpuMillis() <= quota.cpuMillis()
                    && memoryMib + tasks * needs.memoryMib() <= quota.memoryMib()
                    && accelerators + tasks * needs.accelerators() <= quota.accelerators();
        }
    }

    private final Customers customers;
    private final Map<String, Account> accounts = new HashMap<>();

    private QuotaUsage(Customers customers)
    {
        this.customers = customers;
    }

    /**
     * Computes the current usage.
     *
     * @param customers the customers of the newest configuration
     * @param workers all workers, listed or not
     * @return the usage of their runs
     */
    static QuotaUsage of(Customers customers, Collection<TrackedWorker> workers)
    {
        QuotaUsage usage = new QuotaUsage(customers);
        if (customers.keysRequired())
        {
            workers.forEach(usage::addRunsOf);
        }
        return usage;
    }

    private void addRunsOf(TrackedWorker worker)
    {
        worker.forEachTask(task -> add(task.step()));
        worker.abandonedRuns().forEach(run -> add(run.task().step()));
        worker.orphanSteps().forEach(this::add);
    }

    /** Adds the compute resources of one run of a step. */
    void add(Step step)
    {
        accountOf(customerOf(step.job())).add(step.needs());
    }

    /** Returns the customer of a job, or {@link FairShares#NO_CUSTOMER}. */
    static String customerOf(Job job)
    {
        String customer = job.record().customer();
        return customer == null ? FairShares.NO_CUSTOMER : customer;
    }

    private Account accountOf(String customer)
    {
        return accounts.computeIfAbsent(customer, name -> new Account(
                customers.findByName(name).map(Customer::quota).orElse(Customer.UNLIMITED)));
    }

    /**
     * Returns whether more tasks of a step fit into its customer's quota. Customers that are no longer
     * configured are not limited.
     *
     * @param step a step
     * @param tasks the number of tasks to start
     * @return whether the quota allows them
     */
    boolean allows(Step step, int tasks)
    {
        return accountOf(customerOf(step.job())).allows(step.needs(), tasks);
    }

    /**
     * Returns the compute resources in use by a customer.
     *
     * @param customer the name of a customer, or {@link FairShares#NO_CUSTOMER}
     * @return its usage
     */
    ComputeResources usageOf(String customer)
    {
        Account account = accountOf(customer);
        return new ComputeResources(0, Math.toIntExact(account.cpuMillis), Math.toIntExact(account.memoryMib),
                Math.toIntExact(account.accelerators));
    }

    /** Returns the names of all customers that use compute resources, or were asked for. */
    Set<String> customers()
    {
        return Collections.unmodifiableSet(accounts.keySet());
    }
}
