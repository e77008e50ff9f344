/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.gaugehollow.job.Customer;
import org.gaugehollow.job.Customers;
import org.gaugehollow.model.ComputeResources;

/**
 * What each customer may have running on all workers, held against its quota. A run counts from the
 * moment its start is decided until it is known to be over: started without an answer, on a silent
 * worker whose lease has not lapsed, left behind as a copy, being stopped, or unknown to its task.
 * Counted anew for each plan from what the workers hold, so that no count can drift. Not
 * thread-safe; used under the ledger's lock.
 *
 * <p>
 * Answers the load of one customer that sends several times its usual, and of one whose quota falls
 * far below what it has running: nothing new starts until it fits, and what runs goes on, since
 * stopping it would throw its work away.
 */
final class QuotaUse
{
    /**
     * One customer's quota and what counts against it; sums in place, since it is asked for each step.
     */
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

    private QuotaUse(Customers customers)
    {
        this.customers = customers;
    }

    /**
     * @param customers the customers of the newest configuration
     * @param workers all workers, listed or not
     * @return what may be running on them
     */
    static QuotaUse of(Customers customers, Collection<TrackedWorker> workers)
    {
        QuotaUse use = new QuotaUse(customers);
        if (customers.keysRequired())
        {
            workers.forEach(use::addAll);
        }
        return use;
    }

    private void addAll(TrackedWorker slot)
    {
        slot.forEachTask(task -> add(task.step()));
        slot.abandonedRuns().forEach(run -> add(run.task().step()));
        slot.orphanSteps().forEach(this::add);
    }

    /** Counts one more run of a step. */
    void add(Step step)
    {
        String customer = step.job().record().customer();
        if (customer != null)
        {
            account(customer).add(step.needs());
        }
    }

    private Account account(String customer)
    {
        return accounts.computeIfAbsent(customer,
                name -> new Account(customers.named(name).map(Customer::quota).orElse(Customer.UNLIMITED)));
    }

    /**
     * @param step a step
     * @param tasks how many of its tasks are to start
     * @return whether they fit into its customer's quota beside all that may be running; a customer
     *         that the configuration no longer has is not limited
     */
    boolean allows(Step step, int tasks)
    {
        String customer = step.job().record().customer();
        return customer == null || account(customer).allows(step.needs(), tasks);
    }

    /**
     * @param customer a customer's name
     * @return what it may have running
     */
    ComputeResources of(String customer)
    {
        Account account = account(customer);
        return new ComputeResources(0, Math.toIntExact(account.cpuMillis), Math.toIntExact(account.memoryMib),
                Math.toIntExact(account.accelerators));
    }
}
