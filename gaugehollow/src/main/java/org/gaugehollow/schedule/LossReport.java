/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;

/** Logs the runs that were lost with their workers, and which tasks are blamed for that. */
final class LossReport
{
    private final StoppedWork stoppedWork;
    private final EventLog events;

    /**
     * @param stoppedWork counts the work of lost runs
     * @param events log for the losses
     */
    LossReport(StoppedWork stoppedWork, EventLog events)
    {
        this.stoppedWork = stoppedWork;
        this.events = events;
    }

    /** Logs the losses among the effects of a change. Must be called without the lock. */
    void record(Effects effects)
    {
        effects.lostRuns().forEach(this::recordLostRun);
        effects.recordedCrashes()
                .forEach(crash -> events.record(EventType.CRASH_RECORDED, crash.task(), crash.describe()));
        effects.poisonTasks().forEach(task -> events.record(EventType.TASK_GIVEN_UP, task.task(),
                "crashed workers: " + task.crashes().crashes()));
        effects.withdrawnCrashes()
                .forEach(crash -> events.record(EventType.CRASH_WITHDRAWN, crash.task(), crash.describe()));
    }

    private void recordLostRun(Effects.LostRun run)
    {
        stoppedWork.addLost(run);
        events.record(EventType.RUN_LOST, run.task(), "run " + run.run() + " on " + run.worker() + ": "
                + run.cause().description() + ", observed running for " + run.observedMillis() + " ms");
    }
}
