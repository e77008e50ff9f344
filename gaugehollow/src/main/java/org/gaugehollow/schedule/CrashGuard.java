/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.gaugehollow.job.CrashHistory;
import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.CrashHistory.Crash;

/**
 * Detects poison tasks, which crash the workers that start them, and selects them to be failed.
 * <p>
 * A crash ends all runs of a worker, although only one of them caused it. Runs that had just
 * started become suspects. Each suspect is then run in isolation: nothing else starts on its worker
 * until it has survived its start, so that another crash can be attributed to one task. Without
 * this, a poison task would crash one worker after another, and tasks that start beside it would be
 * failed for its crashes.
 * <p>
 * Not thread-safe; guarded by the lock of the cell state.
 */
final class CrashGuard
{
    /**
     * Number of crashes that confirms a poison task if no other run had just started at the last of
     * them. A single crash may be the fault of the worker; the users specify two.
     */
    static final int ISOLATED_CRASH_THRESHOLD = 2;
    /**
     * Number of crashes under runs that had certainly started that confirms a poison task, regardless
     * of other runs.
     */
    static final int ATTRIBUTED_CRASH_THRESHOLD = 3;
    /**
     * Number of crashes that confirms a poison task if some of them are unproven or explained by
     * another task. Two further starts are acceptable after the third crash, which leaves room for one
     * that no owner learns of.
     */
    static final int TOTAL_CRASH_THRESHOLD = 4;
    /**
     * Run time after which a run has survived its start. Poison tasks crash their workers within 10 ms.
     * Heartbeats to a worker with an isolated suspect wait at most 500 ms.
     */
    static final long STARTUP_MILLIS = 250;
    /** Observed run time after which the crash history of a task is cleared. */
    static final long CLEAR_AFTER_MILLIS = 10_000;

    private static final String ABANDONED = "abandoned, the worker is unresponsive";
    private static final String RESPONDS = "the worker responds again";
    private static final String LEAVING = "the worker had announced that it leaves";
    private static final String SURVIVED = "a run has survived long enough";

    private final TrackedWorkers workers;
    private final RecentCrashes recentCrashes;
    /** Tasks with a crash history, until they are cleared or their jobs end. */
    private final Set<Task> trackedTasks = new LinkedHashSet<>();
    /** Whether crashes were restored that may name workers which this owner has not read yet. */
    private boolean awaitsWorkers;

    CrashGuard(TrackedWorkers workers)
    {
        this.workers = workers;
        this.recentCrashes = new RecentCrashes(workers);
    }

    /** Tracks a task whose crash history was recorded by an earlier owner. */
    void onTaskRestored(Task task)
    {
        if (!task.crashes().isEmpty())
        {
            awaitsWorkers = true;
            trackedTasks.add(task);
        }
    }

    /** Handles a complete listing of the workers. */
    void onWorkersListed()
    {
        awaitsWorkers = false;
    }

    /**
     * Returns whether a run on an unresponsive worker may be abandoned in favour of another run. A task
     * may have only one unproven crash at a time.
     */
    boolean mayAbandonRun(Task task, TrackedWorker worker)
    {
        return task.crashes().isEmpty() || !UnresponsiveRun.of(task, worker).hadJustStarted();
    }

    /**
     * Records that a run on an unresponsive worker was abandoned, so that its task may start elsewhere.
     */
    void onRunAbandoned(Task task, TrackedWorker worker, Effects effects)
    {
        UnresponsiveRun run = UnresponsiveRun.of(task, worker);
        worker.addAbandonedRun(run);
        if (run.hadJustStarted())
        {
            recordCrash(run, worker, Attribution.UNPROVEN, ABANDONED, effects);
        }
    }

    /**
     * Withdraws the unproven crashes of a worker that responds, including those that earlier owners
     * recorded: an incarnation that has crashed never responds again.
     */
    void onWorkerResponded(TrackedWorker worker, Effects effects)
    {
        withdrawUnproven(worker, RESPONDS, effects);
    }

