/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import org.gaugehollow.job.JobState;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards the bookkeeping of two runs of one task against lost commands and lost workers. */
class CopyRunTest
{
    private static final String ID = TestJobs.ID;
    private static final int UNITS = 4;

    private final CopyCell cell = new CopyCell(3, 16);
    private Task task;
    private CopyCell.Machine first;
    private CopyCell.Machine second;

    @BeforeEach
    void startCopy()
    {
        cell.copiesEnabled = false;
        cell.machines.forEach(CopyCell.Machine::heartbeat);
        cell.accept(ID, CopyCell.step(1, UNITS, true));
        cell.workMillisByTask.put(ID + ".0.0.0", 60_000.0);
        cell.advance(100);
        task = cell.task(ID, 0);
        assertThat(cell.copy(task)).isTrue();
        cell.advance(100);
        first = cell.machine(task.worker());
        second = cell.machine(task.copy().worker());
    }

    private void end(CopyCell.Machine machine, int run, RunEnd how)
    {
        machine.end(task.name(), run, how);
        machine.heartbeat();
    }

    private JobState state()
    {
        return cell.task(ID, 0) == null ? null : cell.task(ID, 0).step().job().state();
    }

    private void assertIdle()
    {
        for (CopyCell.Machine machine : cell.machines)
        {
            assertThat(machine.runs).isEmpty();
            assertThat(machine.tracked().used()).isEqualTo(ComputeResources.NONE);
        }
    }

    /** Guards against runs on the same worker and numbers used twice. */
    @Test
    void bothRunsUseTheCapacityOfTheirWorkers()
    {
        assertThat(first).isNotSameInstanceAs(second);
        assertThat(task.run()).isEqualTo(1);
        assertThat(task.copy().run()).isEqualTo(2);
        assertThat(first.tracked().used().cpuMillis()).isEqualTo(UNITS * CopyCell.CPU_PER_UNIT);
        assertThat(second.tracked().used().cpuMillis()).isEqualTo(UNITS * CopyCell.CPU_PER_UNIT);
        assertThat(second.tracked().acceptsStarts()).isTrue();
    }

    /** Guards against a second copy, and against one where two failures would fail the job. */
    @Test
    void taskIsCopiedOnce()
    {
        end(second, 2, RunEnd.FAILED);
        assertThat(task.wasCopied()).isTrue();
        assertThat(task.copy()).isNull();
        assertThat(task.nextRun()).isEqualTo(3);
    }

    /** Guards against a job that waits for the end of the slow run. */
    @Test
    void copyCompletesTheTaskWhileTheFirstRunIsStopped()
    {
        first.stopsToLose = 1;
        end(second, 2, RunEnd.DONE);
        assertThat(state()).isEqualTo(JobState.COMPLETED);
        assertThat(cell.settled).hasSize(1);
        assertThat(cell.settled.getFirst().hasWon()).isTrue();
        assertThat(cell.settled.getFirst().wastedCoreSeconds()).isGreaterThan(0.0);
        assertThat(first.tracked().used().cpuMillis()).isEqualTo(UNITS * CopyCell.CPU_PER_UNIT);
        cell.advance(100);
        cell.advance(100);
        assertIdle();
    }

    /** Guards against capacity that is freed although the stop of the copy was lost. */
    @Test
    void capacityOfTheCopyIsFreedOnlyOnceItHasEnded()
    {
        second.stopsToLose = 3;
        end(first, 1, RunEnd.DONE);
        assertThat(state()).isEqualTo(JobState.COMPLETED);
        assertThat(cell.settled.getFirst().hasWon()).isFalse();
        second.heartbeat();
        assertThat(second.runs).hasSize(1);
        assertThat(second.tracked().used().cpuMillis()).isEqualTo(UNITS * CopyCell.CPU_PER_UNIT);
        cell.advance(100);
        cell.advance(100);
        cell.advance(100);
        assertIdle();
    }

    /** Guards against counting an outcome twice if both runs end successfully at once. */
    @Test
    void bothRunsMayEndSuccessfully()
    {
        first.stopsToLose = 9;
        second.stopsToLose = 9;
        end(first, 1, RunEnd.DONE);
        end(second, 2, RunEnd.DONE);
        assertThat(state()).isEqualTo(JobState.COMPLETED);
        assertThat(cell.settled).hasSize(1);
        cell.advance(100);
        assertIdle();
    }

    /** Guards against a third run, and against stopping the run that goes on. */
    @Test
    void failureOfOneRunLeavesTheOther()
    {
        end(first, 1, RunEnd.FAILED);
        cell.advance(100);
        assertThat(task.failures()).isEqualTo(1);
        assertThat(task.isWaiting()).isFalse();
        assertThat(second.runs).hasSize(1);
        assertThat(first.runs).isEmpty();
        end(second, 2, RunEnd.DONE);
        assertThat(state()).isEqualTo(JobState.COMPLETED);
    }

