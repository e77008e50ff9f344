/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Terms that the store did not confirm for so long that nothing could be ordered, and then
 * confirmed again before they were ended, as after a pause of the whole process.
 */
@Execution(ExecutionMode.CONCURRENT)
class UnconfirmedTermTest
{
    private static final String TASK = TestJobs.ID + ".0.0.0";
    private static final long MILLIS_WITHOUT_RIGHTS = 3_000;
    private static final long SOON_MILLIS = 5_000;

    private final FakePlatform platform = new FakePlatform();
    private FakeWorker worker;
    private TestTerm term;

    @BeforeEach
    void begin() throws InterruptedException
    {
        worker = platform.addWorker("w1");
        term = new TestTerm(platform, "box");
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.looks() > 1)).isTrue();
    }

    @AfterEach
    void stop()
    {
        term.close();
    }

    private void loseRights() throws InterruptedException
    {
        term.stopConfirming();
        long silence = TimeUnit.NANOSECONDS.toMillis(OwnerLease.LONGEST_SILENCE_NANOS);
        assertThat(TestJobs.within(silence + SOON_MILLIS, () -> !term.lease().maySendCommands())).isTrue();
    }

    private void accept() throws InterruptedException
    {
        platform.accept(TestJobs.job(TestJobs.ID, TestJobs.step(1, 1_000, List.of())));
    }

    private void assertBegins() throws InterruptedException
    {
        boolean begun = TestJobs.within(SOON_MILLIS, () -> worker.isRunning(TASK));
        assertWithMessage("begun " + worker.begun() + ", looks " + worker.looks()).that(begun).isTrue();
        assertThat(term.lease().hasEnded()).isFalse();
    }

    /**
     * The looks at a worker used to end for good once the term was found unconfirmed between two of
     * them. The term went on, and no end on that worker was noted by it any more.
     */
    @Test
    void workersAreLookedAtAgainOnceTheTermIsConfirmed() throws InterruptedException
    {
        loseRights();
        Thread.sleep(MILLIS_WITHOUT_RIGHTS);
        int looks = worker.looks();
        term.confirm();
        assertThat(TestJobs.within(SOON_MILLIS, () -> worker.looks() > looks)).isTrue();
        assertThat(term.lease().hasEnded()).isFalse();
    }

    /**
     * A task that was placed while nothing could be ordered used to stay placed for good: its start was
     * given up without a word.
     */
    @Test
    void aJobThatCameWhileNothingCouldBeOrderedBeginsOnceTheTermIsConfirmed() throws InterruptedException
    {
        loseRights();
        accept();
        Thread.sleep(MILLIS_WITHOUT_RIGHTS);
        assertThat(worker.startsAsked()).isEqualTo(0);
        term.confirm();
        assertBegins();
    }
}
