/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.job.StepSpec;
import org.gaugehollow.speculation.CopyPolicy;

/**
 * Starts copies of tasks that allow duplicate runs, where {@link CopyPolicy} decides so. A task has
 * at most one copy in its life.
 * <p>
 * Not thread-safe; guarded by the lock of the cell state.
 */
final class CopyPlanner
{
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Time after which a start counts as unanswered: two attempts have not been answered. */
    private static final long UNANSWERED_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final CellState cellState;
    private final Planner planner;
    private final WorkerSlowness speeds;
    private long checkedNanos;
    private boolean hasChecked;

    /**
     * A copy that is to be started.
     *
     * @param task the name of the task
     * @param run the number and worker of its own run
     * @param copy the number and worker of the copy
     * @param slowness the factor by which work takes longer on the worker than on a typical one
     * @param gainMillis the time by which the step is expected to end earlier, in milliseconds
     */
    record StartedCopy(String task, String run, String copy, double slowness, double gainMillis)
    {
        /** Returns the text of the event. */
        String describe()
        {
            String cause = Double.isInfinite(slowness)
                    ? "start unanswered"
                    : String.format("slowness %.1f", slowness);
            return String.format("run %s beside run %s, %s, expected gain %.0f ms", copy, run, cause,
                    gainMillis);
        }
    }

    CopyPlanner(CellState cellState, Planner planner, WorkerSlowness speeds)
    {
        this.cellState = cellState;
        this.planner = planner;
        this.speeds = speeds;
    }

    /**
     * Adds the starts of copies to a plan. Must be called right after the planning round.
     *
     * @param plan the result of the planning round
     * @param nowNanos the monotonic time, in nanoseconds
     * @param wallMillis the time in milliseconds since 1970
     * @return the copies
     */
    List<StartedCopy> plan(Planner.Plan plan, long nowNanos, long wallMillis)
    {
        if (hasChecked && nowNanos - checkedNanos < PERIOD_NANOS)
        {
            return List.of();
        }
        hasChecked = true;
        checkedNanos = nowNanos;
        List<StartedCopy> started = new ArrayList<>();
        List<Task> candidates = findCandidates(nowNanos);
        CopyBudget budget = candidates.isEmpty()
                ? null
                : CopyBudget.of(cellState, planner.acceptingWorkers());
        for (Task task : candidates)
        {
            boolean isAtQuota = plan.atQuota().containsKey(task.step().job().record().customer());
            if (!isAtQuota)
            {
                copyIfUseful(task, budget, plan, nowNanos, wallMillis).ifPresent(started::add);
            }
        }
        return started;
    }

    /** Returns the tasks that could have a copy and whose run is slow or unanswered. */
    private List<Task> findCandidates(long nowNanos)
    {
        List<Task> candidates = new ArrayList<>();
        for (TrackedWorker worker : cellState.workers())
        {
            boolean isSlow = speeds.slowness(worker) >= CopyPolicy.MIN_SLOWNESS;
            worker.forEachTask(task ->
            {
                boolean isHeldUp = isSlow && task.phase() == Task.Phase.RUNNING
                        || task.isUncertainFor(UNANSWERED_NANOS, nowNanos);
                if (isHeldUp && mayCopy(task))
                {
                    candidates.add(task);
                }
            });
        }
        return candidates;
    }

    private static boolean mayCopy(Task task)
    {
        Job job = task.step().job();
        StepSpec spec = task.step().spec();
        boolean isEligible = task.allowsDuplicateRuns() && !spec.fills() && !spec.rackLocal()
                && spec.accelerators() == 0;
        boolean isFirst = !task.isCopy() && !task.wasCopied() && !task.hasSucceeded()
                && !task.hasAbandonedRuns() && task.crashes().isEmpty();
        return isEligible && isFirst && !job.isOpenEnded() && !job.state().isFinal();
    }

    private Optional<StartedCopy> copyIfUseful(Task task, CopyBudget budget, Planner.Plan plan, long nowNanos,
            long wallMillis)
    {
        Optional<CopyPolicy.Run> run = describe(task);
        if (run.isEmpty())
        {
            return Optional.empty();
        }
        CopyPolicy.Decision decision = CopyPolicy.decide(run.get(), describeJob(task, nowNanos, wallMillis),
                budget.with(task.step()));
        if (!decision.isStart())
        {
            return Optional.empty();
        }
        Optional<Task> copy = planner.startCopy(task,
                worker -> speeds.slowness(worker) <= CopyPolicy.MAX_TARGET_SLOWNESS, plan, nowNanos);
        copy.ifPresent(started -> budget.add(started.step()));
        return copy.map(started -> new StartedCopy(task.name(), describeRun(task), describeRun(started),
                run.get().slowness(), decision.gainMillis()));
    }

    private static String describeRun(Task task)
    {
        return task.run() + " on " + task.worker().id();
    }

    /** Describes the run of a task on a worker; empty if its speed is not known yet. */
    private Optional<CopyPolicy.Run> describe(Task task)
    {
        if (task.phase() != Task.Phase.RUNNING)
        {
            return Optional.of(CopyPolicy.Run.unanswered(task.step().spec().estimateMillis(),
                    WorkerSession.LEASE_MILLIS));
        }
        double projectedMillis = task.projectedMillis();
        double doneShare = (double) task.percent() / Task.FULL_PERCENT;
        return projectedMillis == 0
                ? Optional.empty()
                : Optional.of(CopyPolicy.Run.of(projectedMillis, doneShare, speeds.slowness(task.worker())));
    }

    private CopyPolicy.Job describeJob(Task task, long nowNanos, long wallMillis)
    {
        Step step = task.step();
        Job job = step.job();
        double othersMillis = 0;
        for (Task other : step.tasks())
        {
            if (other != task && !other.hasSucceeded())
            {
                othersMillis = Math.max(othersMillis, bestMillis(other, nowNanos));
            }
        }
        return new CopyPolicy.Job(job.objectiveMillis(), wallMillis - job.record().acceptedMillis(),
                othersMillis, job.remainingMillisWithout(step), task.failures(), job.queue().maxAttempts());
    }

    /** Returns the time until a task that has not succeeded ends, if it is copied where that helps. */
    private double bestMillis(Task task, long nowNanos)
    {
        boolean isRunning = task.phase() == Task.Phase.RUNNING;
        double runMillis = isRunning
                ? describe(task).map(CopyPolicy.Run::bestMillis)
                        .orElse((double) task.remainingMillis(nowNanos))
                : task.step().spec().estimateMillis();
        return task.copy() == null ? runMillis : Math.min(runMillis, task.copy().remainingMillis(nowNanos));
    }
}
