/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

/** Reads and writes what lies in the store for a job. */
final class JobCodec
{
    private JobCodec()
    {
    }

    static byte[] writeRecord(JobRecord record)
    {
        return Json.write(record);
    }

    static JobRecord readRecord(byte[] bytes)
    {
        return Json.read(bytes, JobRecord.class, ResultCode.STORE_BAD_ANSWER);
    }

    static byte[] writeProgress(JobProgress progress)
    {
        return Json.write(progress);
    }

    static JobProgress readProgress(byte[] bytes)
    {
        return Json.read(bytes, JobProgress.class, ResultCode.STORE_BAD_ANSWER);
    }
}
