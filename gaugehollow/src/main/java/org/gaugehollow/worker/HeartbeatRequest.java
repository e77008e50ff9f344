/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * Heartbeat that renews the lease of all runs on a worker and requests its running and ended runs.
 *
 * @param fence fencing token of the owner
 * @param lastAckedEnd number of the last acknowledged run end
 * @param deadline expiry of the lease on the worker's clock in milliseconds; 0 to leave it
 *            unchanged
 * @param waitMillis maximum time in milliseconds that the worker delays its reply to await a run
 *            end
 */
public record HeartbeatRequest(long fence, long lastAckedEnd, long deadline, int waitMillis)
{
}
