/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.job.JobState;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.worker.RunEnd;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against two runs of a task that must not run twice, against starts above a worker's
 * capacity or a customer's quota, and against jobs that never complete, under any order of copies,
 * ends, losses, lost stops and changes of the owner. {@link CopyCell} checks each start.
 */
class CopyPropertyTest
{
    private static final int EVENT_KINDS = 12;
    private static final int MACHINES = 3;
    private static final int CAPACITY_UNITS = 12;
    private static final int QUOTA_UNITS = 24;
    private static final int MAX_SETTLE_ROUNDS = 200;

    private CopyCell cell;
    private int jobCount;
    private final List<List<String>> taskNames = new ArrayList<>();

    private String jobId(int index)
    {
        return String.format("%016x", index + 1);
    }

    private void accept(int amount)
    {
        cell.accept(jobId(jobCount), CopyCell.step(1 + amount % 3, 1 + amount % 4, amount % 5 != 0));
        taskNames.add(cell.task(jobId(jobCount), 0).step().tasks().stream().map(Task::name).toList());
        jobCount++;
    }

    /** Starts a copy of any running task that allows it. */
    private void copy(int amount)
    {
        List<Task> candidates = cell.cellState.workers().stream().flatMap(worker -> worker.tasks().stream())
                .filter(task -> task.allowsDuplicateRuns() && !task.isCopy() && !task.wasCopied()
                        && !task.step().job().state().isFinal())
                .toList();
        if (!candidates.isEmpty())
        {
            cell.copy(candidates.get(amount % candidates.size()));
        }
    }

    private void end(CopyCell.Machine machine, int amount, RunEnd how)
    {
        if (!machine.runs.isEmpty())
        {
            CopyCell.Run run = machine.runs.get(amount % machine.runs.size());
            machine.end(run.task, run.number, how);
        }
    }

    /** Applies an event; the number selects its kind and amount. */
    private void applyEvent(int number)
    {
        int amount = number / EVENT_KINDS;
        CopyCell.Machine machine = cell.machines.get(amount % MACHINES);
        switch (number % EVENT_KINDS)
        {
            case 0 -> accept(amount);
            case 1, 2 -> copy(amount);
            case 3 -> machine.deliverStarts(true);
            case 4 -> machine.deliverStarts(false);
            case 5 -> end(machine, amount, RunEnd.DONE);
            case 6 -> end(machine, amount, RunEnd.FAILED);
            case 7 -> machine.stopsToLose = amount % 4;
            case 8 -> machine.unresponsive = !machine.unresponsive;
            case 9 -> machine.lose(amount % 2 == 0 ? WorkerLossCause.LAPSED : WorkerLossCause.LEFT);
            case 10 -> cell.changeOwner();
            default -> cell.setQuota(4 + amount % QUOTA_UNITS);
        }
    }

    private boolean isSettled()
    {
        for (int i = 0; i < jobCount; i++)
        {
            Task task = cell.task(jobId(i), 0);
            if (task != null && !task.step().job().isFinished())
            {
                return false;
            }
        }
        return true;
    }

    /** Lets everything be answered and each run end, until all jobs have ended. */
    private void settle()
    {
        cell.setQuota(QUOTA_UNITS);
        cell.machines.forEach(machine ->
        {
            machine.unresponsive = false;
            machine.stopsToLose = 0;
        });
        for (int i = 0; i < MAX_SETTLE_ROUNDS && !isSettled(); i++)
        {
            cell.advance(1_000);
        }
        assertWithMessage("all jobs have ended").that(isSettled()).isTrue();
        cell.advance(1_000);
    }

    /** Guards against a job whose tasks were all done when its owner was replaced. */
    @Example
    void nextOwnerCompletesAJobWhoseTasksAreDone()
    {
        everyStartKeepsTheRulesAndEveryJobEnds(List.of(0, 1, 1, 48, 1, 0, 3, 5, 0, 63, 0, 0, 0, 0, 0, 0, 0, 0,
                137, 56, 0, 0, 8, 0, 0, 0, 0, 5, 0, 0, 9, 0, 22));
    }

    @Property(tries = 500)
    void everyStartKeepsTheRulesAndEveryJobEnds(
            @ForAll @Size(min = 1, max = 80) List<@IntRange(min = 0, max = 200) Integer> events)
    {
        cell = new CopyCell(MACHINES, CAPACITY_UNITS);
        cell.setQuota(QUOTA_UNITS);
        jobCount = 0;
        taskNames.clear();
        for (int number : events)
        {
            cell.clock.addAndGet(100_000_000L);
            applyEvent(number);
            cell.machines.forEach(CopyCell.Machine::heartbeat);
            cell.plan();
        }
        settle();
        for (int i = 0; i < jobCount; i++)
        {
            JobState state = cell.storedState(jobId(i));
            assertWithMessage("job %s has ended", i).that(state.isFinal()).isTrue();
            assertWithMessage("job %s is completed", i).that(state == JobState.COMPLETED)
                    .isEqualTo(cell.doneTasks.containsAll(taskNames.get(i)));
        }
        for (CopyCell.Machine machine : cell.machines)
        {
            assertWithMessage("runs on %s", machine.id).that(machine.runs).isEmpty();
            assertWithMessage("use of %s", machine.id).that(machine.tracked().used())
                    .isEqualTo(ComputeResources.NONE);
        }
    }
}
