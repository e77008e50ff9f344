/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.job.AdviceSpec;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;

/** Creates jobs, workers and replies for the tests of this package. */
public final class TestJobs
{
    static final String ID = "00000000000000aa";
    static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5, null);

    /** Queue whose tickets are valid for half a second. */
    static final QueueSpec ADVISED_QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5,
            new AdviceSpec(1, 0.1, 500));

    private static final long STEP_MILLIS = 10;

    private TestJobs()
    {
    }

    /** Waits until a condition holds; returns false if it does not hold within the given time. */
    public static boolean waitUntil(long millis, BooleanSupplier condition) throws InterruptedException
    {
        long end = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean() && SteadyClock.nanos() < end)
        {
            Thread.sleep(STEP_MILLIS);
        }
        return condition.getAsBoolean();
    }

    static StepSpec step(int count, int cpu, List<Integer> dependsOn)
    {
        return new StepSpec(count, cpu, 100, 0, 800, dependsOn, false, false, false, null, null, 0, false,
                false, null, 0, false, 0);
    }

    static StepSpec gang(int count, int cpu)
    {
        return new StepSpec(count, cpu, 100, 0, 800, List.of(), true, true, false, null, null, 0, false,
                false, null, 0, false, 0);
    }

    static StepSpec longRunning(int count)
    {
        return new StepSpec(count, 1_000, 100, 0, 800, List.of(), false, false, false, null, null, 1, false,
                true, null, 0, false, 1);
    }

    /** Returns a step of one best-effort task, which is never considered stalled. */
    static StepSpec bestEffort()
    {
        return new StepSpec(1, 1_000, 100, 0, 800, List.of(), true, false, false, null, null, 0, false, false,
                null, 0, true, 0);
    }

    static JobRecord job(String id, StepSpec... steps)
    {
        return new JobRecord(id, QUEUE, new JobSpec("text", List.of(steps), 0, 0, 0), 0);
    }

    static WorkerEntry worker(String id, int cpu)
    {
        return worker(WorkerIncarnation.withUnknownStart(id), cpu);
    }

    static WorkerEntry worker(WorkerIncarnation incarnation, int cpu)
    {
        return new WorkerEntry(incarnation, "service", "127.0.0.1:1", "hall", false, -1,
                new ComputeResources(0, cpu, 32_768, 0), Set.of("a", "r1-1"), "r1-1");
    }

    static HeartbeatReply heartbeatReply(List<RunningRun> running, List<EndedRun> ended)
    {
        return new HeartbeatReply(CommandResult.DONE, 1_000, running, ended);
    }

    static RunningRun runningRun(Task task)
    {
        return runningRun(task, task.run());
    }

    static RunningRun runningRun(Task task, int run)
    {
        return new RunningRun(task.name(), run, "", 10, 0);
    }

    static EndedRun endedRun(long number, Task task, RunEnd end)
    {
        return endedRun(number, task, task.run(), end);
    }

    static EndedRun endedRun(long number, Task task, int run, RunEnd end)
    {
        return new EndedRun(number, task.name(), run, end, "");
    }
}
