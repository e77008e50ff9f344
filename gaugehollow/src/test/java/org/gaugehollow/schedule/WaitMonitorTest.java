/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.Event;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Tests when waits are logged, and guards against unlimited lines. */
class WaitMonitorTest
{
    private static final String STEP = TestJobs.ID + ".0.0";
    private static final long BEGIN_NANOS = TimeUnit.SECONDS.toNanos(100);
    private static final int REPORT_MILLIS = 500;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final WaitMonitor monitor = new WaitMonitor(events,
            new OwnerLease("box", 1, 1, 0, SteadyClock.nanos()), BEGIN_NANOS);

    private static long nanosAt(long millis)
    {
        return BEGIN_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static WaitingGroup group(String step, WaitReason reason, long sinceMillis)
    {
        return new WaitingGroup(step, reason, 3, 2, nanosAt(sinceMillis), "details");
    }

    private void report(long millis, WaitingGroup... groups)
    {
        monitor.report(List.of(groups), nanosAt(millis));
    }

    private List<String> logged()
    {
        return events.since(0).stream()
                .map(event -> event.name() + ' ' + event.subject() + ' ' + event.text()).toList();
    }

    @Test
    void waitIsLoggedAfterASecondAndWhileItLastsAndAtItsEnd()
    {
        for (int millis = 2_000; millis <= 8_000; millis += REPORT_MILLIS)
        {
            report(millis, group(STEP, WaitReason.ADVICE_UNANSWERED, 2_000));
        }
        for (int millis = 8_500; millis <= 10_000; millis += REPORT_MILLIS)
        {
            report(millis);
        }
        String reason = ", tasks: 3, first index: 2: advice is requested and not answered; details";
        assertThat(logged())
                .containsExactly("TASK_WAITING " + STEP + " advice_unanswered for 1000 ms" + reason,
                        "TASK_WAITING " + STEP + " advice_unanswered for 6000 ms" + reason,
                        "TASK_UNBLOCKED " + STEP + " after 6000 ms, last reason advice_unanswered")
                .inOrder();
    }

    @Test
    void changedReasonIsLogged()
    {
        report(3_000, group(STEP, WaitReason.START_UNANSWERED, 1_000));
        report(4_500, group(STEP, WaitReason.RUN_UNCERTAIN, 3_000));
        assertThat(logged()).hasSize(2);
        assertThat(logged().get(1)).contains("run_uncertain for 1500 ms");
    }

    @Test
    void shortWaitIsNotLogged()
    {
        report(3_000, group(STEP, WaitReason.PROGRESS_UNWRITTEN, 2_500));
        report(3_500);
        report(9_000);
        assertThat(logged()).isEmpty();
    }

    /** Guards against a begin that a new owner cannot know. */
    @Test
    void waitSinceTheBeginOfTheTermMayBeLonger()
    {
        report(1_000, group(STEP, WaitReason.NO_CAPACITY, 0));
        assertThat(logged().getFirst())
                .contains("no_capacity for 1000 ms (since the begin of the term, or longer)");
    }

    /** Guards against a log that is flooded in a full cell, and rare reasons that are lost in it. */
    @Test
    void linesAreLimitedAndRareReasonsComeFirst()
    {
        List<WaitingGroup> groups = new ArrayList<>();
        for (int i = 0; i < 3_000; i++)
        {
            groups.add(group(String.format("%016x.0.0", i), WaitReason.NO_CAPACITY, 0));
        }
        groups.add(group(STEP, WaitReason.STOP_UNANSWERED, 0));
        int reports = 0;
        for (int millis = 1_000; millis < 11_000; millis += REPORT_MILLIS)
        {
            int before = logged().size();
            monitor.report(groups, nanosAt(millis));
            assertThat(logged().size() - before).isAtMost(WaitMonitor.MAX_LINES);
            reports++;
        }
        assertThat(reports).isEqualTo(20);
        assertThat(logged().getFirst()).contains(STEP + " stop_unanswered");
        List<String> omissions = events.since(0).stream().filter(event -> event.subject().equals("box"))
                .map(Event::text).toList();
        assertThat(omissions).hasSize(2);
        assertThat(omissions.getFirst())
                .isEqualTo("2992 waits of steps are not logged, too many at once: {no_capacity=2992}");
    }

    @Test
    void reportsAreSpaced()
    {
        assertThat(monitor.isDue(nanosAt(0))).isTrue();
        report(0);
        assertThat(monitor.isDue(nanosAt(REPORT_MILLIS - 1))).isFalse();
        assertThat(monitor.isDue(nanosAt(REPORT_MILLIS))).isTrue();
    }

    @Test
    void snapshotCountsTasksAndLongestWait()
    {
        report(4_000, group(STEP, WaitReason.QUOTA, 1_000), group("other", WaitReason.QUOTA, 3_000),
                group("new", WaitReason.QUOTA, 3_500));
        assertThat(monitor.snapshot().tasksByLabel()).containsEntry("quota", 6.0);
        assertThat(monitor.snapshot().longestSecondsByLabel()).containsEntry("quota", 3.0);
        assertThat(monitor.snapshot().tasksByLabel()).containsEntry("no_capacity", 0.0);
        report(4_500);
        assertThat(monitor.snapshot().tasksByLabel()).containsEntry("quota", 0.0);
    }
}
