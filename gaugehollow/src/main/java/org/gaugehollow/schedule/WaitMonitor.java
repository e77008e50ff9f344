/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;

/**
 * Logs which tasks wait and why, with a limited number of lines, and provides the numbers for
 * metrics. Used by one thread, except {@link #snapshot}.
 */
final class WaitMonitor
{
    /** Minimum time between two reports. */
    static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Maximum number of lines in a report, that is, 20 lines a second. */
    static final int MAX_LINES = 10;
    /** Time after which a wait that lasts is logged again. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Time without waiting tasks after which a logged wait has ended. */
    private static final long MIN_QUIET_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long NEVER = Long.MIN_VALUE;

    /** A wait for one reason. */
    private static final class ReasonWait
    {
        private final long sinceNanos;
        private WaitingGroup group;
        private long seenNanos;
        private long loggedNanos = NEVER;

        ReasonWait(long sinceNanos)
        {
            this.sinceNanos = sinceNanos;
        }

        private boolean wasLogged()
        {
            return loggedNanos != NEVER;
        }

        private boolean isLong(long nowNanos)
        {
            return seenNanos == nowNanos && nowNanos - sinceNanos >= WaitScan.MIN_WAIT_NANOS;
        }

        private boolean isDue(long nowNanos)
        {
            return isLong(nowNanos) && (!wasLogged() || nowNanos - loggedNanos >= REPEAT_NANOS);
        }

        private boolean hasEnded(long nowNanos)
        {
            return wasLogged() ? nowNanos - seenNanos > MIN_QUIET_NANOS : seenNanos != nowNanos;
        }
    }

    /** The waits of one step. */
    private static final class SubjectWait
    {
        private final Map<WaitReason, ReasonWait> reasons = new EnumMap<>(WaitReason.class);
        private long sinceNanos = Long.MAX_VALUE;
        private long seenNanos;
        private WaitReason lastLogged;
    }

    private final EventLog events;
    private final OwnerLease lease;
    private final long termBeginNanos;
    private final Map<String, SubjectWait> waits = new HashMap<>();
    private long reportedNanos = NEVER;
    private long omissionLoggedNanos = NEVER;
    private int remainingLines;
    private volatile WaitSnapshot snapshot = WaitSnapshot.EMPTY;

    /**
     * @param events log for the waits
     * @param lease the term
     * @param termBeginNanos monotonic time of the begin of the term
     */
    WaitMonitor(EventLog events, OwnerLease lease, long termBeginNanos)
    {
        this.events = events;
        this.lease = lease;
        this.termBeginNanos = termBeginNanos;
    }

    /** Returns whether the next report is due. */
    boolean isDue(long nowNanos)
    {
        return reportedNanos == NEVER || nowNanos - reportedNanos >= INTERVAL_NANOS;
    }

    /** Returns the tasks that waited at the latest report. */
    WaitSnapshot snapshot()
    {
        return snapshot;
    }

    /**
     * Reports the waiting tasks.
     *
     * @param groups all tasks that wait, at most one group for each subject and reason
     * @param nowNanos the monotonic time, in nanoseconds
     */
    void report(List<WaitingGroup> groups, long nowNanos)
    {
        reportedNanos = nowNanos;
        remainingLines = MAX_LINES;
        groups.forEach(group -> update(group, nowNanos));
        snapshot = createSnapshot(nowNanos);
        removeEnded(nowNanos);
        logDue(nowNanos);
    }

    private void update(WaitingGroup group, long nowNanos)
    {
        SubjectWait subject = waits.computeIfAbsent(group.subject(), key -> new SubjectWait());
        ReasonWait wait = subject.reasons.computeIfAbsent(group.reason(),
                key -> new ReasonWait(group.sinceNanos()));
        wait.group = group;
        wait.seenNanos = nowNanos;
        subject.seenNanos = nowNanos;
        subject.sinceNanos = Math.min(subject.sinceNanos, wait.sinceNanos);
    }

    private WaitSnapshot createSnapshot(long nowNanos)
    {
        WaitSnapshot created = new WaitSnapshot();
        for (SubjectWait subject : waits.values())
        {
            for (ReasonWait wait : subject.reasons.values())
            {
                if (wait.isLong(nowNanos))
                {
                    created.add(wait.group.reason(), wait.group.tasks(), nowNanos - wait.sinceNanos);
                }
            }
        }
        return created;
    }

    private void removeEnded(long nowNanos)
    {
        Iterator<Map.Entry<String, SubjectWait>> iterator = waits.entrySet().iterator();
        while (iterator.hasNext())
        {
            Map.Entry<String, SubjectWait> entry = iterator.next();
            SubjectWait subject = entry.getValue();
            subject.reasons.values().removeIf(wait -> wait.hasEnded(nowNanos));
            if (subject.reasons.isEmpty())
            {
                iterator.remove();
                logEnd(entry.getKey(), subject);
            }
        }
    }

    private void logEnd(String name, SubjectWait subject)
    {
        if (subject.lastLogged != null && remainingLines > 1)
        {
            remainingLines--;
            events.record(EventType.TASK_UNBLOCKED, name,
                    "after " + millis(subject.seenNanos - subject.sinceNanos) + " ms"
                            + termNote(subject.sinceNanos) + ", last reason " + subject.lastLogged.label());
        }
    }

    private void logDue(long nowNanos)
    {
        List<ReasonWait> due = new ArrayList<>();
        for (SubjectWait subject : waits.values())
        {
            subject.reasons.values().stream().filter(wait -> wait.isDue(nowNanos)).forEach(due::add);
        }
        due.sort(Comparator.comparing(ReasonWait::wasLogged).thenComparing(wait -> wait.group.reason())
                .thenComparingLong(wait -> wait.sinceNanos));
        int logged = due.size() <= remainingLines ? due.size() : remainingLines - 1;
        due.subList(0, logged).forEach(wait -> logWait(wait, nowNanos));
        logOmitted(due.subList(logged, due.size()), nowNanos);
    }

    private void logWait(ReasonWait wait, long nowNanos)
    {
        WaitingGroup group = wait.group;
        wait.loggedNanos = nowNanos;
        waits.get(group.subject()).lastLogged = group.reason();
        events.record(EventType.TASK_WAITING, group.subject(),
                group.reason().label() + " for " + millis(nowNanos - wait.sinceNanos) + " ms"
                        + termNote(wait.sinceNanos) + ", tasks: " + group.tasks() + ", first index: "
                        + group.firstIndex() + ": " + group.reason().description() + "; " + group.details());
    }

    private void logOmitted(List<ReasonWait> omitted, long nowNanos)
    {
        boolean isRecent = omissionLoggedNanos != NEVER && nowNanos - omissionLoggedNanos < REPEAT_NANOS;
        if (omitted.isEmpty() || isRecent)
        {
            return;
        }
        omissionLoggedNanos = nowNanos;
        Map<String, Integer> counts = new TreeMap<>();
        omitted.forEach(wait -> counts.merge(wait.group.reason().label(), 1, Integer::sum));
        events.record(EventType.TASK_WAITING, lease.box(),
                omitted.size() + " waits of steps are not logged, too many at once: " + counts);
    }

    /** Returns a note if a wait may have begun before this owner could observe it. */
    private String termNote(long sinceNanos)
    {
        return sinceNanos <= termBeginNanos ? " (since the begin of the term, or longer)" : "";
    }

    private static long millis(long nanos)
    {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
