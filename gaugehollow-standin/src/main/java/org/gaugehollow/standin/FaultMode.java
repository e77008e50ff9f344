/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

/** What a hop does to what passes it. */
public enum FaultMode
{
    /** Everything passes. */
    PASS,
    /** Nothing passes to the listener; what is held back arrives afterwards. */
    SILENT_THERE,
    /** Nothing passes back from the listener; what is held back arrives afterwards. */
    SILENT_BACK,
    /** Nothing passes; what is held back arrives afterwards. */
    SILENT,
    /** Everything passes late. */
    LATE,
    /** Connections are reset, and new ones too. */
    RESET;

    /** Whether nothing passes in a direction. */
    boolean holds(boolean back)
    {
        return this == SILENT || this == (back ? SILENT_BACK : SILENT_THERE);
    }
}
