/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speculation;

import static com.google.common.truth.Truth.assertThat;

import org.gaugehollow.speculation.CopyPolicy.Cell;
import org.gaugehollow.speculation.CopyPolicy.Job;
import org.gaugehollow.speculation.CopyPolicy.Run;
import org.gaugehollow.speculation.CopyPolicy.Verdict;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Guards against copies that gain nothing or cost capacity that others need. */
class CopyPolicyTest
{
    private static final double ROUNDING_MILLIS = 1e-6;
    private static final Cell EMPTY_CELL = new Cell(0.6, 0.01);
    /** A quick check: 800 ms of work with an objective of 1,450 ms, 600 ms after its acceptance. */
    private static final Job QUICK_CHECK = new Job(1_450, 600, 300, 0, 0, 4);

    private static Verdict verdict(Run run, Job job, Cell cell)
    {
        return CopyPolicy.decide(run, job, cell).verdict();
    }

    /** Guards against a step that waits for a worker that has turned six times slower. */
    @Test
    void runOnSlowWorkerIsCopied()
    {
        Run run = Run.of(4_800, 0.1, 6);
        assertThat(CopyPolicy.decide(run, QUICK_CHECK, EMPTY_CELL).isStart()).isTrue();
        assertThat(CopyPolicy.decide(run, QUICK_CHECK, EMPTY_CELL).gainMillis()).isGreaterThan(3_000);
    }

    /** Guards against copies of tasks that take seven times as long by themselves. */
    @Test
    void largeTaskOnSoundWorkerIsNotCopied()
    {
        assertThat(verdict(Run.of(5_600, 0.1, 1), QUICK_CHECK, EMPTY_CELL))
                .isEqualTo(Verdict.WORKER_NOT_SLOW);
    }

    /** Guards against a copy that ends after the run: the rest of it is shorter than the whole task. */
    @Test
    void runThatIsNearlyDoneIsNotCopied()
    {
        assertThat(verdict(Run.of(4_800, 0.9, 6), QUICK_CHECK, EMPTY_CELL)).isEqualTo(Verdict.NO_GAIN);
    }

    /** Guards against a copy of one task while another task of the step takes as long. */
    @Test
    void runIsNotCopiedIfAnotherTaskHoldsTheStep()
    {
        Job held = new Job(1_450, 600, 4_400, 0, 0, 4);
        assertThat(verdict(Run.of(4_800, 0.1, 6), held, EMPTY_CELL)).isEqualTo(Verdict.NO_GAIN);
    }

    /** Guards against copies for jobs that keep their objective anyway or are lost in any case. */
    @Test
    void copyMustHelpTheJob()
    {
        Job early = new Job(20_000, 600, 300, 0, 0, 4);
        Job hopeless = new Job(1_450, 60_000, 300, 0, 0, 4);
        assertThat(verdict(Run.of(4_800, 0.1, 6), early, EMPTY_CELL)).isEqualTo(Verdict.NO_BENEFIT);
        assertThat(verdict(Run.of(4_800, 0.1, 6), hopeless, EMPTY_CELL)).isEqualTo(Verdict.NO_BENEFIT);
    }

    /** Guards against a job that fails because two runs at once used up its attempts. */
    @Test
    void taskWithFewAttemptsLeftIsNotCopied()
    {
        Job failedTwice = new Job(1_450, 600, 300, 0, 2, 4);
        assertThat(verdict(Run.of(4_800, 0.1, 6), failedTwice, EMPTY_CELL)).isEqualTo(Verdict.FEW_ATTEMPTS);
    }

    /** Guards against copies in a full cell and against many copies at a time. */
    @Test
    void copiesUseOnlyASmallShareOfSpareCapacity()
    {
        Run run = Run.of(4_800, 0.1, 6);
        assertThat(verdict(run, QUICK_CHECK, new Cell(0.05, 0.01))).isEqualTo(Verdict.NO_CAPACITY);
        assertThat(verdict(run, QUICK_CHECK, new Cell(0.6, 0.06))).isEqualTo(Verdict.NO_CAPACITY);
    }

    /** Guards against a task held up by a start that is never answered. */
    @Test
    void unansweredStartIsCopied()
    {
        assertThat(verdict(Run.unanswered(800, 6_000), QUICK_CHECK, EMPTY_CELL)).isEqualTo(Verdict.START);
    }

    /** Guards against copies that cost more than they gain, whatever the sizes of tasks are. */
    @Property
    void copyAlwaysEndsClearlyBeforeTheRunOnASlowWorker(
            @ForAll @DoubleRange(min = 1, max = 60_000) double projectedMillis,
            @ForAll @DoubleRange(min = 0, max = 1) double doneShare,
            @ForAll @DoubleRange(min = 0.2, max = 10) double slowness,
            @ForAll @DoubleRange(min = 0, max = 10_000) double othersMillis)
    {
        Run run = Run.of(projectedMillis, doneShare, slowness);
        Job job = new Job(1_450, 600, othersMillis, 0, 0, 4);
        CopyPolicy.Decision decision = CopyPolicy.decide(run, job, EMPTY_CELL);
        if (decision.isStart())
        {
            assertThat(slowness).isAtLeast(CopyPolicy.MIN_SLOWNESS);
            assertThat(run.copyMillis()).isLessThan(run.leftMillis());
            assertThat(othersMillis + decision.gainMillis()).isAtMost(run.leftMillis() + ROUNDING_MILLIS);
        }
    }
}
