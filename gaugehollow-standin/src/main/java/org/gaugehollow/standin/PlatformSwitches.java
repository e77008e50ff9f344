/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

/**
 * Faults that the platform stand-in simulates. Sent as JSON to {@code PUT /standin/switches}.
 *
 * @param down whether store calls are aborted without being applied
 * @param delayMillis delay of each call in milliseconds
 * @param loseWriteAnswers number of next transactions that are applied but not answered
 * @param rosterDown whether roster calls are aborted
 */
public record PlatformSwitches(boolean down, int delayMillis, int loseWriteAnswers, boolean rosterDown)
{
    /** No faults. */
    public static final PlatformSwitches NORMAL = new PlatformSwitches(false, 0, 0, false);
}
