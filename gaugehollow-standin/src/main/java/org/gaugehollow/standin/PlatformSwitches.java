/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

/**
 * How the platform's stand-in misbehaves. Sent as JSON to {@code PUT /standin/switches}.
 *
 * @param down every call is cut off without an answer and nothing is applied
 * @param delayMillis every call waits this long first
 * @param loseWriteAnswers so many next transactions are applied and then cut off without an answer
 * @param rosterDown the list does not answer
 */
public record PlatformSwitches(boolean down, int delayMillis, int loseWriteAnswers, boolean rosterDown)
{
    /** Everything works. */
    public static final PlatformSwitches GOOD = new PlatformSwitches(false, 0, 0, false);
}
