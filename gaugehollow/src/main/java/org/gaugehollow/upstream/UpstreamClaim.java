/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.upstream;

/**
 * The body of a claim request.
 *
 * @param box the id of the new owner
 * @param epoch the epoch of the ownership
 */
public record UpstreamClaim(String box, long epoch)
{
}
