/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

import org.gaugehollow.model.ComputeResources;

/**
 * A request for an upstream.
 *
 * @param task its id
 * @param team the caller's team
 * @param key its key, or empty
 * @param path the path asked
 * @param needs what it takes
 * @param contentType the body's media type
 * @param body the body
 */
public record UpstreamRequest(String task, String team, String key, String path, ComputeResources needs,
        String contentType, byte[] body)
{
}