    /** Guards against a task that is forgotten after both runs have failed. */
    @Test
    void taskStartsAgainAfterBothRunsFailed()
    {
        end(second, 2, RunEnd.FAILED);
        end(first, 1, RunEnd.FAILED);
        cell.advance(100);
        assertThat(task.failures()).isEqualTo(2);
        assertThat(task.run()).isEqualTo(3);
        assertThat(task.phase()).isEqualTo(Task.Phase.RUNNING);
    }

    /** Guards against two lost workers leaving the task without a run. */
    @Test
    void taskStartsAgainAfterBothWorkersAreLost()
    {
        second.lose(WorkerLossCause.LAPSED);
        assertThat(task.isWaiting()).isFalse();
        first.lose(WorkerLossCause.LAPSED);
        assertThat(task.isWaiting()).isTrue();
        assertThat(task.nextRun()).isEqualTo(3);
    }

    /** Guards against a run that survives the cancellation of its job. */
    @Test
    void cancellationStopsBothRuns()
    {
        Effects effects = new Effects();
        CellState.finish(task.step().job(), JobState.CANCELLED, effects);
        cell.apply(effects);
        cell.advance(100);
        assertIdle();
    }

    /** Guards against runs that a new owner does not know. */
    @Test
    void nextOwnerKnowsBothRuns()
    {
        cell.changeOwner();
        task = cell.task(ID, 0);
        assertThat(task.run()).isEqualTo(1);
        assertThat(task.copy().run()).isEqualTo(2);
        assertThat(first.tracked().hasOrphanRuns()).isFalse();
        assertThat(second.tracked().hasOrphanRuns()).isFalse();
        end(second, 2, RunEnd.DONE);
        assertThat(state()).isEqualTo(JobState.COMPLETED);
        cell.advance(100);
        assertIdle();
    }

    /** Guards against a run of a completed task that no owner stops. */
    @Test
    void nextOwnerStopsTheRunThatLost()
    {
        cell.accept("00000000000000ab", CopyCell.step(1, UNITS, false));
        first.stopsToLose = 1;
        end(second, 2, RunEnd.DONE);
        assertThat(first.runs).hasSize(1);
        cell.changeOwner();
        assertThat(first.tracked().used().cpuMillis()).isEqualTo(UNITS * CopyCell.CPU_PER_UNIT);
        cell.advance(100);
        cell.advance(100);
        assertThat(first.runs.stream().filter(run -> run.task.equals(task.name())).count()).isEqualTo(0);
    }

    /** Guards against numbers that an owner uses again after the copy has ended. */
    @Test
    void nextOwnerDoesNotReuseTheNumberOfAnEndedCopy()
    {
        end(second, 2, RunEnd.FAILED);
        cell.changeOwner();
        task = cell.task(ID, 0);
        assertThat(task.run()).isEqualTo(1);
        assertThat(task.copy()).isNull();
        assertThat(task.wasCopied()).isTrue();
        assertThat(task.nextRun()).isEqualTo(3);
    }

    /** Guards against starts above a quota that has fallen while two runs use it. */
    @Test
    void loweredQuotaCountsBothRuns()
    {
        cell.accept("00000000000000ab", CopyCell.step(1, UNITS, false));
        cell.setQuota(2 * UNITS);
        cell.advance(100);
        assertThat(cell.task("00000000000000ab", 0).isOnWorker()).isFalse();
        end(second, 2, RunEnd.DONE);
        cell.advance(100);
        cell.advance(100);
        assertThat(cell.task("00000000000000ab", 0).isOnWorker()).isTrue();
    }

    /** Guards against a copy above the customer's quota. */
    @Test
    void copyNeedsQuota()
    {
        cell.setQuota(3 * UNITS);
        cell.accept("00000000000000ab", CopyCell.step(1, UNITS, true));
        cell.advance(100);
        assertThat(cell.copy(cell.task("00000000000000ab", 0))).isFalse();
    }

    /** Guards against an unresponsive worker that holds up a task both of whose runs it may have. */
    @Test
    void runOnAnUnresponsiveWorkerIsAbandoned()
    {
        UnresponsiveWorkerGuard guard = new UnresponsiveWorkerGuard(cell.cellState);
        cell.advance(CrashGuard.STARTUP_MILLIS);
        first.unresponsive = true;
        second.unresponsive = true;
        cell.advance(100);
        cell.advance(500);
        assertThat(guard.check(cell.clock.get(), new Effects())).hasSize(2);
        assertThat(task.isWaiting()).isTrue();
        cell.plan();
        assertThat(task.run()).isEqualTo(3);
        second.unresponsive = false;
        end(second, 2, RunEnd.DONE);
        assertThat(task.hasSucceeded()).isTrue();
    }
}
