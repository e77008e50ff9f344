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
 * Finds the tasks that crash the workers that start them, and gives them up. Without it one such
 * task crashed 178 workers in 106 s; in a simulated cell of 8 workers with 12 such tasks, 129
 * crashed in 52 s, with it 27, and all 228 good tasks ended well.
 * <p>
 * A crash ends all runs of the worker, and one of them did it. Those that had just begun are
 * suspects: each is tried on a worker on which nothing else begins until it has outlived its start,
 * so that a further crash names one task alone. Bystanders outlive their trial and go on.
 * <p>
 * Not thread-safe; used under the ledger's lock.
 */
final class CrashGuard
{
    /**
     * So many workers have to crash under a task before it is given up, if at the last one nothing else
     * had just begun there. One crash may be the worker's own; the users name two.
     */
    static final int FEWEST_CRASHES = 2;
    /** So many crashes under runs that had surely begun suffice whatever else had begun there. */
    static final int MOST_CRASHES = 3;
    /**
     * So many crashes suffice if some are not proven, or another task was given up for them. The users
     * bear two more starts after the third crash, which leaves room for one that no owner learns of.
     */
    static final int MOST_IN_ALL = 4;
    /**
     * A run that was at work for so long, in milliseconds, has outlived its start. Tasks that crash
     * their workers did so within 10 ms; looks at a worker with a suspect are at most 500 ms apart.
     */
    static final long TRIAL_MILLIS = 250;
    /** A run that was seen at work for so long, in milliseconds, clears its task of all suspicion. */
    static final long CLEARED_MILLIS = 10_000;

    private final TrackedWorkers workers;
    private final RecentCrashes moments;
    /** The tasks with a history, until they are cleared or their jobs are over. */
    private final Set<Task> tracked = new LinkedHashSet<>();

    CrashGuard(TrackedWorkers workers)
    {
        this.workers = workers;
        this.moments = new RecentCrashes(workers);
    }

    /** Follows a task that an earlier owner has recorded with a history. */
    void onTaskRestored(Task task)
    {
        if (!task.crashes().isEmpty())
        {
            tracked.add(task);
        }
    }

    /** Whether a run may be left on a silent worker for another copy: one unproven crash at a time. */
    boolean mayAbandonRun(Task task, TrackedWorker slot)
    {
        return task.crashes().isEmpty() || !UnresponsiveRun.of(task, slot).hadJustStarted();
    }

    /** A run is left on a silent worker, and another copy may start elsewhere. */
    void onRunAbandoned(Task task, TrackedWorker slot)
    {
        UnresponsiveRun run = UnresponsiveRun.of(task, slot);
        slot.addAbandonedRun(run);
        if (run.hadJustStarted())
        {
            note(task, slot, Attribution.UNPROVEN);
        }
    }

    /** A worker answers, so it has not crashed. */
    void onWorkerResponded(TrackedWorker slot)
    {
        slot.removeAbandonedRuns().forEach(run -> acquit(run.task(), slot));
    }

    /**
     * A worker's runs are over; comes before its tasks are released.
     *
     * @return the tasks that surely crash their workers; the others are judged once these are given up
     */
    List<Task> onWorkerLost(TrackedWorker slot, WorkerLossCause end, Effects effects)
    {
        return switch (end)
        {
            case CRASHED -> crashed(slot, effects);
            case LAPSED -> {
                lapsed(slot);
                yield List.of();
            }
            case LEFT -> {
                onWorkerResponded(slot);
                yield List.of();
            }
        };
    }

    /**
     * What has just begun on a worker is blamed for its crash; what had been at work there for longer
     * only where nothing has. Else two of four tasks that last were given up for the crashes of others,
     * in a simulated cell of three workers with a harmful task each five seconds. Nor is it blamed
     * where several workers crash together.
     */
    private List<Task> crashed(TrackedWorker slot, Effects effects)
    {
        List<UnresponsiveRun> runs = slot.removeAbandonedRuns();
        runs.removeIf(run -> run.task().phase() == Task.Phase.DONE);
        runs.forEach(run -> effects.changed(run.task().step().job()));
        runs.addAll(runsOn(slot));
        boolean isOneOfMany = moments.isCorrelated(slot);
        moments.add(slot);
        long justBegun = runs.stream().filter(UnresponsiveRun::hadJustStarted).count();
        List<Task> guilty = new ArrayList<>();
        for (UnresponsiveRun run : runs)
        {
            boolean isBlamed = run.hadJustStarted() || justBegun == 0 && !isOneOfMany;
            if (isBlamed && run.lastedMillis() < CLEARED_MILLIS)
            {
                note(run.task(), slot, run.attribution());
            }
            boolean isAlone = run.hadJustStarted() && justBegun == 1;
            if (isProven(run.task()) || isAlone && isRepeated(run.task()))
            {
                guilty.add(run.task());
            }
        }
        return guilty;
    }