    private void withdrawUnproven(TrackedWorker worker, String reason, Effects effects)
    {
        worker.removeAbandonedRuns();
        for (Task task : trackedTasks)
        {
            updateCrashes(task, task.crashes().withoutUnproven(worker.id()), reason, effects);
        }
    }

    /**
     * Records that all runs of a worker have ended. Must be called before its tasks are released.
     *
     * @return the confirmed poison tasks; the remaining tasks are checked after these have been failed
     */
    List<Task> onWorkerLost(TrackedWorker worker, WorkerLossCause cause, Effects effects)
    {
        return switch (cause)
        {
            case CRASHED -> handleCrash(worker, effects);
            case LAPSED -> {
                handleLeaseExpired(worker, effects);
                yield List.of();
            }
            case LEFT -> {
                withdrawUnproven(worker, cause.description(), effects);
                yield List.of();
            }
        };
    }

    /**
     * Attributes a crash to the runs that had just started on the worker. Longer runs are only
     * suspected if no run had just started and the crash is not correlated with others; otherwise
     * long-running tasks would be failed for the crashes of their neighbours.
     */
    private List<Task> handleCrash(TrackedWorker worker, Effects effects)
    {
        List<UnresponsiveRun> runs = worker.removeAbandonedRuns();
        runs.removeIf(run -> run.task().phase() == Task.Phase.DONE);
        runs.forEach(run -> effects.markChanged(run.task().step().job()));
        runs.addAll(possiblyStartedRuns(worker));
        boolean isCorrelated = recentCrashes.isCorrelated(worker);
        recentCrashes.add(worker);
        long justStartedCount = runs.stream().filter(UnresponsiveRun::hadJustStarted).count();
        List<Task> poisonTasks = new ArrayList<>();
        for (UnresponsiveRun run : runs)
        {
            boolean isSuspected = run.hadJustStarted() || justStartedCount == 0 && !isCorrelated;
            if (isSuspected && run.durationMillis() < CLEAR_AFTER_MILLIS)
            {
                recordCrash(run, worker, run.attribution(), WorkerLossCause.CRASHED.description(), effects);
            }
            boolean startedAlone = run.hadJustStarted() && justStartedCount == 1;
            if (hasEnoughAttributedCrashes(run.task())
                    || startedAlone && hasEnoughIsolatedCrashes(run.task()))
            {
                poisonTasks.add(run.task());
            }
        }
        return poisonTasks;
    }

    /**
     * Suspects the runs that had just started. A leaving worker is expected to become unresponsive, and
     * of a run that no worker has reported since a change of owner nobody knows whether it had just
     * started.
     */
    private void handleLeaseExpired(TrackedWorker worker, Effects effects)
    {
        if (worker.isLeaving())
        {
            withdrawUnproven(worker, LEAVING, effects);
            return;
        }
        possiblyStartedRuns(worker).stream().filter(UnresponsiveRun::hadJustStarted)
                .filter(run -> !run.restoredUnseen()).forEach(run -> recordCrash(run, worker,
                        Attribution.UNPROVEN, WorkerLossCause.LAPSED.description(), effects));
    }

    /** Returns the runs that may have started on a worker and were not abandoned. */
    private static List<UnresponsiveRun> possiblyStartedRuns(TrackedWorker worker)
    {
        return worker.tasks().stream().filter(Task::mayHaveStarted)
                .map(task -> UnresponsiveRun.of(task, worker)).toList();
    }

    private void recordCrash(UnresponsiveRun run, TrackedWorker worker, Attribution attribution, String cause,
            Effects effects)
    {
        Task task = run.task();
        if (!task.step().job().state().isFinal() && task.phase() != Task.Phase.DONE)
        {
            task.setCrashes(task.crashes().with(worker.id(), attribution));
            trackedTasks.add(task);
            effects.addRecordedCrash(run, worker, attribution, cause);
        }
    }

