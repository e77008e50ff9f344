/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.fairness;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.gaugehollow.model.ComputeResources;
import org.junit.jupiter.api.Test;

/**
 * Guards against customers that are served badly because others send more or larger jobs than
 * usual, by replays of such loads in a cell of one pool of processors.
 */
class FairShareReplayTest
{
    private static final int CUSTOMERS = 20;
    private static final int LARGE_CUSTOMERS = 3;
    /** A large customer sends as much as this number of others. */
    private static final int LARGE_FACTOR = 4;
    /** The first of these is a large customer. */
    private static final List<Integer> FLOODING = List.of(0, 18, 19);
    private static final double TICK_SECONDS = 0.1;
    private static final double TRAFFIC_SECONDS = 34;
    private static final double END_SECONDS = 120;
    private static final double MEMORY_SECONDS = 5;
    /** Weight in jobs per second as a multiple of a customer's usual rate. */
    private static final double WEIGHT_FACTOR = 3;
    private static final int SEEDS = 4;
    /** Processors of all workers; a part of them has left. */
    private static final int SCARCE = 5_700_000;
    private static final int AMPLE = 7_800_000;

    private static final Kind SMALL = new Kind(0, 10, 4_500, 640, 1, 23.3, 2_200, 1);
    private static final Kind LARGE = new Kind(2, 21, 9_000, 3_800, 2, 4.2, 12_600, 5);

    /** A kind of job. */
    private record Kind(int priority, int tasks, int cpu, long millis, int steps, double perSecond,
            long objectiveMillis, double worth)
    {
    }

    /** Load as a multiple of the usual one. */
    @FunctionalInterface
    private interface Load
    {
        double factor(int customer, Kind kind, double seconds);
    }

    private static boolean isPeak(double seconds)
    {
        return seconds >= 8 && seconds < 14.5;
    }

    private static double flood(int customer, double seconds)
    {
        return isPeak(seconds) && FLOODING.contains(customer) ? 7 : 1;
    }

    private static double burst(Kind kind, double seconds)
    {
        return isPeak(seconds) && kind == LARGE ? 2.5 : 1;
    }

    /** An order between customers. */
    private enum Order
    {
        BY_AGE,
        BY_RUNNING_SHARE,
        BY_DECAYED_USE
    }

    /** A job, whose steps run one after the other. */
    private static final class Job
    {
        private final int customer;
        private final Kind kind;
        private final long acceptedMillis;
        private final boolean beyond;
        private int stepsLeft;
        private int waiting;
        private int running;
        private long latencyMillis = Long.MAX_VALUE;

        private Job(int customer, Kind kind, long acceptedMillis, boolean beyond)
        {
            this.customer = customer;
            this.kind = kind;
            this.acceptedMillis = acceptedMillis;
            this.beyond = beyond;
            this.stepsLeft = kind.steps();
            this.waiting = kind.tasks();
        }

        private long slackMillis(long nowMillis)
        {
            return acceptedMillis + kind.objectiveMillis() - nowMillis - stepsLeft * kind.millis();
        }

        /** Too late comes after beyond the weight, which comes after the priority of the queue. */
        private int urgency(long nowMillis)
        {
            boolean tooLate = nowMillis - acceptedMillis > 3 * kind.objectiveMillis();
            return (tooLate ? 100 : 0) + (beyond ? 10 : 0) + kind.priority();
        }

        /** Returns 1 for a job in time, a fifth for a late one. */
        private double served()
        {
            double late = latencyMillis <= 3 * kind.objectiveMillis() ? 0.2 : 0;
            return latencyMillis <= kind.objectiveMillis() ? 1 : late;
        }
    }

    private record RunEnd(long atMillis, Job job)
    {
    }

    /** One replay. */
    private static final class Replay
    {
        private final Order order;
        private final ComputeResources capacity;
        private final Random random;
        private final List<Job> all = new ArrayList<>();
        private final List<Job> open = new ArrayList<>();
        private final PriorityQueue<RunEnd> ends = new PriorityQueue<>(
                Comparator.comparingLong(RunEnd::atMillis));
        private final int[] used = new int[CUSTOMERS];
        private final double[] decayedUse = new double[CUSTOMERS];
        private final Map<Integer, List<Long>> recent = new HashMap<>();
        private final FairShares shares;
        private int free;
        private long nowMillis;

