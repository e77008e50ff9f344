/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.RunEnd;
import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Guards against a job that fails after one failed run of its gang, because a later owner counts
 * the same run again.
 */
class RestoredGangTest
{
    private static final long UNKNOWN_LEASE = TimeUnit.SECONDS.toNanos(13);
    private static final JobRecord JOB = TestJobs.job(TestJobs.ID, TestJobs.gang(2, 1_000));
    private static final List<String> WORKERS = List.of("w1", "w2");
    /** Fields of a task's progress that the first version with gangs reads. */
    private static final Set<String> ORIGINAL_FIELDS = Set.of("run", "failures", "done", "worker",
            "checkpoint");

    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private CellState cellState = newOwner(null);

    /** Begins a term; each worker has room for one member of the gang. */
    private CellState newOwner(JobProgress recorded)
    {
        CellState next = new CellState(clock::get, UNKNOWN_LEASE);
        for (String id : WORKERS)
        {
            next.updateWorker(TestJobs.worker(id, 1_000)).setLeaseHeld(true);
        }
        next.accept(JOB, 1, recorded, 0);
        return next;
    }

    private void changeOwner()
    {
        cellState = newOwner(JobCodec.readProgress(JobCodec.writeProgress(job().progress())));
    }

    private Job job()
    {
        return cellState.jobs().iterator().next();
    }

    private Task member(int index)
    {
        return job().round(0).getFirst().tasks().get(index);
    }

    private void startGang()
    {
        new Planner(cellState, new NoTickets(), new WaitingFirstScore(0.5)).plan(clock.get(), 0);
        assertThat(member(0).isOnWorker() && member(1).isOnWorker()).isTrue();
    }

    private void end(int index, RunEnd how)
    {
        Task member = member(index);
        EndedRun end = TestJobs.endedRun(member.run(), member, how);
        cellState.applyHeartbeat(member.worker(), TestJobs.heartbeatReply(List.of(), List.of(end)), 0,
                clock.addAndGet(1_000_000));
    }

    @Test
    void failedRunReportedToTwoOwnersCountsOnce()
    {
        startGang();
        end(1, RunEnd.FAILED);
        changeOwner();
        end(0, RunEnd.FAILED);
        assertThat(job().state()).isEqualTo(JobState.RUNNING);
        assertThat(member(0).failures()).isEqualTo(1);
    }

    @Test
    void failedRunReportedToThreeOwnersCountsOnce()
    {
        startGang();
        end(0, RunEnd.FAILED);
        changeOwner();
        changeOwner();
        end(1, RunEnd.FAILED);
        assertThat(job().state()).isEqualTo(JobState.RUNNING);
    }

    /** The member that did not fail is reported to the first owner. */
    @Test
    void failureReportedAfterBrokenMemberCounts()
    {
        startGang();
        end(0, RunEnd.BROKEN);
        changeOwner();
        end(1, RunEnd.FAILED);
        assertThat(member(0).failures()).isEqualTo(1);
    }

    @Test
    void nextFailedRunCounts()
    {
        startGang();
        end(0, RunEnd.FAILED);
        changeOwner();
        end(1, RunEnd.FAILED);
        startGang();
        changeOwner();
        end(1, RunEnd.FAILED);
        assertThat(job().state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void earlierVersionsCanReadTheRecord()
    {
        startGang();
        end(0, RunEnd.FAILED);
        JsonNode progress = Json.read(JobCodec.writeProgress(job().progress()), JsonNode.class,
                ResultCode.STORE_BAD_ANSWER);
        for (JsonNode task : progress.at("/rounds/0/steps/0/tasks"))
        {
            assertThat(ORIGINAL_FIELDS).containsAtLeastElementsIn(
                    task.properties().stream().map(field -> field.getKey()).toList());
        }
    }

    /** Earlier versions record only how many runs have failed. */
    @Test
    void recordOfAnEarlierVersionKeepsItsCount()
    {
        cellState = newOwner(new JobProgress(TestJobs.QUEUE.name(), JobState.RUNNING,
                List.of(new RoundProgress(
                        List.of(new StepProgress(List.of(new TaskProgress(1, 1, false, null, null),
                                new TaskProgress(1, 0, false, null, null))))))));
        startGang();
        end(0, RunEnd.FAILED);
        assertThat(job().state()).isEqualTo(JobState.FAILED);
    }
}
