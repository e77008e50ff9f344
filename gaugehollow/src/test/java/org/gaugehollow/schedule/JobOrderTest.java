/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.urgency.Outlook;
import org.junit.jupiter.api.Test;

/** Guards against jobs that can be in time and wait behind jobs that can't. */
class JobOrderTest
{
    private static final QueueSpec URGENT = new QueueSpec("urgent", "service", 0, 3, 250, 1.5, null);
    private static final QueueSpec PATIENT = new QueueSpec("patient", "service", 2, 3, 1_200, 3, null);
    private static final List<StepSpec> STEPS = List.of(TestJobs.step(4, 1_000, List.of()));

    private static Job job(int number, QueueSpec queue, long acceptedMillis)
    {
        return new Job(new JobRecord(String.format("%016x", number), queue,
                new JobSpec("text", STEPS, 0, 0, 0), acceptedMillis), number);
    }

    private static List<Integer> order(List<Job> jobs, long wallMillis)
    {
        jobs.forEach(job -> job.round(0));
        return JobOrder.waitingByUrgency(jobs, wallMillis).stream().map(job -> (int) job.acceptedRevision())
                .toList();
    }

    /**
     * Guards against jobs in time that miss their objective for the sake of late jobs of their queue,
     * and against late jobs that wait for all work of less urgent queues.
     */
    @Test
    void lateJobFollowsJobsInTimeOfItsQueueOnly()
    {
        assertThat(order(List.of(job(1, URGENT, 0), job(2, PATIENT, 2_000), job(3, URGENT, 2_900)), 3_000))
                .containsExactly(3, 1, 2).inOrder();
    }

    /** Guards against old jobs that make each later one of their queue miss its objective. */
    @Test
    void jobInTimeByItsEstimatesPrecedesOlderOneThatMayMiss()
    {
        assertThat(order(List.of(job(1, URGENT, 0), job(2, URGENT, 700)), 1_000)).containsExactly(2, 1)
                .inOrder();
        assertThat(order(List.of(job(1, URGENT, 600), job(2, URGENT, 700)), 1_000)).containsExactly(1, 2)
                .inOrder();
    }

    /** Guards against capacity spent on a late job and then given to one of which nothing has begun. */
    @Test
    void lateJobThatHasBegunPrecedesOlderLateJob()
    {
        Job begun = job(2, URGENT, 100);
        TrackedWorker worker = new CellState(() -> 0, 0).updateWorker(TestJobs.worker("w1", 4_000));
        begun.round(0).getFirst().tasks().getFirst().assign(worker, 1, 0);
        assertThat(order(List.of(job(1, URGENT, 0), begun), 2_500)).containsExactly(2, 1).inOrder();
    }

    /** Guards against long-running jobs that count as late after some time. */
    @Test
    void longRunningJobIsNeverLate()
    {
        Job longRunning = new Job(new JobRecord(TestJobs.ID, URGENT,
                new JobSpec("text", List.of(TestJobs.longRunning(2)), 0, 0, 0), 0), 1);
        assertThat(longRunning.outlook(1_000_000)).isEqualTo(Outlook.IN_TIME);
    }

    private static List<Job> backlog()
    {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 40; i++)
        {
            jobs.add(job(i, i % 3 == 0 ? PATIENT : URGENT, i * 120L));
        }
        return jobs;
    }

    /** Guards against an order that depends on what an earlier owner remembered. */
    @Test
    void nextOwnerPlansABacklogInTheSameOrder()
    {
        List<Job> jobs = backlog();
        for (long wallMillis = 0; wallMillis < 5_000; wallMillis += 50)
        {
            order(jobs, wallMillis);
        }
        List<Job> readByNextOwner = backlog();
        Collections.shuffle(readByNextOwner, new Random(1));
        assertThat(order(readByNextOwner, 5_000)).isEqualTo(order(jobs, 5_000));
    }

    /** Guards against jobs that stay behind others after the clock of the owner was corrected. */
    @Test
    void orderIsRestoredAfterTheClockJumps()
    {
        List<Job> jobs = backlog();
        List<Integer> before = order(jobs, 5_000);
        assertThat(order(jobs, 12_000)).isNotEqualTo(before);
        assertThat(order(jobs, 1_000)).isNotEqualTo(before);
        assertThat(order(jobs, 5_000)).isEqualTo(before);
    }

    /** Guards against a clock that is far ahead and turns the order of the queues around. */
    @Test
    void priorityDecidesIfAClockMakesAllJobsLate()
    {
        assertThat(order(List.of(job(1, PATIENT, 0), job(2, URGENT, 0)), 100_000)).containsExactly(2, 1)
                .inOrder();
    }
}
