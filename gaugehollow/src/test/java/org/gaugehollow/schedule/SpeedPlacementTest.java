/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.job.QueueSpec;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against late work on a cell with a slow kind of workers although fast ones have capacity.
 */
class SpeedPlacementTest
{
    private static final QueueSpec QUICK = new QueueSpec("quick", "service", 0, 2, 250, 1.5, null);
    private static final QueueSpec PATIENT = new QueueSpec("patient", "service", 1, 2, 1_200, 2.2, null);
    private static final QueueSpec LASTING = new QueueSpec("lasting", "service", 2, 2, 2_500, 1, null);
    private static final int WORKERS_PER_KIND = 8;
    /** Time in which a new owner learns them; the cell has a tenth of the workers of a usual one. */
    private static final long RELEARN_MILLIS = 5_000;
    private static final double OUTLIER_SHARE = 0.03;
    private static final long QUICK_INTERVAL_MILLIS = 400;
    /** Time in which the speeds are learnt. */
    private static final long WARM_UP_MILLIS = 5_000;
    private static final double FAST = 0.7;
    private static final double SLOW = 1.7;

    private static void acceptQuick(SpeedCell cell)
    {
        cell.accept(QUICK, 1 + cell.random().nextInt(2), 10, 2_200, 680, false);
    }

    private static void acceptLoad(SpeedCell cell)
    {
        acceptLoad(cell, QUICK_INTERVAL_MILLIS);
    }

    private static void acceptLoad(SpeedCell cell, long quickIntervalMillis)
    {
        if (cell.nowMillis() % quickIntervalMillis == 0)
        {
            acceptQuick(cell);
        }
        if (cell.nowMillis() % 3_650 == 0)
        {
            cell.accept(PATIENT, 2, 17, 4_500, 4_100, false);
        }
        if (cell.nowMillis() % 8_000 == 0)
        {
            cell.accept(LASTING, 1, 10, 1_000, 340, true);
        }
    }

    private final List<SpeedCell.Machine> fast = new ArrayList<>();
    private final List<SpeedCell.Machine> slow = new ArrayList<>();

    private SpeedCell newCell(long seed, boolean learns, double slowSlowness, double outlierShare)
    {
        fast.clear();
        slow.clear();
        SpeedCell cell = new SpeedCell(seed, learns, outlierShare);
        fast.addAll(cell.addMachines("a", WORKERS_PER_KIND, FAST));
        fast.addAll(cell.addMachines("b", WORKERS_PER_KIND, FAST));
        slow.addAll(cell.addMachines("c", WORKERS_PER_KIND, slowSlowness));
        return cell;
    }

    private SpeedCell replay(long seed, boolean learns, double slowSlowness, long millis)
    {
        SpeedCell cell = newCell(seed, learns, slowSlowness, OUTLIER_SHARE);
        cell.run(millis, () -> acceptLoad(cell));
        return cell;
    }

    /**
     * Placement without speeds completes much of the quick work late, by single tasks on slow workers.
     */
    @Example
    void quickWorkIsInTimeOnWorkersOfThreeSpeeds()
    {
        for (int seed = 1; seed <= 3; seed++)
        {
            SpeedCell before = replay(seed, false, SLOW, 60_000);
            int lastingBefore = before.longRunningStartsOn(slow);
            SpeedCell cell = replay(seed, true, SLOW, 60_000);
            double lateBefore = 1 - before.shareInTime(QUICK, WARM_UP_MILLIS);
            double late = 1 - cell.shareInTime(QUICK, WARM_UP_MILLIS);
            assertThat(lateBefore).isGreaterThan(0.12);
            assertThat(late).isLessThan(lateBefore / 2);
            assertThat(cell.shareInTime(PATIENT, WARM_UP_MILLIS)).isAtLeast(0.95);
            assertThat(cell.longRunningStartsOn(slow)).isGreaterThan(2 * lastingBefore);
        }
    }

