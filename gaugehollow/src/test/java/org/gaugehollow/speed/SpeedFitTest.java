/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards against tight work on slow workers, and against work with slack on fast ones. */
class SpeedFitTest
{
    private static final int RUNS = 40;
    private static final int WORK_MILLIS = 700;

    private final SpeedEstimates speeds = new SpeedEstimates();
    private final List<WorkerSpeed> workers = new ArrayList<>();

    /** Adds one worker of its own kind for each relative duration. */
    private SpeedRange learn(double... durations)
    {
        for (double duration : durations)
        {
            WorkerSpeed worker = new WorkerSpeed();
            speeds.setKind(worker, "kind-" + duration);
            workers.add(worker);
        }
        for (int i = 0; i < RUNS; i++)
        {
            List<StepRun> runs = new ArrayList<>();
            for (int j = 0; j < durations.length; j++)
            {
                runs.add(new StepRun(workers.get(j), WORK_MILLIS * durations[j], 0, true, new RunHistory()));
            }
            speeds.observe(runs, WORK_MILLIS, new EstimateBias(), true, i);
            speeds.update(i);
        }
        return SpeedRange.of(workers);
    }

    private static SpeedFit fit(double toObjective, double work, SpeedRange range)
    {
        return SpeedFit.of(new SpeedFit.Rest(toObjective, 3 * toObjective, work, false), range);
    }

    /** Equal workers must be rated as if nothing were known. */
    @Example
    void equalSpeedsAreNeutral()
    {
        SpeedRange range = learn(1, 1, 1.1);
        assertThat(range.isUniform()).isTrue();
        assertThat(fit(700, 680, range).isNeutral()).isTrue();
        assertThat(SpeedFit.any(range).rating(workers.getFirst(), true)).isEqualTo(0.0);
    }

    /** The slow worker must come after all others for tight work, and first for the rest. */
    @Example
    void tightWorkAvoidsAndPatientWorkPrefersTheSlowWorker()
    {
        SpeedRange range = learn(1, 1, 2.4);
        SpeedFit tight = fit(1_270, 600, range);
        assertThat(tight.isTooSlow(workers.get(2), false)).isTrue();
        assertThat(tight.rating(workers.get(2), false) - tight.rating(workers.get(0), false))
                .isGreaterThan(1.0);
        SpeedFit patient = fit(20_000, 4_000, range);
        assertThat(patient.rating(workers.get(2), false)).isLessThan(patient.rating(workers.get(0), false));
        SpeedFit lasting = SpeedFit.any(range);
        assertThat(lasting.rating(workers.get(2), false)).isLessThan(lasting.rating(workers.get(0), false));
    }

    /** A run away from its data on a slow worker is slow twice. */
    @Example
    void remoteRunNeedsAFasterWorker()
    {
        SpeedRange range = learn(1, 1, 2.4);
        SpeedFit patient = fit(20_000, 5_000, range);
        assertThat(patient.isTooSlow(workers.get(2), false)).isFalse();
        assertThat(patient.isTooSlow(workers.get(2), true)).isTrue();
        assertThat(patient.isTooSlow(workers.get(0), true)).isFalse();
    }

    /** A job that is late anyway must not take the fast workers from others. */
    @Example
    void hopelessWorkLeavesTheFastWorkers()
    {
        SpeedRange range = learn(1, 1, 2.4);
        SpeedFit hopeless = SpeedFit.of(new SpeedFit.Rest(-100, 2_500, 600, true), range);
        assertThat(hopeless.isTooSlow(workers.get(2), false)).isFalse();
        assertThat(hopeless.rating(workers.get(2), false)).isLessThan(hopeless.rating(workers.get(0), false));
        assertThat(hopeless.spareMillis()).isEqualTo(0);
    }

    /** A worker that suffices with little time must suffice with more, and the fastest always does. */
    @Property
    void moreTimeNeverExcludesAWorker(@ForAll @IntRange(min = -5_000, max = 60_000) int toObjective,
            @ForAll @IntRange(min = 1, max = 20_000) int work,
            @ForAll @DoubleRange(min = 1.3, max = 5) double slowness)
    {
        SpeedRange range = learn(1, 1, slowness);
        for (WorkerSpeed worker : workers)
        {
            boolean isTooSlow = fit(toObjective, work, range).isTooSlow(worker, false);
            boolean isTooSlowLater = fit(toObjective + 500, work, range).isTooSlow(worker, false);
            assertThat(isTooSlowLater && !isTooSlow).isFalse();
        }
        assertThat(fit(toObjective, work, range).isTooSlow(workers.getFirst(), false)).isFalse();
    }
}
