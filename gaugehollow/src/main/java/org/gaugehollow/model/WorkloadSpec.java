/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/**
 * Requirements and limits of a workload's requests.
 *
 * @param taskClass priority class
 * @param needs compute resources that one request uses while it runs; one slot by default
 * @param timeoutMillis default timeout of a request
 * @param repeatable whether requests are idempotent and may run more than once
 * @param maxBodyBytes maximum size of a request body
 * @param path request path on the upstream
 */
public record WorkloadSpec(TaskClass taskClass, ComputeResources needs, int timeoutMillis, boolean repeatable,
        int maxBodyBytes, String path)
{
    /** Upper limit of {@code maxBodyBytes}. */
    public static final int LARGEST_BODY = 1 << 20;
    private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
    private static final int DEFAULT_BODY_BYTES = 64 << 10;
    private static final int MAX_TIMEOUT_MILLIS = 600_000;

    /** Checks ranges and sets defaults for omitted values. */
    public WorkloadSpec
    {
        Checks.present(taskClass, "taskClass");
        needs = needs == null ? new ComputeResources(1, 0, 0, 0) : needs;
        if (needs.slots() == 0)
        {
            needs = needs.plus(new ComputeResources(1, 0, 0, 0));
        }
        timeoutMillis = timeoutMillis == 0 ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
        maxBodyBytes = maxBodyBytes == 0 ? DEFAULT_BODY_BYTES : maxBodyBytes;
        path = path == null ? "/run" : path;
        Checks.range(timeoutMillis, 1, MAX_TIMEOUT_MILLIS, "timeoutMillis");
        Checks.range(maxBodyBytes, 1, LARGEST_BODY, "maxBodyBytes");
        if (!path.startsWith("/") || path.chars().anyMatch(c -> c <= ' ' || c > '~'))
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, "path: expected an absolute path");
        }
    }
}
