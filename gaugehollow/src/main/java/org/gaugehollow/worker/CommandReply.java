/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/**
 * Reply of a worker to a start, stop or throttle command.
 *
 * @param result result of the command
 * @param clockMillis the worker's clock at the time of the reply in milliseconds, 0 if unknown
 */
public record CommandReply(CommandResult result, long clockMillis)
{
}
