/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Detects pauses of the process by its own late ticks. If the steady clock does not count time in
 * suspension, a suspension is detected by the wall clock advancing more than the steady clock;
 * otherwise changes of the wall clock are ignored. After a pause, the rights of this box are
 * suspended or revoked until the store renews them.
 */
final class PauseDetector implements SupervisedTask
{
    private static final long TICK_INTERVAL_MILLIS = 100;

    private final long minPauseMillis;
    private final Rights rights;
    private final Runnable renewNow;
    private final EventLog events;

    /**
     * Creates a detector.
     *
     * @param minPauseMillis the minimum gap between ticks that counts as a pause, in milliseconds
     * @param rights the rights to suspend or revoke
     * @param renewNow starts a renewal of the rights
     * @param events the event log
     */
    PauseDetector(long minPauseMillis, Rights rights, Runnable renewNow, EventLog events)
    {
        this.minPauseMillis = minPauseMillis;
        this.rights = rights;
        this.renewNow = renewNow;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        long lastNanos = SteadyClock.nanos();
        long lastWallMillis = System.currentTimeMillis();
        while (true)
        {
            Thread.sleep(TICK_INTERVAL_MILLIS);
            long nowNanos = SteadyClock.nanos();
            long wallMillis = System.currentTimeMillis();
            long monotonicElapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos);
            long wallElapsed = wallMillis - lastWallMillis;
            boolean wasSuspended = !SteadyClock.countsSuspension()
                    && wallElapsed - monotonicElapsed > minPauseMillis;
            if (wasSuspended)
            {
                rights.revoke();
                report(wallElapsed, "the monotonic clock did not advance");
            }
            else if (monotonicElapsed > minPauseMillis)
            {
                rights.suspend();
                report(monotonicElapsed, "the process did not run");
            }
            lastNanos = nowNanos;
            lastWallMillis = wallMillis;
        }
    }

    private void report(long millis, String cause)
    {
        renewNow.run();
        events.record(EventType.PAUSE_DETECTED, "process", cause + " for " + millis + " ms");
    }
}
