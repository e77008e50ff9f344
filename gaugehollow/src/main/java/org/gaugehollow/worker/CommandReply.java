/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * What a worker answers to a start, a stop or a change of pace.
 *
 * @param result what became of it
 * @param clockMillis the worker's clock when it answered, 0 if it did not say
 */
public record CommandReply(CommandResult result, long clockMillis)
{
}
