/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Serializes the stored records of jobs. Default values are omitted to keep the records small,
 * because a new owner reads all of them before it starts work.
 */
public final class JobCodec
{
    private static final ObjectMapper COMPACT = Json.mapper().copy()
            .setDefaultPropertyInclusion(JsonInclude.Include.NON_DEFAULT);

    private JobCodec()
    {
    }

    /**
     * @param record an accepted job
     * @return the value to store
     */
    public static byte[] writeRecord(JobRecord record)
    {
        return write(record);
    }

    /**
     * @param bytes the stored value
     * @return the accepted job
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if the value cannot be parsed
     */
    public static JobRecord readRecord(byte[] bytes)
    {
        return Json.read(bytes, JobRecord.class, ResultCode.STORE_BAD_ANSWER);
    }

    /**
     * @param progress the progress of a job
     * @return the value to store
     */
    public static byte[] writeProgress(JobProgress progress)
    {
        return write(progress);
    }

    /**
     * @param bytes the stored value
     * @return the progress of the job
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if the value cannot be parsed
     */
    public static JobProgress readProgress(byte[] bytes)
    {
        JobProgress progress = Json.read(bytes, JobProgress.class, ResultCode.STORE_BAD_ANSWER);
        if (progress.state() == null)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "state: is required");
        }
        return progress;
    }

    private static byte[] write(Object value)
    {
        try
        {
            return COMPACT.writeValueAsBytes(value);
        }
        catch (JsonProcessingException e)
        {
            throw new GaugehollowException(ResultCode.INTERNAL, "cannot serialize job data as JSON", e);
        }
    }
}
