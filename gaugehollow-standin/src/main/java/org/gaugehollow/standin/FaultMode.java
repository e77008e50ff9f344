/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

/** How a {@link FaultProxy} treats the traffic that passes through it. */
public enum FaultMode
{
    /** Forwards all data. */
    PASS,
    /** Holds back data to the target until the mode changes. */
    SILENT_THERE,
    /** Holds back data from the target until the mode changes. */
    SILENT_BACK,
    /** Holds back data in both directions until the mode changes. */
    SILENT,
    /** Delays all data. */
    LATE,
    /** Closes existing and new connections. */
    RESET;

    /** Returns whether data is held back in the given direction. */
    boolean blocks(boolean fromTarget)
    {
        return this == SILENT || this == (fromTarget ? SILENT_BACK : SILENT_THERE);
    }
}
