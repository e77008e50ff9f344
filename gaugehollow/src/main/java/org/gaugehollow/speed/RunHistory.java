/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.speed;

/** What earlier observations of a run have shown. Not thread-safe. */
public final class RunHistory
{
    private boolean isCounted;
    private boolean wasOnTime;

    /** Marks the run as counted for the kind of its worker. */
    void markCounted()
    {
        isCounted = true;
    }

    /** Returns whether the run has been counted for the kind of its worker. */
    boolean isCounted()
    {
        return isCounted;
    }

    /** Marks the run as about as fast as usual on its worker. */
    void markOnTime()
    {
        wasOnTime = true;
    }

    /** Returns whether the run was once about as fast as usual on its worker. */
    boolean wasOnTime()
    {
        return wasOnTime;
    }
}
