/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Determines why tasks do not run, from the cell state and the latest planning round. Guarded by
 * the lock of the cell state.
 */
final class WaitClassifier
{
    /**
     * Maximum time between heartbeats of a worker that answers. The wait of a heartbeat and its slack
     * are well below.
     */
    private static final long MAX_HEARTBEAT_GAP_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * Why tasks wait.
     *
     * @param reason the reason
     * @param details the state that explains it
     */
    record Cause(WaitReason reason, String details)
    {
    }

    /** Number of suitable workers of a step by what keeps its tasks from starting there. */
    private static final class Obstacles
    {
        private final Map<WaitReason, Integer> counts = new EnumMap<>(WaitReason.class);
        private int suitable;
        private int usable;
        private int usableWithTicket;
        /** Workers that may run the step and are not avoided, with free capacity or not. */
        private int preferred;

        private boolean has(WaitReason reason)
        {
            return counts.containsKey(reason);
        }

        /** Avoided workers are used if there are no others that may run the step. */
        private boolean hasUsable()
        {
            return usable > 0 || has(WaitReason.WORKERS_AVOIDED) && preferred == 0;
        }

        @Override
        public String toString()
        {
            return suitable + " suitable workers: " + usable + " usable"
                    + counts.entrySet().stream()
                            .map(entry -> ", " + entry.getValue() + ' ' + entry.getKey().label())
                            .collect(Collectors.joining());
        }
    }

    private final CellState cellState;
    private final Planner planner;
    private final Tickets tickets;

    WaitClassifier(CellState cellState, Planner planner, Tickets tickets)
    {
        this.cellState = cellState;
        this.planner = planner;
        this.tickets = tickets;
    }

    /** Returns why the waiting tasks of a step were not started by the latest planning round. */
    Cause classify(Step step, long nowNanos)
    {
        if (!planner.allowsQuota(step))
        {
            return new Cause(WaitReason.QUOTA, "customer " + step.job().record().customer() + " uses "
                    + planner.quotaUsage(step) + ", a task needs " + step.needs());
        }
        if (step.spec().gang() && !step.isIdle())
        {
            return new Cause(WaitReason.GANG_RUN_ENDING,
                    step.tasks().stream().filter(Task::isOnWorker).count() + " members are on workers");
        }
        Obstacles obstacles = findObstacles(step, nowNanos);
        String advice = tickets.unanswered(step).map(unanswered -> "; " + unanswered.describe(nowNanos))
                .orElse("");
        return new Cause(reasonOf(step, obstacles),
                "a task needs " + step.needs() + "; " + obstacles + describeOutlook(step.job()) + advice);
    }

    /** Describes why other jobs are planned first, if the job can't be in time. */
    private static String describeOutlook(Job job)
    {
        return job.latestOutlook().mayBeInTime()
                ? ""
                : job.urgency().map(urgency -> "; " + OutlookMonitor.describe(urgency)).orElse("");
    }

    private WaitReason reasonOf(Step step, Obstacles obstacles)
    {
        if (obstacles.suitable == 0)
        {
            return WaitReason.NO_WORKER;
        }
        if (obstacles.hasUsable())
        {
            return reasonDespiteCapacity(step, obstacles);
        }
        for (WaitReason reason : new WaitReason[]{WaitReason.ISOLATION, WaitReason.WORKERS_AVOIDED,
                WaitReason.CAPACITY_RESERVED, WaitReason.SPREAD_LIMIT, WaitReason.NO_CAPACITY,
                WaitReason.WORKERS_UNAVAILABLE})
        {
            if (obstacles.has(reason))
            {
                return reason;
            }
        }
        return WaitReason.ADVICE_DENIED;
    }

    private WaitReason reasonDespiteCapacity(Step step, Obstacles obstacles)
    {
        boolean needsTickets = step.job().queue().adviceIfNeeded().isPresent();
        boolean isUnanswered = tickets.unanswered(step).isPresent();
        boolean isGang = step.spec().gang();
        if (needsTickets && (obstacles.usableWithTicket == 0 || isGang && isUnanswered))
        {
            return isUnanswered ? WaitReason.ADVICE_UNANSWERED : WaitReason.ADVICE_NOT_REQUESTED;
        }
        return isGang ? WaitReason.NO_CAPACITY : WaitReason.UNEXPLAINED;
    }