        private Replay(Order order, int cpu, int seed)
        {
            this.order = order;
            this.capacity = cpu(cpu);
            this.free = cpu;
            this.random = new Random(seed);
            Map<String, Double> weights = new HashMap<>();
            for (int customer = 0; customer < CUSTOMERS; customer++)
            {
                weights.put(String.valueOf(customer), weight(customer));
            }
            this.shares = new FairShares(weights, capacity);
        }

        private Replay run(Load load)
        {
            for (int tick = 0; tick * TICK_SECONDS < END_SECONDS; tick++)
            {
                double seconds = tick * TICK_SECONDS;
                nowMillis = Math.round(seconds * 1_000);
                endRuns();
                for (int customer = 0; seconds < TRAFFIC_SECONDS && customer < CUSTOMERS; customer++)
                {
                    accept(SMALL, customer, load.factor(customer, SMALL, seconds));
                    accept(LARGE, customer, load.factor(customer, LARGE, seconds));
                }
                plan();
            }
            return this;
        }

        private void accept(Kind kind, int customer, double factor)
        {
            double expected = kind.perSecond() * part(customer) * factor * TICK_SECONDS;
            for (double at = gap(); at < expected; at += gap())
            {
                List<Long> within = recent.computeIfAbsent(customer, key -> new ArrayList<>());
                within.removeIf(millis -> millis <= nowMillis - 1_000);
                boolean beyond = within.size() >= weight(customer);
                if (!beyond)
                {
                    within.add(nowMillis);
                }
                Job job = new Job(customer, kind, nowMillis, beyond);
                all.add(job);
                open.add(job);
            }
        }

        private double gap()
        {
            return -Math.log(1 - random.nextDouble());
        }

        private void endRuns()
        {
            while (!ends.isEmpty() && ends.element().atMillis() <= nowMillis)
            {
                Job job = ends.remove().job();
                job.running--;
                used[job.customer] -= job.kind.cpu();
                free += job.kind.cpu();
                if (job.running + job.waiting == 0)
                {
                    endStep(job);
                }
            }
        }

        private void endStep(Job job)
        {
            job.stepsLeft--;
            if (job.stepsLeft > 0)
            {
                job.waiting = job.kind.tasks();
                return;
            }
            job.latencyMillis = nowMillis - job.acceptedMillis;
            open.remove(job);
        }

        private void plan()
        {
            for (int customer = 0; customer < CUSTOMERS; customer++)
            {
                decayedUse[customer] *= Math.exp(-TICK_SECONDS / MEMORY_SECONDS);
            }
            TreeMap<Integer, List<Job>> classes = new TreeMap<>();
            open.stream().filter(job -> job.waiting > 0).forEach(job -> classes
                    .computeIfAbsent(job.urgency(nowMillis), key -> new ArrayList<>()).add(job));
            BacklogCheck backlog = new BacklogCheck(capacity);
            for (List<Job> jobs : classes.values())
            {
                jobs.sort(Comparator
                        .comparing((Job job) -> job.slackMillis(nowMillis) < -job.kind.objectiveMillis() / 2)
                        .thenComparingLong(job -> job.acceptedMillis));
                boolean byShare = compete(jobs, backlog) && order != Order.BY_AGE;
                ShareQueue<Job> queue = new ShareQueue<>(this::competingShare);
                jobs.forEach(job -> queue.add(byShare ? String.valueOf(job.customer) : "all", job));
                for (Job job = queue.next(); job != null; job = queue.next())
                {
                    start(job);
                }
            }
        }

        private boolean compete(List<Job> jobs, BacklogCheck backlog)
        {
            boolean compete = false;
            for (Job job : jobs)
            {
                backlog.add(cpu(job.kind.cpu()), job.waiting, job.kind.millis());
                compete |= backlog.delaysBeyond(job.slackMillis(nowMillis));
            }
            return compete;
        }

