/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

/** What is known of a request at the moment its caller is answered. */
public enum Outcome
{
    /** The request ran and this is its whole answer. */
    ANSWERED("answered"),
    /** The request did not run on any upstream and never will under this task id. */
    NOT_RUN("not-run"),
    /** The request may have run; asking again with the same key may tell more. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label)
    {
        this.label = label;
    }

    /** @return the word used in answers and headers */
    public String label()
    {
        return label;
    }
}
