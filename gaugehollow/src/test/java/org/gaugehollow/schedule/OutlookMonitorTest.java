/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.junit.jupiter.api.Test;

/** Guards against an overload that fills the log, or that an operator doesn't see. */
class OutlookMonitorTest
{
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final OutlookMonitor monitor = new OutlookMonitor(events);

    private List<Job> jobs(int count)
    {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++)
        {
            jobs.add(new Job(TestJobs.job(String.format("%016x", i), TestJobs.step(1, 1_000, List.of())), i));
            jobs.get(i).round(0);
        }
        return jobs;
    }

    private List<String> logged()
    {
        return events.since(0).stream().map(event -> event.name() + ' ' + event.text()).toList();
    }

    private void scanAt(List<Job> jobs, long wallMillis)
    {
        JobOrder.waitingByUrgency(jobs, wallMillis);
        monitor.report(monitor.scan(jobs));
    }

    @Test
    void eachOutlookOfAJobIsLoggedOnce()
    {
        List<Job> jobs = jobs(1);
        scanAt(jobs, 0);
        assertThat(logged()).isEmpty();
        scanAt(jobs, 2_000);
        scanAt(jobs, 2_100);
        assertThat(logged()).containsExactly("JOB_DEFERRED LATE, priority 0, slack -1350 ms, not begun");
        scanAt(jobs, 10_000);
        scanAt(jobs, 2_100);
        scanAt(jobs, 10_000);
        assertThat(logged()).hasSize(2);
    }

    @Test
    void numberOfLinesIsBounded()
    {
        scanAt(jobs(500), 2_000);
        assertThat(logged()).hasSize(OutlookMonitor.MAX_LINES + 1);
        assertThat(logged().getLast()).isEqualTo("JOB_DEFERRED and 489 more jobs");
    }
}
