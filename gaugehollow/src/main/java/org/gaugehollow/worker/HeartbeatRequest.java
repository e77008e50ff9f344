/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * An order that renews the lease of all that runs on a worker and asks what runs and what ended.
 *
 * @param fence the owner's fencing token
 * @param lastAckedEnd the number of the last end that was taken note of
 * @param deadline until when the worker may run what it runs, on its clock in milliseconds; 0 to
 *            leave it
 * @param waitMillis how long the answer may wait for an end
 */
public record HeartbeatRequest(long fence, long lastAckedEnd, long deadline, int waitMillis)
{
}
