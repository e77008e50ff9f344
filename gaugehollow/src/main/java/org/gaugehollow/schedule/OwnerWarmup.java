/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.placement.WorkerScore;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;

/**
 * Goes through an owner's decisions on made-up jobs, in memory only, while another box owns the
 * cell. The runtime has then compiled that code before this box takes over: a box that does it cold
 * sends its first start some 0.9 s after its term began, one whose code costs no time after 0.15 s.
 */
public final class OwnerWarmup implements SupervisedTask
{
    /**
     * How many rounds until the runtime has compiled what is used in each; 40 cost 2 s of a processor.
     */
    private static final int ROUNDS = 10;
    private static final int JOBS = 6;
    private static final int TASKS = 8;
    private static final int WORKERS = 8;
    private static final int MOST_PLANS = 50;
    private static final int WORKER_CPU = 8_000;
    private static final int TASK_CPU = 2_000;
    private static final int MEMORY_MIB = 65_536;
    private static final long RUN_MILLIS = 500;
    private static final long RETRY_MILLIS = 500;
    private static final String NO_BOX = "";
    private static final String SERVICE = "rehearsal";
    private static final QueueSpec URGENT = new QueueSpec("urgent", SERVICE, 0, 2, 250, 1.5, null);
    private static final QueueSpec PATIENT = new QueueSpec("patient", SERVICE, 2, 2, 250, 30, null);

    private final OwnerElection election;
    private final OwnerElection.Ranking ranking;
    private final WorkerScore score;

    /**
     * @param election tells whether another box owns the cell
     * @param ranking tells whether other boxes would own it before this one
     * @param score rates workers
     */
    public OwnerWarmup(OwnerElection election, OwnerElection.Ranking ranking, WorkerScore score)
    {
        this.election = election;
        this.ranking = ranking;
        this.score = score;
    }

    /**
     * Rehearses, with pauses so that callers are served meanwhile, unless this box owns the cell or
     * stronger ones would own it first.
     */
    @Override
    public void run() throws InterruptedException
    {
        int rounds = 0;
        while (rounds < ROUNDS && !election.isOwner())
        {
            if (election.owner().isEmpty() || ranking.isOutranked(NO_BOX))
            {
                Thread.sleep(RETRY_MILLIS);
                continue;
            }
            long begunNanos = SteadyClock.nanos();
            playRound();
            rounds++;
            Thread.sleep(1 + TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - begunNanos));
        }
    }

    /** Accepts, places and ends some jobs; returns how many were completed. */
    int playRound()
    {
        return new Round(score).play();
    }

    /** One round with a memory of its own. */
    private static final class Round
    {
        private final CellState ledger = new CellState(SteadyClock::nanos, 0);
        private final Planner planner;
        private final Evacuation evacuation = new Evacuation(ledger);
        private final StallGuard stallGuard = new StallGuard(ledger);
        private final SlowWorkerGuard slowWorkerGuard = new SlowWorkerGuard(ledger);
        private final UnresponsiveWorkerGuard silentWorkerGuard = new UnresponsiveWorkerGuard(ledger);
        private final List<TrackedWorker> workers = new ArrayList<>();
        private final long[] lastEnds = new long[WORKERS];
        private int completed;

        Round(WorkerScore score)
        {
            this.planner = new Planner(ledger, new NoTickets(), score);
        }

        int play()
        {
            for (int i = 0; i < WORKERS; i++)
            {
                TrackedWorker slot = ledger.list(worker(i));
                slot.recordHeartbeat(SteadyClock.nanos());
                workers.add(slot);
            }
            acceptAll(PATIENT, 0);
            plan();
            acceptAll(URGENT, JOBS);
            for (int i = 0; i < MOST_PLANS && completed < 2 * JOBS; i++)
            {
                plan();
                look();
            }
            return completed;
        }

        private static WorkerEntry worker(int number)
        {
            return new WorkerEntry(WorkerIncarnation.withUnknownStart("worker-" + number), SERVICE, "",
                    "hall-" + number % 2, false, -1, new ComputeResources(0, WORKER_CPU, MEMORY_MIB, 0),
                    Set.of(), "");
        }

        private void acceptAll(QueueSpec queue, int first)
        {
            StepSpec one = step(List.of());
            JobSpec spec = new JobSpec(SERVICE, List.of(one, step(List.of(0))), 0, 0, 0);
            for (int i = first; i < first + JOBS; i++)
            {
                JobRecord record = new JobRecord(String.format("%016x", i), queue, spec,
                        System.currentTimeMillis());
                ledger.accept(JobCodec.readRecord(JobCodec.writeRecord(record)), i, null,
                        System.currentTimeMillis());
            }
        }

        private static StepSpec step(List<Integer> dependsOn)
        {
            return new StepSpec(TASKS, TASK_CPU, 1, 0, RUN_MILLIS, dependsOn, true, false, false, null, null,
                    0, false, false, null, 0, false, 0);
        }

        private void plan()
        {
            long now = SteadyClock.nanos();
            evacuation.evacuate(now);
            stallGuard.check(now);
            slowWorkerGuard.check(now);
            silentWorkerGuard.check(now);
            for (Planner.Start start : planner.plan(now, System.currentTimeMillis()).starts())
            {
                start.task().begun(now);
                start.task().settle(now);
                write(start.task().step().job());
            }
        }

        private void look()
        {
            for (int i = 0; i < WORKERS; i++)
            {
                TrackedWorker slot = workers.get(i);
                List<RunningRun> running = new ArrayList<>();
                List<EndedRun> ended = new ArrayList<>();
                long number = lastEnds[i];
                for (Task task : slot.tasks())
                {
                    running.add(new RunningRun(task.name(), task.run(), "state", 1, 0));
                    number++;
                    RunEnd how = task.phase() == Task.Phase.STOPPING ? RunEnd.STOPPED : RunEnd.DONE;
                    ended.add(new EndedRun(number, task.name(), task.run(), how, "state"));
                }
                look(slot, new HeartbeatReply(CommandResult.DONE, 1, running, List.of()), lastEnds[i]);
                look(slot, new HeartbeatReply(CommandResult.DONE, 1, List.of(), ended), lastEnds[i]);
                lastEnds[i] = number;
            }
        }

        private void look(TrackedWorker slot, HeartbeatReply answer, long lastSeen)
        {
            for (Job job : ledger.applyHeartbeat(slot, answer, lastSeen, SteadyClock.nanos()).changed())
            {
                write(job);
                completed += job.state() == JobState.COMPLETED ? 1 : 0;
                ledger.dropIfFinished(job);
            }
        }

        private static void write(Job job)
        {
            job.beginWrite();
            JobCodec.readProgress(JobCodec.writeProgress(job.progress()));
            job.endWrite();
        }
    }
}
