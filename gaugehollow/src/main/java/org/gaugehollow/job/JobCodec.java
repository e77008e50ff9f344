/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

/** Reads and writes what lies in the store for a job. */
public final class JobCodec
{
    private JobCodec()
    {
    }

    /**
     * @param record an accepted job
     * @return its value in the store
     */
    public static byte[] writeRecord(JobRecord record)
    {
        return Json.write(record);
    }

    /**
     * @param bytes a value from the store
     * @return the accepted job
     * @throws org.gaugehollow.model.GaugehollowException {@code STORE_BAD_ANSWER} if it cannot be read
     */
    public static JobRecord readRecord(byte[] bytes)
    {
        return Json.read(bytes, JobRecord.class, ResultCode.STORE_BAD_ANSWER);
    }

    /**
     * @param progress how far a job has come
     * @return its value in the store
     */
    public static byte[] writeProgress(JobProgress progress)
    {
        return Json.write(progress);
    }

    /**
     * @param bytes a value from the store
     * @return how far the job has come
     * @throws org.gaugehollow.model.GaugehollowException {@code STORE_BAD_ANSWER} if it cannot be read
     */
    public static JobProgress readProgress(byte[] bytes)
    {
        return Json.read(bytes, JobProgress.class, ResultCode.STORE_BAD_ANSWER);
    }
}
