/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobProgress.StepProgress;
import org.gaugehollow.job.JobProgress.TaskProgress;
import org.junit.jupiter.api.Test;

/** Guards against loss of data in stored records and against records with default values. */
class JobCodecTest
{
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5, null);
    private static final StepSpec STEP = new StepSpec(2, 500, 100, 0, 800, List.of(), false, false, false,
            null, null, 0, false, false, null, 0, false, 0);
    private static final StepSpec LATER_STEP = new StepSpec(1, 500, 100, 1, 800, List.of(0), true, true, true,
            "kind", "rack", 1, true, true, "image", 5, true, 2);
    private static final JobRecord RECORD = new JobRecord("00000000000000aa", QUEUE,
            new JobSpec("text", List.of(STEP, LATER_STEP), 0, 0, 0), 1_700_000_000_000L);

    @Test
    void recordSurvivesRoundTrip()
    {
        assertThat(JobCodec.readRecord(JobCodec.writeRecord(RECORD))).isEqualTo(RECORD);
    }

    /** Guards against a job that is accepted and never runs, because its record cannot be read. */
    @Test
    void recordOfJobWithEmptyTextSurvivesRoundTrip()
    {
        JobRecord record = new JobRecord("00000000000000aa", QUEUE, new JobSpec("", List.of(STEP), 0, 0, 0),
                1_700_000_000_000L);
        assertThat(JobCodec.readRecord(JobCodec.writeRecord(record))).isEqualTo(record);
    }

    @Test
    void tombstoneKeepsOnlyIdAndQueueName()
    {
        byte[] written = JobCodec.writeRecord(RECORD.toTombstone());
        JobRecord read = JobCodec.readRecord(written);
        assertThat(read.hasEnded()).isTrue();
        assertThat(read.id()).isEqualTo(RECORD.id());
        assertThat(read.queue().name()).isEqualTo("urgent");
        assertThat(written.length).isLessThan(100);
    }

    @Test
    void progressSurvivesRoundTripWithoutDefaultValues()
    {
        JobProgress progress = new JobProgress("urgent", JobState.RUNNING,
                List.of(new RoundProgress(
                        List.of(new StepProgress(List.of(new TaskProgress(1, 0, false, "w1", null),
                                new TaskProgress(2, 1, true, null, "c"),
                                new TaskProgress(0, 0, false, null, null)))))));
        byte[] written = JobCodec.writeProgress(progress);
        assertThat(JobCodec.readProgress(written)).isEqualTo(progress);
        assertThat(new String(written, StandardCharsets.UTF_8)).contains("{\"run\":1,\"worker\":\"w1\"}");
    }
}
