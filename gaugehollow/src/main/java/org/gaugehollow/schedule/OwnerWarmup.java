/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.gaugehollow.urgency.StopCosts;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.RunEnd;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;

/**
 * Runs the planner on synthetic jobs in memory while another box owns the cell, so that the JIT has
 * compiled this code before this box takes over. Otherwise compilation would delay the first start
 * of a term.
 */
public final class OwnerWarmup implements SupervisedTask
{
    /** Number of rounds after which the code is compiled; more rounds only cost processor time. */
    private static final int ROUNDS = 10;
    private static final int JOBS = 6;
    private static final int TASKS = 8;
    private static final int WORKERS = 8;
    private static final int MAX_PLANS = 50;
    private static final int WORKER_CPU = 8_000;
    private static final int TASK_CPU = 2_000;
    private static final int MEMORY_MIB = 65_536;
    private static final long TASK_MILLIS = 500;
    private static final long RETRY_MILLIS = 500;
    private static final String NO_BOX = "";
    private static final String SERVICE = "rehearsal";
    private static final QueueSpec URGENT = new QueueSpec("urgent", SERVICE, 0, 2, 250, 1.5, null);
    private static final QueueSpec PATIENT = new QueueSpec("patient", SERVICE, 2, 2, 250, 30, null);

    private final OwnerElection election;
    private final OtherBoxes otherBoxes;
    private final WorkerScore score;

    /**
     * @param election the election, which knows whether another box owns the cell
     * @param otherBoxes what this box knows of the others
     * @param score rates workers for placement
     */
    public OwnerWarmup(OwnerElection election, OtherBoxes otherBoxes, WorkerScore score)
    {
        this.election = election;
        this.otherBoxes = otherBoxes;
        this.score = score;
    }

