/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

/** Whether a job can still end within its objective, judged from estimates. */
public enum Outlook
{
    /** The job ends within its objective if the estimates hold. */
    IN_TIME,
    /** The job ends within its objective only if the estimates are too low. */
    UNCERTAIN,
    /** The job misses its objective but still benefits its caller. */
    LATE,
    /** The job ends so late that it brings no benefit. */
    TOO_LATE;

    /** @return whether the job may still end within its objective */
    public boolean mayBeInTime()
    {
        return this == IN_TIME || this == UNCERTAIN;
    }
}
