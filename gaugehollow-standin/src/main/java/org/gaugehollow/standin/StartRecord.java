/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

/**
 * Record of one run on a worker stand-in, for tests to read.
 *
 * @param task task id
 * @param key idempotency key, or empty
 * @param epoch epoch of the owner that started the run
 * @param startedMillis start time, Unix time in milliseconds
 * @param endedMillis end time, Unix time in milliseconds; 0 while the task runs
 * @param body beginning of the request body
 */
public record StartRecord(String task, String key, long epoch, long startedMillis, long endedMillis,
        String body)
{
}
