/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import org.gaugehollow.model.ComputeResources;

/**
 * A request to an upstream.
 *
 * @param task the id of the task
 * @param team the team of the caller
 * @param key the idempotency key, or empty
 * @param path the path on the upstream
 * @param needs the required resources
 * @param contentType the media type of the body
 * @param body the body
 */
public record UpstreamRequest(String task, String team, String key, String path, ComputeResources needs,
        String contentType, byte[] body)
{
}
