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
 * Notices that the process did not run for a while: its own ticks came late. Where the steady clock
 * does not count suspension, the wall clock that moved on while it stood still shows that;
 * elsewhere a step of the wall clock says nothing. Rights are then put aside until the store renews
 * them.
 */
final class PauseDetector implements SupervisedTask
{
    private static final long TICK_INTERVAL_MILLIS = 100;

    private final long minPauseMillis;
    private final Rights rights;
    private final Runnable renewNow;
    private final EventLog events;

    /** pauseMillis: the least gap that counts as a pause. */
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
                report(wallElapsed, "the monotonic clock stood still");
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