    private Obstacles findObstacles(Step step, long nowNanos)
    {
        Obstacles obstacles = new Obstacles();
        for (TrackedWorker worker : cellState.workers())
        {
            if (worker.entry() != null && step.suits(worker.entry()))
            {
                obstacles.suitable++;
                addObstacle(step, worker, obstacles, nowNanos);
            }
        }
        return obstacles;
    }

    private void addObstacle(Step step, TrackedWorker worker, Obstacles obstacles, long nowNanos)
    {
        Optional<WaitReason> obstacle = exclusionOf(step, worker);
        boolean isAvoided = worker.health().isAvoided(nowNanos);
        if (obstacle.isEmpty())
        {
            obstacles.preferred += isAvoided ? 0 : 1;
            obstacle = shortageOf(step, worker);
        }
        if (obstacle.isEmpty())
        {
            obstacles.usableWithTicket += tickets.ticket(step, worker).isPresent() ? 1 : 0;
            obstacle = isAvoided ? Optional.of(WaitReason.WORKERS_AVOIDED) : obstacle;
        }
        obstacle.ifPresentOrElse(reason -> obstacles.counts.merge(reason, 1, Integer::sum),
                () -> obstacles.usable++);
    }

    /** Returns why a suitable worker may not run the step, regardless of its free capacity. */
    private Optional<WaitReason> exclusionOf(Step step, TrackedWorker worker)
    {
        if (tickets.isDenied(step, worker))
        {
            return Optional.of(WaitReason.ADVICE_DENIED);
        }
        if (!worker.acceptsStarts())
        {
            return Optional.of(WaitReason.WORKERS_UNAVAILABLE);
        }
        return planner.isIsolated(worker) ? Optional.of(WaitReason.ISOLATION) : Optional.empty();
    }

    /** Returns why a worker that may run the step has no capacity for a task of it. */
    private Optional<WaitReason> shortageOf(Step step, TrackedWorker worker)
    {
        if (!worker.free().fits(step.needs()))
        {
            return Optional.of(WaitReason.NO_CAPACITY);
        }
        if (!step.canAddTo(worker, 1))
        {
            return Optional.of(WaitReason.SPREAD_LIMIT);
        }
        return planner.hasCapacity(step, worker, 1)
                ? Optional.empty()
                : Optional.of(WaitReason.CAPACITY_RESERVED);
    }

    /**
     * Returns why a task on a worker is not known to run, or empty if it runs.
     *
     * @param task a task on a worker
     * @param maySend whether commands may be sent
     * @param nowNanos the monotonic time, in nanoseconds
     */
    static Optional<WaitReason> classifyPlaced(Task task, boolean maySend, long nowNanos)
    {
        boolean hasAnswered = task.worker().isResponsive()
                && !(maySend && nowNanos - task.worker().lastHeartbeatNanos() > MAX_HEARTBEAT_GAP_NANOS);
        boolean isUnsent = task.phase() == Task.Phase.ORDERED && !task.mayHaveStarted();
        boolean isStopUnanswered = task.phase() == Task.Phase.STOPPING
                && task.settledNanos() == Task.UNSETTLED;
        if (!maySend && (isUnsent || isStopUnanswered))
        {
            return Optional.of(WaitReason.TERM_UNCONFIRMED);
        }
        if (isUnsent)
        {
            return Optional.of(WaitReason.PROGRESS_UNWRITTEN);
        }
        if (!hasAnswered)
        {
            return Optional.of(WaitReason.RUN_UNCERTAIN);
        }
        return switch (task.phase())
        {
            case ORDERED -> Optional.of(WaitReason.START_UNANSWERED);
            case STOPPING ->
                Optional.of(isStopUnanswered ? WaitReason.STOP_UNANSWERED : WaitReason.RUN_ENDING);
            default -> Optional.empty();
        };
    }

    /** Describes the latest run of a task on a worker. */
    static String describePlaced(Task task, long nowNanos)
    {
        TrackedWorker worker = task.worker();
        return "run " + task.run() + " on " + worker.id() + " is " + task.phase() + ", "
                + describeContact(worker, nowNanos) + ", its lease ends in "
                + TimeUnit.NANOSECONDS.toMillis(worker.leaseEndNanos() - nowNanos) + " ms";
    }

    private static String describeContact(TrackedWorker worker, long nowNanos)
    {
        if (!worker.hasAnswered())
        {
            return "it has not answered this owner";
        }
        return "last heartbeat " + TimeUnit.NANOSECONDS.toMillis(nowNanos - worker.lastHeartbeatNanos())
                + " ms ago";
    }
}
