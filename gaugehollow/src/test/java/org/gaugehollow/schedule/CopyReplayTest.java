/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;

import org.gaugehollow.job.JobState;
import org.junit.jupiter.api.Test;

/** Replays loads with slow workers: copies must end their steps earlier and copy nothing else. */
class CopyReplayTest
{
    private static final String ID = TestJobs.ID;
    private static final int TASKS = 10;
    private static final int UNITS = 4;
    private static final int CAPACITY_UNITS = 32;
    private static final long TICK_MILLIS = 50;
    private static final long OBJECTIVE_MILLIS = 1_450;
    private static final double SLOW_FACTOR = 1.7 / 0.7;
    private static final double LARGE_WORK_MILLIS = 7 * 800;

    /** Runs the cell until a job has completed and returns its latency in milliseconds. */
    private static long latency(CopyCell cell, String id)
    {
        long beginMillis = cell.nowMillis();
        Job job = cell.task(id, 0).step().job();
        while (job.state() != JobState.COMPLETED)
        {
            assertThat(cell.nowMillis() - beginMillis).isLessThan(60_000);
            cell.advance(TICK_MILLIS);
        }
        return cell.nowMillis() - beginMillis;
    }

    /** Runs a step of which one worker turns six times slower for 8 s shortly after its start. */
    private static long latencyWithSlowedWorker(boolean copiesEnabled)
    {
        CopyCell cell = new CopyCell(12, CAPACITY_UNITS);
        cell.copiesEnabled = copiesEnabled;
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        cell.accept(ID, CopyCell.step(TASKS, UNITS, true));
        cell.advance(TICK_MILLIS);
        cell.advance(TICK_MILLIS);
        cell.machine(cell.task(ID, 3).worker()).slowness = 6;
        return latency(cell, ID);
    }

    /** Guards against a step that waits for a worker that has turned slow. */
    @Test
    void stepDoesNotWaitForASlowedWorker()
    {
        assertThat(latencyWithSlowedWorker(false)).isGreaterThan(3 * OBJECTIVE_MILLIS - 500);
        assertThat(latencyWithSlowedWorker(true)).isLessThan(OBJECTIVE_MILLIS + 300);
    }

    /** Guards against a slowdown that only the other runs on the worker show. */
    @Test
    void slowdownIsFoundByTheOtherRunsOnTheWorker()
    {
        CopyCell cell = new CopyCell(12, CAPACITY_UNITS);
        cell.usesEstimates = true;
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        List<String> ids = IntStream.range(1, 6).mapToObj(i -> String.format("%016x", i)).toList();
        ids.forEach(id -> cell.accept(id, CopyCell.step(TASKS, UNITS, true)));
        cell.workMillisByTask.put(ids.getFirst() + ".0.0.1", LARGE_WORK_MILLIS);
        cell.advance(TICK_MILLIS);
        cell.advance(TICK_MILLIS);
        CopyCell.Machine slowed = cell.machine(cell.task(ids.getLast(), 0).worker());
        slowed.slowness = 6;
        latency(cell, ids.getLast());
        assertThat(cell.copies).isNotEmpty();
        cell.copies.forEach(copy -> assertThat(copy.run()).endsWith(slowed.id));
        assertThat(cell.settled.stream().filter(Effects.SettledCopy::hasWon).count())
                .isEqualTo(cell.settled.size());
    }

    /** Runs jobs one after the other on workers of two speeds; 3 in 100 tasks are large. */
    private static long countInTime(CopyCell cell, int jobs)
    {
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        for (int i = 0; i < cell.machines.size(); i += 3)
        {
            cell.machines.get(i).slowness = SLOW_FACTOR;
        }
        long inTime = 0;
        for (int i = 0; i < jobs; i++)
        {
            String id = String.format("%016x", i + 1);
            cell.accept(id, CopyCell.step(TASKS, UNITS, true));
            if (i % 3 == 0)
            {
                cell.workMillisByTask.put(cell.task(id, i % TASKS).name(), LARGE_WORK_MILLIS);
            }
            inTime += latency(cell, id) <= OBJECTIVE_MILLIS ? 1 : 0;
        }
        return inTime;
    }

    /** Guards against copies of large tasks on sound workers, and against late steps on slow ones. */
    @Test
    void copiesAreStartedForSlowWorkersOnly()
    {
        int jobs = 30;
        CopyCell without = new CopyCell(24, CAPACITY_UNITS);
        without.copiesEnabled = false;
        CopyCell with = new CopyCell(24, CAPACITY_UNITS);
        long inTimeWithout = countInTime(without, jobs);
        long inTimeWith = countInTime(with, jobs);
        assertThat(inTimeWith).isGreaterThan(inTimeWithout);
        assertThat(with.copies).isNotEmpty();
        with.copies.forEach(copy -> assertThat(copy.slowness()).isGreaterThan(2.0));
        long won = with.settled.stream().filter(Effects.SettledCopy::hasWon).count();
        assertThat(won).isAtLeast(with.copies.size() * 9L / 10);
    }

    /** Guards against copies where workers are alike, however uneven the tasks are. */
    @Test
    void nothingIsCopiedOnEqualWorkers()
    {
        CopyCell cell = new CopyCell(12, CAPACITY_UNITS);
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        cell.accept(ID, CopyCell.step(TASKS, UNITS, true));
        cell.workMillisByTask.put(cell.task(ID, 1).name(), LARGE_WORK_MILLIS);
        latency(cell, ID);
        assertThat(cell.copies).isEmpty();
    }

    /** Guards against copies of tasks that must not run twice. */
    @Test
    void stepThatIsNotSpeculativeIsNotCopied()
    {
        CopyCell cell = new CopyCell(12, CAPACITY_UNITS);
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        cell.machines.getFirst().slowness = 6;
        cell.accept(ID, CopyCell.step(2 * TASKS, UNITS, false));
        latency(cell, ID);
        assertThat(cell.copies).isEmpty();
    }

    /** Guards against copies that take the capacity of tasks that wait. */
    @Test
    void nothingIsCopiedInAFullCell()
    {
        CopyCell cell = new CopyCell(12, CAPACITY_UNITS);
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        cell.accept("00000000000000ab", CopyCell.step(80, UNITS, false));
        for (int i = 0; i < 80; i++)
        {
            cell.workMillisByTask.put("00000000000000ab.0.0." + i, 60_000.0);
        }
        cell.accept(ID, CopyCell.step(TASKS, UNITS, true));
        cell.advance(TICK_MILLIS);
        cell.machine(cell.task(ID, 0).worker()).slowness = 6;
        latency(cell, ID);
        assertThat(cell.copies).isEmpty();
    }

    /** Guards against a task that waits for a worker that does not answer its start. */
    @Test
    void unansweredStartIsCopied()
    {
        CopyCell cell = new CopyCell(12, CAPACITY_UNITS);
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        cell.accept(ID, CopyCell.step(1, UNITS, true));
        cell.plan();
        Task task = cell.task(ID, 0);
        cell.machine(task.worker()).pendingStarts.clear();
        task.markSent(cell.clock.get());
        assertThat(latency(cell, ID)).isLessThan(OBJECTIVE_MILLIS + 500);
        assertThat(cell.copies).hasSize(1);
    }
}
