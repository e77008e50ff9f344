/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.worker.Advice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** Guards against tasks of accepted jobs that do not run while the log tells no reason. */
@Execution(ExecutionMode.CONCURRENT)
class WaitLogTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final StepSpec ONE_TASK = TestJobs.step(1, 1_000, List.of());
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final long RETENTION_NANOS = 1_000_000_000L;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final FakePlatform platform = new FakePlatform();
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void beginTerm() throws InterruptedException
    {
        worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box", events, RETENTION_NANOS);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.heartbeatCount() > 1)).isTrue();
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void accept(QueueSpec queue) throws InterruptedException
    {
        platform.accept(
                new JobRecord(TestJobs.ID, queue, new JobSpec("text", List.of(ONE_TASK), 0, 0, 0), 0));
    }

    private List<String> loggedFor(String job)
    {
        return events.since(0).stream().filter(event -> event.subject().startsWith(job))
                .map(event -> event.name() + ' ' + event.text()).toList();
    }

    private void assertLogged(String regex) throws InterruptedException
    {
        boolean isLogged = TestJobs.waitUntil(TIMEOUT_MILLIS,
                () -> loggedFor(TestJobs.ID).stream().anyMatch(line -> line.matches(regex)));
        assertWithMessage("logged: " + loggedFor(TestJobs.ID)).that(isLogged).isTrue();
    }

    @Test
    void logNamesAdviceThatIsNeverAnswered() throws InterruptedException
    {
        CountDownLatch answer = new CountDownLatch(1);
        platform.setAdvice((step, workers, timeout) ->
        {
            answer.await();
            return new Advice(List.of(new Advice.Ticket("w1", "ticket")), 0);
        });
        accept(TestJobs.ADVISED_QUEUE);
        assertLogged("TASK_WAITING advice_unanswered for \\d+ ms, tasks: 1, first index: 0: .*"
                + "no advice since \\d+ ms, 0 requests failed, one is pending for \\d+ ms");
        assertThat(term.term().status().waits().tasksByLabel()).containsEntry("advice_unanswered", 1.0);
        assertThat(term.term().status().waits().longestSecondsByLabel().get("advice_unanswered"))
                .isAtLeast(1.0);
        answer.countDown();
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        assertLogged("TASK_UNBLOCKED after \\d+ ms, last reason advice_unanswered");
    }

    @Test
    void logNamesStartThatIsNotAnswered() throws InterruptedException
    {
        worker.refuseAndDelayStarts();
        accept(TestJobs.QUEUE);
        assertLogged("TASK_WAITING start_unanswered for .*; run 1 on w1 is ORDERED, last heartbeat .*");
        worker.releaseStarts();
    }

    @Test
    void logNamesRunThatMayExistOnUnresponsiveWorker() throws InterruptedException
    {
        accept(TestJobs.QUEUE);
        assertThat(TestJobs.waitUntil(TIMEOUT_MILLIS, () -> worker.isRunning(TASK))).isTrue();
        worker.setUnresponsive(true);
        assertLogged("TASK_WAITING run_uncertain for .*; run 1 on w1 is RUNNING, last heartbeat \\d+ ms ago,"
                + " its lease ends in \\d+ ms");
    }

    @Test
    void logNamesPlacementThatTheStoreDoesNotTake() throws InterruptedException
    {
        platform.fakeStore().loseWritesTo(JobKeys.PROGRESS);
        accept(TestJobs.QUEUE);
        assertLogged("TASK_WAITING progress_unwritten for .*");
    }
}
