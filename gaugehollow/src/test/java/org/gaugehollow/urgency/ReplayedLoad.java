/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Replays a load on a pool of cores: jobs take cores in a given order, as many tasks of their
 * current step as fit. Actual durations differ from the estimates by up to half.
 */
final class ReplayedLoad
{
    private static final long TICK_MILLIS = 20;
    private static final long MAX_MILLIS = 300_000;

    /** A kind of jobs: steps of equal tasks that run one after the other. */
    record Kind(int priority, int steps, int tasks, double cores, long taskMillis, long targetMillis,
            double stretch)
    {
        Objective objective()
        {
            return new Objective(targetMillis, stretch, steps * taskMillis);
        }
    }

    /** A job and its progress. */
    static final class Job
    {
        final Kind kind;
        final long arrivalMillis;
        final long sequence;
        private final long actualMillis;
        private int stepsDone;
        private int begun;
        private int running;
        long endMillis = Long.MAX_VALUE;

        Job(Kind kind, long arrivalMillis, long sequence, double durationFactor)
        {
            this.kind = kind;
            this.arrivalMillis = arrivalMillis;
            this.sequence = sequence;
            this.actualMillis = (long) (kind.taskMillis() * durationFactor);
        }

        JobUrgency urgency(long nowMillis)
        {
            long remaining = (kind.steps() - stepsDone) * kind.taskMillis();
            long elapsed = nowMillis - arrivalMillis;
            return new JobUrgency(kind.objective().outlook(elapsed, remaining), kind.priority(),
                    kind.objective().slackMillis(elapsed, remaining), stepsDone + begun > 0, sequence);
        }

        /** Returns 1 for a job in time and a fifth for one within three times its objective. */
        double benefit()
        {
            double objective = kind.targetMillis() + kind.stretch() * kind.steps() * actualMillis;
            double latency = (double) endMillis - arrivalMillis;
            return latency <= objective ? 1 : latency <= 3 * objective ? 0.2 : 0;
        }

        private boolean hasWaiting()
        {
            return stepsDone < kind.steps() && begun < kind.tasks();
        }
    }

    private record Run(Job job, long endMillis)
    {
    }

    private final Random random;
    private final List<Job> jobs = new ArrayList<>();

    /** @param seed seed of the arrivals and durations */
    ReplayedLoad(long seed)
    {
        random = new Random(seed);
    }

    /** Adds jobs of a kind at a rate per second between two times. */
    void add(Kind kind, double perSecond, long fromMillis, long untilMillis)
    {
        double at = fromMillis + gapMillis(perSecond);
        while (at < untilMillis)
        {
            jobs.add(new Job(kind, (long) at, jobs.size(), 0.5 + random.nextDouble()));
            at += gapMillis(perSecond);
        }
    }

    private double gapMillis(double perSecond)
    {
        return -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    }

    /** Returns the jobs after the load was run to its end in the given order. */
    List<Job> run(double cores, Comparator<JobUrgency> order)
    {
        List<Run> runs = new ArrayList<>();
        double free = cores;
        long nowMillis = 0;
        while (jobs.stream().anyMatch(job -> job.endMillis == Long.MAX_VALUE))
        {
            nowMillis += TICK_MILLIS;
            if (nowMillis > MAX_MILLIS)
            {
                throw new IllegalStateException("the load does not end");
            }
            free += end(runs, nowMillis);
            for (Job job : waiting(nowMillis, order))
            {
                while (job.hasWaiting() && free >= job.kind.cores())
                {
                    free -= job.kind.cores();
                    job.begun++;
                    job.running++;
                    runs.add(new Run(job, nowMillis + job.actualMillis));
                }
            }
        }
        return jobs;
    }

    private List<Job> waiting(long nowMillis, Comparator<JobUrgency> order)
    {
        return jobs.stream().filter(job -> job.arrivalMillis <= nowMillis && job.hasWaiting())
                .sorted(Comparator.comparing(job -> job.urgency(nowMillis), order)).toList();
    }

    private static double end(List<Run> runs, long nowMillis)
    {
        double freed = 0;
        for (Run run : runs)
        {
            Job job = run.job();
            if (run.endMillis() <= nowMillis)
            {
                freed += job.kind.cores();
                job.running--;
                endStep(job, nowMillis);
            }
        }
        runs.removeIf(run -> run.endMillis() <= nowMillis);
        return freed;
    }

    private static void endStep(Job job, long nowMillis)
    {
        if (job.running == 0 && job.begun == job.kind.tasks())
        {
            job.stepsDone++;
            job.begun = 0;
            job.endMillis = job.stepsDone == job.kind.steps() ? nowMillis : job.endMillis;
        }
    }
}
