/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.urgency.JobUrgency;
import org.gaugehollow.urgency.Outlook;

/**
 * Logs which waiting jobs can no longer be in time and are planned after others from then on. Each
 * job is logged at most once for each outlook.
 */
final class OutlookMonitor
{
    /** Maximum number of jobs logged per scan. */
    static final int MAX_LINES = 10;

    /** A job whose outlook got worse. */
    record Worsened(String job, JobUrgency urgency)
    {
    }

    private final EventLog events;
    private Map<String, Outlook> known = new HashMap<>();

    OutlookMonitor(EventLog events)
    {
        this.events = events;
    }

    /**
     * Returns the jobs whose outlook got worse since the last scan. Guarded by the cell state's lock.
     */
    List<Worsened> scan(Collection<Job> jobs)
    {
        List<Worsened> worsened = new ArrayList<>();
        Map<String, Outlook> scanned = new HashMap<>();
        for (Job job : jobs)
        {
            Outlook before = known.getOrDefault(job.id(), Outlook.UNCERTAIN);
            boolean isWorse = job.latestOutlook().compareTo(before) > 0;
            scanned.put(job.id(), isWorse ? job.latestOutlook() : before);
            if (isWorse)
            {
                job.urgency().ifPresent(urgency -> worsened.add(new Worsened(job.id(), urgency)));
            }
        }
        known = scanned;
        return worsened;
    }

    /** Logs the jobs, up to the maximum, and the number of the others. */
    void report(List<Worsened> worsened)
    {
        worsened.stream().limit(MAX_LINES)
                .forEach(job -> events.record(EventType.JOB_DEFERRED, job.job(), describe(job.urgency())));
        if (worsened.size() > MAX_LINES)
        {
            events.record(EventType.JOB_DEFERRED, worsened.get(MAX_LINES).job(),
                    "and " + (worsened.size() - MAX_LINES - 1) + " more jobs");
        }
    }

    /** Describes what decides the place of a job. */
    static String describe(JobUrgency urgency)
    {
        return urgency.outlook() + ", priority " + urgency.priority() + ", slack " + urgency.slackMillis()
                + " ms, " + (urgency.begun() ? "begun" : "not begun");
    }
}