    /**
     * Starting at once on slow workers while the fast ones are full makes more work late than waiting a
     * moment for them.
     */
    @Example
    void quickWorkWaitsAMomentForFullFastWorkers()
    {
        double late = 0;
        for (int seed = 1; seed <= 5; seed++)
        {
            SpeedCell cell = newCell(seed, true, SLOW, OUTLIER_SHARE);
            cell.run(40_000, () ->
            {
                acceptLoad(cell, 150);
            });
            late += 1 - cell.shareInTime(QUICK, WARM_UP_MILLIS);
        }
        assertThat(late / 5).isLessThan(0.06);
    }

    /** Workers of equal speed must be chosen exactly as if nothing were known about speeds. */
    @Property(tries = 10, edgeCases = EdgeCasesMode.NONE)
    void placementsOnEqualWorkersAreUnchanged(@ForAll long seed)
    {
        List<String> placements = placementsOnEqualWorkers(seed, true);
        List<String> placementsBefore = placementsOnEqualWorkers(seed, false);
        assertThat(placements).hasSize(placementsBefore.size());
        for (int i = 0; i < placements.size(); i++)
        {
            assertThat(placements.get(i)).isEqualTo(placementsBefore.get(i));
        }
    }

    private List<String> placementsOnEqualWorkers(long seed, boolean learns)
    {
        SpeedCell cell = newCell(seed, learns, FAST, 0);
        cell.run(20_000, () -> acceptLoad(cell));
        return cell.placements();
    }

    /** A new owner knows nothing about speeds and must learn them from the runs that it finds. */
    @Example
    void newOwnerLearnsSpeedsAgain()
    {
        SpeedCell cell = replay(1, true, SLOW, 20_000);
        cell.changeOwner();
        assertThat(cell.cellState().slowness(slow.getFirst().worker())).isEqualTo(1.0);
        cell.run(RELEARN_MILLIS, () -> acceptLoad(cell));
        assertThat(cell.cellState().slowness(slow.getFirst().worker())).isGreaterThan(1.5);
        assertThat(cell.cellState().slowness(fast.getFirst().worker())).isEqualTo(1.0);
    }

    /** Tasks that take long by themselves must not make their workers look slow. */
    @Example
    void longTasksRarelyCountAsSlowWorkers()
    {
        SpeedCell cell = newCell(1, true, FAST, OUTLIER_SHARE);
        int[] counts = new int[2];
        cell.run(60_000, () ->
        {
            acceptLoad(cell);
            counts[0] += cell.cellState().workers().size();
            counts[1] += (int) cell.cellState().workers().stream()
                    .filter(worker -> cell.cellState().slowness(worker) != 1).count();
        });
        assertThat((double) counts[1] / counts[0]).isLessThan(0.01);
    }

    /** A worker that turns slow gets no tight work, and gets it again once it has recovered. */
    @Example
    void workerThatTurnsSlowIsNoticedAndTrustedAgain()
    {
        SpeedCell cell = replay(1, true, FAST, 10_000);
        SpeedCell.Machine disturbed = fast.getFirst();
        disturbed.setSlowness(6 * FAST);
        cell.run(2_000, () -> acceptLoad(cell));
        assertThat(disturbed.worker().speed().isSlowedDown()).isTrue();
        disturbed.setSlowness(FAST);
        cell.run(4_000, () -> acceptLoad(cell));
        assertThat(disturbed.worker().speed().isSlowedDown()).isFalse();
        assertThat(cell.cellState().slowness(disturbed.worker())).isEqualTo(1.0);
    }

    /** The next incarnation under an id may be of another kind. */
    @Example
    void incarnationOfAnotherKindUsesTheEstimateOfThatKind()
    {
        SpeedCell cell = replay(1, true, SLOW, 20_000);
        SpeedCell.Machine replaced = fast.getFirst();
        assertThat(cell.cellState().slowness(replaced.worker())).isEqualTo(1.0);
        replaced.list("c");
        assertThat(cell.cellState().slowness(replaced.worker()))
                .isEqualTo(slow.getFirst().worker().speed().kindSlowness());
    }
}
