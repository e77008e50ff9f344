/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

/**
 * One run of a task on the worker's stand-in, for proofs to read back.
 *
 * @param task the task's id
 * @param key the key it carried, or empty
 * @param epoch the claim it was started under
 * @param startedMillis when it started, in milliseconds since 1970
 * @param endedMillis when it ended, 0 while it runs
 * @param body the start of the request's body
 */
public record StartRecord(String task, String key, long epoch, long startedMillis, long endedMillis,
        String body)
{
}
