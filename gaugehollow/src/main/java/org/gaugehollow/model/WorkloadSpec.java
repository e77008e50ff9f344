/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * What a workload's requests need and how they may be treated.
 *
 * @param taskClass how urgent they are
 * @param needs what one request takes on a worker while it runs; one slot where none is said
 * @param timeoutMillis how long a caller that names no timeout waits
 * @param repeatable whether running a request twice does no harm
 * @param maxBodyBytes the largest body accepted
 * @param path the path asked on the upstream
 */
public record WorkloadSpec(TaskClass taskClass, ComputeResources needs, int timeoutMillis, boolean repeatable,
        int maxBodyBytes, String path)
{
    /** The largest body any workload may allow. */
    public static final int MAX_BODY_BYTES = 1 << 20;
    private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
    private static final int DEFAULT_BODY = 64 << 10;
    private static final int LONGEST_TIMEOUT_MILLIS = 600_000;

    /** Checks ranges and fills in what may be left out. */
    public WorkloadSpec
    {
        Checks.present(taskClass, "taskClass");
        needs = needs == null ? new ComputeResources(1, 0, 0, 0) : needs;
        if (needs.slots() == 0)
        {
            needs = needs.plus(new ComputeResources(1, 0, 0, 0));
        }
        timeoutMillis = timeoutMillis == 0 ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
        maxBodyBytes = maxBodyBytes == 0 ? DEFAULT_BODY : maxBodyBytes;
        path = path == null ? "/run" : path;
        Checks.range(timeoutMillis, 1, LONGEST_TIMEOUT_MILLIS, "timeoutMillis");
        Checks.range(maxBodyBytes, 1, MAX_BODY_BYTES, "maxBodyBytes");
        if (!path.startsWith("/") || path.chars().anyMatch(c -> c <= ' ' || c > '~'))
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, "path: expected an absolute path");
        }
    }
}