    /**
     * Runs the warm-up rounds, unless this box owns the cell or is outranked. Pauses between rounds
     * leave processor time for requests.
     */
    @Override
    public void run() throws InterruptedException
    {
        int completedRounds = 0;
        while (completedRounds < ROUNDS && !election.isOwner())
        {
            if (election.owner().isEmpty() || otherBoxes.isOutranked(NO_BOX))
            {
                Thread.sleep(RETRY_MILLIS);
                continue;
            }
            long startNanos = SteadyClock.nanos();
            runRound();
            completedRounds++;
            Thread.sleep(1 + TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos));
        }
    }

    /** Accepts, places and ends some jobs; returns the number of completed jobs. */
    int runRound()
    {
        return new Round(score).run();
    }

    /** One round on a cell state of its own. */
    private static final class Round
    {
        private final CellState cellState = new CellState(SteadyClock::nanos, 0);
        private final Planner planner;
        private final Evacuation evacuation = new Evacuation(cellState);
        private final StallGuard stallGuard = new StallGuard(cellState);
        private final SlowWorkerGuard slowWorkerGuard = new SlowWorkerGuard(cellState, StopCosts.DEFAULT);
        private final UnresponsiveWorkerGuard unresponsiveWorkerGuard = new UnresponsiveWorkerGuard(
                cellState);
        private final List<TrackedWorker> workers = new ArrayList<>();
        private final WaitScan waitScan;
        private final long[] lastEndNumbers = new long[WORKERS];
        private int completed;

        Round(WorkerScore score)
        {
            this.planner = new Planner(cellState, new NoTickets(), score, StopCosts.DEFAULT);
            this.waitScan = new WaitScan(cellState, new WaitClassifier(cellState, planner, new NoTickets()),
                    new OwnerLease("", 0, 0, OwnerLease.UNKNOWN_FENCE, SteadyClock.nanos()),
                    SteadyClock.nanos());
        }

        int run()
        {
            for (int i = 0; i < WORKERS; i++)
            {
                TrackedWorker worker = cellState.updateWorker(worker(i));
                worker.recordHeartbeat(SteadyClock.nanos());
                workers.add(worker);
            }
            acceptJobs(PATIENT, 0);
            plan();
            acceptJobs(URGENT, JOBS);
            plan();
            scanWaits();
            for (int i = 0; i < MAX_PLANS && completed < 2 * JOBS; i++)
            {
                plan();
                heartbeat();
            }
            return completed;
        }

        private static WorkerEntry worker(int number)
        {
            return new WorkerEntry(WorkerIncarnation.withUnknownStart("worker-" + number), SERVICE, "",
                    "hall-" + number % 2, false, -1, new ComputeResources(0, WORKER_CPU, MEMORY_MIB, 0),
                    Set.of(), "");
        }

        private void acceptJobs(QueueSpec queue, int firstId)
        {
            StepSpec rootStep = step(List.of());
            JobSpec spec = new JobSpec(SERVICE, List.of(rootStep, step(List.of(0))), 0, 0, 0);
            for (int i = firstId; i < firstId + JOBS; i++)
            {
                JobRecord record = new JobRecord(String.format("%016x", i), queue, spec,
                        System.currentTimeMillis());
                cellState.accept(JobCodec.readRecord(JobCodec.writeRecord(record)), i, null,
                        System.currentTimeMillis());
            }
        }

        private static StepSpec step(List<Integer> dependsOn)
        {
            return new StepSpec(TASKS, TASK_CPU, 1, 0, TASK_MILLIS, dependsOn, true, false, false, null, null,
                    0, false, false, null, 0, false, 0);
        }

        private void plan()
        {
            long now = SteadyClock.nanos();
            evacuation.evacuate(now);
            stallGuard.check(now);
            slowWorkerGuard.check(now);
            unresponsiveWorkerGuard.check(now, new Effects());
            cellState.speeds().check(now);
            for (Planner.Start start : planner.plan(now, System.currentTimeMillis()).starts())
            {
                start.task().markRunning(now);
                start.task().settle(now);
                encodeProgress(start.task().step().job());
            }
        }

        /** Determines the reasons of the waits as they would be after the minimum wait. */
        private void scanWaits()
        {
            long nowNanos = SteadyClock.nanos();
            waitScan.scan(Optional.empty(), nowNanos);
            waitScan.scan(Optional.empty(), nowNanos + WaitScan.MIN_WAIT_NANOS);
        }

        private void heartbeat()
        {
            for (int i = 0; i < WORKERS; i++)
            {
                TrackedWorker worker = workers.get(i);
                List<RunningRun> running = new ArrayList<>();
                List<EndedRun> ended = new ArrayList<>();
                long number = lastEndNumbers[i];
                for (Task task : worker.tasks())
                {
                    running.add(new RunningRun(task.name(), task.run(), "state", 1, 0));
                    number++;
                    RunEnd runEnd = task.phase() == Task.Phase.STOPPING ? RunEnd.STOPPED : RunEnd.DONE;
                    ended.add(new EndedRun(number, task.name(), task.run(), runEnd, "state"));
                }
                heartbeat(worker, new HeartbeatReply(CommandResult.DONE, 1, running, List.of()),
                        lastEndNumbers[i]);
                heartbeat(worker, new HeartbeatReply(CommandResult.DONE, 1, List.of(), ended),
                        lastEndNumbers[i]);
                lastEndNumbers[i] = number;
            }
        }

        private void heartbeat(TrackedWorker worker, HeartbeatReply reply, long lastEndNumber)
        {
            for (Job job : cellState.applyHeartbeat(worker, reply, lastEndNumber, SteadyClock.nanos())
                    .changedJobs())
            {
                encodeProgress(job);
                completed += job.state() == JobState.COMPLETED ? 1 : 0;
                cellState.dropIfFinished(job);
            }
        }

        private static void encodeProgress(Job job)
        {
            job.beginWrite();
            JobCodec.readProgress(JobCodec.writeProgress(job.progress()));
            job.endWrite();
        }
    }
}
