/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/** Outcome of a request as known when its caller is answered. */
public enum Outcome
{
    /** The request ran and the answer is complete. */
    ANSWERED("answered"),
    /** The request did not run on any upstream and will not run under this task id. */
    NOT_RUN("not-run"),
    /** The request may have run; a retry with the same key may return the outcome. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label)
    {
        this.label = label;
    }

    /** @return label used in answers and headers */
    public String label()
    {
        return label;
    }
}