        private double competingShare(Job job)
        {
            return order == Order.BY_DECAYED_USE
                    ? decayedUse[job.customer] / weight(job.customer)
                    : shares.competingShare(String.valueOf(job.customer), cpu(used[job.customer]),
                            cpu(job.running * job.kind.cpu()));
        }

        private void start(Job job)
        {
            while (job.waiting > 0 && free >= job.kind.cpu())
            {
                job.waiting--;
                job.running++;
                free -= job.kind.cpu();
                used[job.customer] += job.kind.cpu();
                decayedUse[job.customer] += job.kind.cpu() * job.kind.millis();
                ends.add(new RunEnd(nowMillis + job.kind.millis(), job));
            }
        }

        /** Returns the share of a customer's jobs within its weight that was served, by worth. */
        private double served(int customer)
        {
            double served = 0;
            double owed = 0;
            for (Job job : all)
            {
                if (job.customer == customer && !job.beyond)
                {
                    served += job.kind.worth() * job.served();
                    owed += job.kind.worth();
                }
            }
            return served / owed;
        }
    }

    private static ComputeResources cpu(int millis)
    {
        return new ComputeResources(0, millis, 0, 0);
    }

    private static double part(int customer)
    {
        int units = LARGE_CUSTOMERS * LARGE_FACTOR + CUSTOMERS - LARGE_CUSTOMERS;
        return (double) (customer < LARGE_CUSTOMERS ? LARGE_FACTOR : 1) / units;
    }

    private static double weight(int customer)
    {
        return WEIGHT_FACTOR * part(customer) * (SMALL.perSecond() + LARGE.perSecond());
    }

    /** Returns the mean served share of the customers that send no flood. */
    private static double servedOthers(Order order, int cpu, Load load)
    {
        double sum = 0;
        for (int seed = 0; seed < SEEDS; seed++)
        {
            Replay replay = new Replay(order, cpu, seed).run(load);
            for (int customer = 0; customer < CUSTOMERS; customer++)
            {
                sum += FLOODING.contains(customer) ? 0 : replay.served(customer);
            }
        }
        return sum / SEEDS / (CUSTOMERS - FLOODING.size());
    }

    private static void assertSharesServeOthersBetter(String name, Load load, double minGain)
    {
        double byAge = servedOthers(Order.BY_AGE, SCARCE, load);
        double byShare = servedOthers(Order.BY_RUNNING_SHARE, SCARCE, load);
        double byDecayedUse = servedOthers(Order.BY_DECAYED_USE, SCARCE, load);
        String summary = String.format(
                "%s: others served by age %.3f, by running share %.3f, by decayed use %.3f", name, byAge,
                byShare, byDecayedUse);
        assertWithMessage(summary).that(byShare).isAtLeast(byAge + minGain);
        assertWithMessage(summary).that(byShare).isAtLeast(byDecayedUse);
    }

    /** Guards against the flood of a few customers taking the capacity of all others. */
    @Test
    void othersAreServedDuringFloodOfThreeCustomers()
    {
        assertSharesServeOthersBetter("flood", (customer, kind, seconds) -> flood(customer, seconds), 0.05);
    }

    /** Guards against customers with many large jobs taking the capacity of those with few. */
    @Test
    void othersAreServedDuringBurstOfLargeJobs()
    {
        assertSharesServeOthersBetter("burst", (customer, kind, seconds) -> burst(kind, seconds), 0.03);
    }

    /** Guards against jobs that become late by an order that serves nobody better. */
    @Test
    void ampleCellServesBurstAsByAge()
    {
        Load load = (customer, kind, seconds) -> kind == LARGE && isPeak(seconds) ? 1.8 : 1;
        double byAge = servedOthers(Order.BY_AGE, AMPLE, load);
        double byShare = servedOthers(Order.BY_RUNNING_SHARE, AMPLE, load);

        assertWithMessage("served by share").that(byShare).isAtLeast(byAge - 0.01);
    }
}