    /**
     * Sets a history from which crashes were removed. The job is written, so that the next owner does
     * not restore them; a job that has ended may have been dropped.
     */
    private static void updateCrashes(Task task, CrashHistory updated, String reason, Effects effects)
    {
        Job job = task.step().job();
        if (updated.equals(task.crashes()) || job.state().isFinal())
        {
            return;
        }
        effects.addWithdrawnCrashes(task, updated, reason);
        task.setCrashes(updated);
        effects.markChanged(job);
    }

    /**
     * Returns whether a task has enough crashes to be confirmed as the only run that had just started.
     */
    private static boolean hasEnoughIsolatedCrashes(Task task)
    {
        return task.crashes().count(Attribution.AT_START) >= ISOLATED_CRASH_THRESHOLD;
    }

    /** Returns whether a task has enough attributed crashes, regardless of other runs. */
    private static boolean hasEnoughAttributedCrashes(Task task)
    {
        return attributedCrashCount(task) >= ATTRIBUTED_CRASH_THRESHOLD;
    }

    private static int attributedCrashCount(Task task)
    {
        return task.crashes().count(Attribution.AT_START) + task.crashes().count(Attribution.LATER);
    }

    /** Returns whether the total number of crashes, including unproven ones, is sufficient. */
    boolean isPoison(Task task)
    {
        return hasEnoughAttributedCrashes(task) || task.crashes().crashes().stream()
                .filter(this::countsAsCrash).count() >= TOTAL_CRASH_THRESHOLD;
    }

    /**
     * Returns whether a crash counts towards the total. An unproven crash does not count while the
     * worker is or may be listed, since the worker may only be unreachable.
     */
    private boolean countsAsCrash(Crash crash)
    {
        boolean isListed = workers.find(crash.worker()).map(worker -> worker.entry() != null).orElse(false);
        return crash.evidence() != Attribution.UNPROVEN || !isListed && !awaitsWorkers;
    }

    /** Marks the crashes of a confirmed poison task as explained for all other tasks. */
    void confirmPoison(Task task, Effects effects)
    {
        Set<String> crashedWorkers = task.crashes().provenWorkers();
        for (Task other : trackedTasks)
        {
            if (other != task)
            {
                updateCrashes(other, other.crashes().withExplained(crashedWorkers),
                        "explained by " + task.name(), effects);
            }
        }
    }

    /**
     * Clears the history of tasks that have run long enough.
     *
     * @return the waiting tasks to fail, those with the most attributed crashes first; failing one may
     *         clear others
     */
    List<Task> check(Effects effects)
    {
        List<Task> poisonTasks = new ArrayList<>();
        for (Iterator<Task> iterator = trackedTasks.iterator(); iterator.hasNext();)
        {
            Task task = iterator.next();
            if (task.isOnWorker() && task.observedMillis() >= CLEAR_AFTER_MILLIS)
            {
                updateCrashes(task, CrashHistory.NONE, SURVIVED, effects);
            }
            boolean hasEnded = task.phase() == Task.Phase.DONE || task.step().job().state().isFinal();
            if (hasEnded || task.crashes().isEmpty())
            {
                iterator.remove();
            }
            else if (task.phase() == Task.Phase.WAITING && isPoison(task))
            {
                poisonTasks.add(task);
            }
        }
        poisonTasks.sort(Comparator.comparingInt(CrashGuard::attributedCrashCount).reversed());
        return poisonTasks;
    }

    /**
     * Returns the workers on which a suspect has not survived its start yet. Nothing else may start
     * there.
     */
    Set<TrackedWorker> isolationWorkers()
    {
        Set<TrackedWorker> isolated = new HashSet<>();
        for (Task task : trackedTasks)
        {
            if (task.isIsolated())
            {
                isolated.add(task.worker());
            }
        }
        return isolated;
    }
}