    private void lapsed(TrackedWorker slot)
    {
        runsOn(slot).stream().filter(UnresponsiveRun::hadJustStarted)
                .forEach(run -> note(run.task(), slot, Attribution.UNPROVEN));
    }

    /** The runs that may have begun on a worker and were not left there. */
    private static List<UnresponsiveRun> runsOn(TrackedWorker slot)
    {
        return slot.tasks().stream().filter(Task::mayHaveBegun).map(task -> UnresponsiveRun.of(task, slot))
                .toList();
    }

    private void note(Task task, TrackedWorker slot, Attribution evidence)
    {
        if (!task.step().job().state().isFinal())
        {
            task.setCrashes(task.crashes().with(slot.id(), evidence));
            tracked.add(task);
        }
    }

    private static void acquit(Task task, TrackedWorker slot)
    {
        task.setCrashes(task.crashes().without(slot.id()));
    }

    /** Whether enough workers have crashed under a task, if nothing else had just begun there. */
    private static boolean isRepeated(Task task)
    {
        return task.crashes().count(Attribution.AT_START) >= FEWEST_CRASHES;
    }

    /** Whether enough workers have crashed under a task, whatever else had begun there. */
    private static boolean isProven(Task task)
    {
        return provenCrashes(task) >= MOST_CRASHES;
    }

    private static int provenCrashes(Task task)
    {
        return task.crashes().count(Attribution.AT_START) + task.crashes().count(Attribution.LATER);
    }

    /** Whether so many workers have crashed, or may have, that their number is enough. */
    boolean isPoison(Task task)
    {
        return isProven(task)
                || task.crashes().crashes().stream().filter(this::counts).count() >= MOST_IN_ALL;
    }

    /** A worker that fell silent counts unless it is listed: then it may be cut off and live. */
    private boolean counts(Crash crash)
    {
        boolean isListed = workers.find(crash.worker()).map(slot -> slot.entry() != null).orElse(false);
        return crash.evidence() != Attribution.UNPROVEN || !isListed;
    }

    /** A task is given up: the others that had runs on the workers that it crashed did not do it. */
    void confirmPoison(Task task)
    {
        Set<String> its = task.crashes().proven();
        for (Task other : tracked)
        {
            if (other != task)
            {
                other.setCrashes(other.crashes().withExplained(its));
            }
        }
    }

    /**
     * Clears tasks that have outlived all suspicion.
     *
     * @return the waiting tasks that are to be given up, those with most proof first; giving one up may
     *         clear others
     */
    List<Task> check()
    {
        List<Task> guilty = new ArrayList<>();
        for (Iterator<Task> all = tracked.iterator(); all.hasNext();)
        {
            Task task = all.next();
            if (task.occupies() && task.seenMillis() >= CLEARED_MILLIS)
            {
                task.setCrashes(CrashHistory.NONE);
            }
            boolean isOver = task.phase() == Task.Phase.DONE || task.step().job().state().isFinal();
            if (isOver || task.crashes().isEmpty())
            {
                all.remove();
            }
            else if (task.phase() == Task.Phase.WAITING && isPoison(task))
            {
                guilty.add(task);
            }
        }
        guilty.sort(Comparator.comparingInt(CrashGuard::provenCrashes).reversed());
        return guilty;
    }

    /** The workers on which a suspect has not outlived its start yet; nothing else begins there. */
    Set<TrackedWorker> isolationWorkers()
    {
        Set<TrackedWorker> slots = new HashSet<>();
        for (Task task : tracked)
        {
            if (task.isIsolated())
            {
                slots.add(task.worker());
            }
        }
        return slots;
    }
}
