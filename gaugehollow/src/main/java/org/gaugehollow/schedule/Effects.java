/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.gaugehollow.job.CrashHistory;

/** What has to be written and sent after a change of the ledger. */
final class Effects
{
    /**
     * A run that has to be stopped.
     *
     * @param slot the worker that has it
     * @param taskName the task's full name
     * @param run the run
     * @param task the task, or null where the ledger does not know the run
     */
    record Stop(TrackedWorker slot, String taskName, int run, Task task)
    {
    }

    /**
     * A run that is over with its worker.
     *
     * @param task the task's full name
     * @param run the run
     * @param worker the worker
     * @param end how it is known
     * @param seenMillis how long the run was seen at work, in milliseconds
     */
    record LostRun(String task, int run, String worker, WorkerLossCause end, long seenMillis)
    {
    }

    /**
     * A task that is given up.
     *
     * @param task the task's full name
     * @param crashes the workers that crashed under it
     */
    record PoisonTask(String task, CrashHistory crashes)
    {
    }

    private final Set<Job> changed = new LinkedHashSet<>();
    private final List<Stop> stops = new ArrayList<>();
    private final List<LostRun> lostRuns = new ArrayList<>();
    private final List<PoisonTask> givenUp = new ArrayList<>();

    /** A job's progress has changed. */
    void changed(Job job)
    {
        job.changed();
        changed.add(job);
    }

    /** A job's progress changed before, and the store may lack that. */
    void unwritten(Job job)
    {
        changed.add(job);
    }

    void stop(Task task)
    {
        task.stopping();
        stops.add(new Stop(task.worker(), task.name(), task.run(), task));
    }

    void stopUnknown(TrackedWorker slot, String taskName, int run)
    {
        stops.add(new Stop(slot, taskName, run, null));
    }

    /** A task's run is over with its worker. */
    void addLostRun(Task task, TrackedWorker slot, WorkerLossCause end)
    {
        lostRuns.add(new LostRun(task.name(), task.run(), slot.id(), end, task.seenMillis()));
    }

    /** The jobs whose progress is to be written. */
    Set<Job> changed()
    {
        return changed;
    }

    List<Stop> stops()
    {
        return stops;
    }

    /** A task is given up for the workers that crashed under it. */
    void givenUp(Task task)
    {
        givenUp.add(new PoisonTask(task.name(), task.crashes()));
    }

    List<PoisonTask> givenUp()
    {
        return givenUp;
    }

    List<LostRun> lostRuns()
    {
        return lostRuns;
    }
}
