/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gaugehollow.fairness.BacklogCheck;
import org.gaugehollow.fairness.FairShares;
import org.gaugehollow.fairness.ShareQueue;
import org.gaugehollow.fairness.WaitBound;
import org.gaugehollow.model.ComputeResources;

/**
 * Decides in which order the waiting steps of a planning round are placed: in the order of
 * {@link JobOrder}, except that the steps of an urgency class whose customers compete for the cell
 * are placed by the weighted shares of these customers. Jobs with due times and long-running jobs
 * go ahead of the others of such a class, because their tasks are needed at all times. Not
 * thread-safe; guarded by the lock of the cell state.
 */
final class PlacementOrder
{
    /**
     * Result of placing a step.
     *
     * @param started whether a task was started
     * @param waits whether tasks still wait, for anything but the quota
     * @param lacksCapacity whether they wait for free capacity
     */
    record Outcome(boolean started, boolean waits, boolean lacksCapacity)
    {
    }

    /** Places the tasks of one step. */
    @FunctionalInterface
    interface Placer
    {
        /**
         * Starts as many tasks of a step as possible.
         *
         * @param step a step with waiting tasks
         * @param overdue whether its customer has waited too long, so that capacity is kept for the step
         */
        Outcome place(Step step, boolean overdue);
    }

    /** The waiting work of a customer in one urgency class. */
    private record Claim(UrgencyClass urgency, String customer)
    {
    }

    /** A step and its rank in the order that disregards shares. */
    private record RankedStep(Step step, int rank)
    {
    }

    private final WaitBound<Claim> waitBound = new WaitBound<>();
    private final Set<Claim> withoutStart = new HashSet<>();
    private Placer placer;
    private QuotaUsage usage;
    private FairShares shares;
    private HeldBackCustomers heldBack;
    private long nowNanos;

    /**
     * Places the waiting steps of jobs in their order, regardless of customers.
     *
     * @param jobs jobs with waiting steps
     * @param stepPlacer places a step
     */
    static void placeInOrder(List<Job> jobs, Placer stepPlacer)
    {
        jobs.forEach(job -> job.waitingSteps().forEach(step -> stepPlacer.place(step, false)));
    }

    /**
     * Places the waiting steps of jobs with regard to the shares of customers.
     *
     * @param jobs jobs with waiting steps, in the order of {@link JobOrder}
     * @param currentUsage the compute resources that each customer uses, raised with each start
     * @param round the time, capacity and weights of the round
     * @param stepPlacer places a step
     * @return details by customer that is held back by its share
     */
    Map<String, String> placeByShare(List<Job> jobs, QuotaUsage currentUsage, Round round, Placer stepPlacer)
    {
        usage = currentUsage;
        shares = new FairShares(round.weights(), round.capacity());
        heldBack = new HeldBackCustomers();
        nowNanos = round.nowNanos();
        placer = stepPlacer;
        withoutStart.clear();
        BacklogCheck backlog = new BacklogCheck(round.capacity());
        classify(jobs).forEach((urgency, steps) ->
        {
            if (compete(steps, backlog, round.wallMillis()))
            {
                placeClass(urgency, steps);
            }
            else
            {
                steps.forEach(step -> placer.place(step, false));
            }
        });
        waitBound.update(withoutStart, nowNanos);
        return heldBack.descriptions();
    }

    /**
     * A planning round.
     *
     * @param weights the weights of the customers by name
     * @param capacity the capacity of all workers that accept starts
     * @param nowNanos the monotonic time, in nanoseconds
     * @param wallMillis the wall-clock time, in milliseconds since 1970
     */
    record Round(Map<String, Double> weights, ComputeResources capacity, long nowNanos, long wallMillis)
    {
    }

    /** Returns the waiting steps by urgency class, in their order. */
    private static Map<UrgencyClass, List<Step>> classify(List<Job> jobs)
    {
        Map<UrgencyClass, List<Step>> classes = new LinkedHashMap<>();
        jobs.forEach(job -> classes.computeIfAbsent(UrgencyClass.of(job), urgency -> new ArrayList<>())
                .addAll(job.waitingSteps()));
        return classes;
    }

    /**
     * Adds the steps of a class to the backlog and returns whether several customers compete in it.
     */
    private static boolean compete(List<Step> steps, BacklogCheck backlog, long wallMillis)
    {
        boolean someLate = false;
        Set<String> customers = new HashSet<>();
        for (Step step : steps)
        {
            Job job = step.job();
            backlog.add(step.needs(), step.countWaiting(), step.spec().estimateMillis());
            customers.add(QuotaUsage.customerOf(job));
            someLate = someLate || !job.isOpenEnded() && backlog.delaysBeyond(job.slackMillis(wallMillis));
        }
        return someLate && customers.size() > 1;
    }

    private void placeClass(UrgencyClass urgency, List<Step> steps)
    {
        steps.stream().filter(step -> step.job().isOpenEnded()).forEach(step -> placer.place(step, false));
        ShareQueue<RankedStep> queue = createQueue(urgency, steps);
        Set<Claim> waiting = new HashSet<>();
        Set<Claim> started = new HashSet<>();
        heldBack.beginClass();
        for (RankedStep next = queue.next(); next != null; next = queue.next())
        {
            Claim claim = new Claim(urgency, QuotaUsage.customerOf(next.step().job()));
            double share = competingShare(next);
            Outcome outcome = placer.place(next.step(), queue.isOverdue());
            if (outcome.started())
            {
                queue.onStarted();
                started.add(claim);
                heldBack.onStarted(claim.customer(), next.rank(), share);
            }
            if (outcome.waits())
            {
                waiting.add(claim);
            }
            if (outcome.lacksCapacity())
            {
                heldBack.onWaiting(claim.customer(), next.rank(), share);
            }
        }
        waiting.removeAll(started);
        withoutStart.addAll(waiting);
    }

    private ShareQueue<RankedStep> createQueue(UrgencyClass urgency, List<Step> steps)
    {
        ShareQueue<RankedStep> queue = new ShareQueue<>(this::competingShare);
        Set<String> customers = new HashSet<>();
        for (int rank = 0; rank < steps.size(); rank++)
        {
            Step step = steps.get(rank);
            if (!step.job().isOpenEnded())
            {
                String customer = QuotaUsage.customerOf(step.job());
                customers.add(customer);
                queue.add(customer, new RankedStep(step, rank));
            }
        }
        customers.stream().filter(customer -> waitBound.isOverdue(new Claim(urgency, customer), nowNanos))
                .forEach(queue::setOverdue);
        return queue;
    }

    private double competingShare(RankedStep ranked)
    {
        Step step = ranked.step();
        String customer = QuotaUsage.customerOf(step.job());
        return shares.competingShare(customer, usage.usageOf(customer),
                step.needs().times(step.runsOnWorkers().size()));
    }

    /** Returns the weighted share of a customer in the latest round that regarded shares. */
    double shareOf(String customer)
    {
        return shares == null ? 0 : shares.shareOf(customer, usage.usageOf(customer));
    }
}
