/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Locale;

/** The states of a job as callers see them. */
public enum JobState
{
    /** Accepted; no task has started. */
    QUEUED,
    /** At least one task has started. */
    RUNNING,
    /** All tasks have succeeded. */
    COMPLETED,
    /** A task or gang has used up its attempts. */
    FAILED,
    /** Cancelled by its caller. */
    CANCELLED;

    /** @return whether this is a final state */
    public boolean isFinal()
    {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }

    /** @return the state's name in lower case */
    public String label()
    {
        return name().toLowerCase(Locale.ROOT);
    }
}
