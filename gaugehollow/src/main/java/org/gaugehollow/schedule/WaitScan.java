/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Collects the tasks that do not run although they are due, with the reason for each. Guarded by
 * the lock of the cell state.
 */
final class WaitScan
{
    /** Wait after which the reason is determined. */
    static final long MIN_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Maximum number of comparisons of a step with a worker in one scan, which limits the time for
     * which the lock is held. Steps that are not compared keep their last reason.
     */
    static final int MAX_COMPARISONS = 20_000;

    /** The wait of a step's tasks for a start. */
    private static final class StepWait
    {
        private final long firstNanos;
        private WaitingGroup group;

        StepWait(long firstNanos)
        {
            this.firstNanos = firstNanos;
        }

        void update(Step step, WaitClassifier.Cause cause, long nowNanos)
        {
            boolean isSame = group != null && group.reason() == cause.reason();
            long sinceNanos = group == null ? firstNanos : nowNanos;
            List<Task> waiting = step.waitingTasks();
            group = new WaitingGroup(step.name(), cause.reason(), waiting.size(), waiting.getFirst().index(),
                    isSame ? group.sinceNanos() : sinceNanos, cause.details());
        }
    }

    private final CellState cellState;
    private final WaitClassifier classifier;
    private final OwnerLease lease;
    private final long termBeginNanos;
    /** Waits of steps; those whose reason was determined least recently come first. */
    private final Map<Step, StepWait> stepWaits = new LinkedHashMap<>();
    private boolean isFirstScan = true;

    /**
     * @param cellState the cell state
     * @param classifier determines the reasons
     * @param lease the term
     * @param termBeginNanos monotonic time of the begin of the term
     */
    WaitScan(CellState cellState, WaitClassifier classifier, OwnerLease lease, long termBeginNanos)
    {
        this.cellState = cellState;
        this.classifier = classifier;
        this.lease = lease;
        this.termBeginNanos = termBeginNanos;
    }

    /**
     * Returns the tasks that do not run. Must be called right after a planning round, unless planning
     * is blocked. What waits in the first scan is counted from the begin of the term.
     *
     * @param block why nothing is planned, or empty
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the waiting tasks by step and reason
     */
    List<WaitingGroup> scan(Optional<WaitReason> block, long nowNanos)
    {
        if (block.equals(Optional.of(WaitReason.JOBS_UNREAD)))
        {
            return List.of(new WaitingGroup(lease.box(), WaitReason.JOBS_UNREAD, 0, 0, termBeginNanos, ""));
        }
        List<WaitingGroup> groups = new ArrayList<>();
        updateStepWaits(block, nowNanos);
        for (StepWait wait : stepWaits.values())
        {
            if (wait.group != null)
            {
                groups.add(wait.group);
            }
        }
        groups.addAll(placedGroups(nowNanos));
        List<WaitingGroup> result = isFirstScan
                ? groups.stream().map(group -> group.since(termBeginNanos)).toList()
                : groups;
        isFirstScan = false;
        return result;
    }

    private void updateStepWaits(Optional<WaitReason> block, long nowNanos)
    {
        Set<Step> waiting = new LinkedHashSet<>(cellState.waitingSteps());
        stepWaits.keySet().retainAll(waiting);
        long firstNanos = isFirstScan ? termBeginNanos : nowNanos;
        waiting.forEach(step -> stepWaits.computeIfAbsent(step, key -> new StepWait(firstNanos)));
        int comparisons = 0;
        for (Step step : List.copyOf(stepWaits.keySet()))
        {
            StepWait wait = stepWaits.get(step);
            boolean isLong = nowNanos - wait.firstNanos >= MIN_WAIT_NANOS;
            if (isLong && (block.isPresent() || comparisons < MAX_COMPARISONS))
            {
                comparisons += cellState.workers().size();
                wait.update(step,
                        block.map(this::describeBlock).orElseGet(() -> classifier.classify(step, nowNanos)),
                        nowNanos);
                stepWaits.remove(step);
                stepWaits.put(step, wait);
            }
        }
    }

    private WaitClassifier.Cause describeBlock(WaitReason block)
    {
        return new WaitClassifier.Cause(block,
                "the store confirmed the term " + lease.unconfirmedMillis() + " ms ago");
    }

    private List<WaitingGroup> placedGroups(long nowNanos)
    {
        Map<Step, Map<WaitReason, WaitingGroup>> groups = new HashMap<>();
        boolean maySend = lease.maySendCommands();
        for (TrackedWorker worker : cellState.workers())
        {
            worker.forEachTask(task ->
            {
                boolean isBesideRun = task.isCopy() && task.task().phase() != Task.Phase.WAITING;
                if (!task.step().job().state().isFinal() && !isBesideRun)
                {
                    WaitClassifier.classifyPlaced(task, maySend, nowNanos)
                            .ifPresent(reason -> addPlaced(task, reason, groups, nowNanos));
                }
            });
        }
        return groups.values().stream().flatMap(byReason -> byReason.values().stream()).toList();
    }

    private static void addPlaced(Task task, WaitReason reason,
            Map<Step, Map<WaitReason, WaitingGroup>> groups, long nowNanos)
    {
        Map<WaitReason, WaitingGroup> ofStep = groups.computeIfAbsent(task.step(),
                step -> new EnumMap<>(WaitReason.class));
        long sinceNanos = sinceNanos(task, reason, nowNanos);
        WaitingGroup group = ofStep.get(reason);
        ofStep.put(reason,
                group == null
                        ? new WaitingGroup(task.step().name(), reason, 1, task.index(), sinceNanos,
                                WaitClassifier.describePlaced(task, nowNanos))
                        : group.withTask(task.index(), sinceNanos));
    }

    private static long sinceNanos(Task task, WaitReason reason, long nowNanos)
    {
        TrackedWorker worker = task.worker();
        return switch (reason)
        {
            case START_UNANSWERED, PROGRESS_UNWRITTEN -> task.startedNanos();
            case RUN_UNCERTAIN -> worker.isUnresponsive()
                    ? worker.unresponsiveSinceNanos()
                    : Math.max(worker.lastHeartbeatNanos(), worker.firstSeenNanos());
            default -> nowNanos;
        };
    }
}
