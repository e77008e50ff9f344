/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/** Reason why all runs of a worker are known to have ended. */
enum WorkerLossCause
{
    /** Another incarnation answers at the address, and the worker had not announced that it leaves. */
    CRASHED("another incarnation answers at its address"),
    /** Another incarnation answers at the address, and the worker had announced that it leaves. */
    LEFT("another incarnation answers at its address after it announced that it leaves"),
    /** The worker did not answer until its lease expired; it may still be running. */
    LAPSED("its lease has expired");

    private final String description;

    WorkerLossCause(String description)
    {
        this.description = description;
    }

    /** Returns a description for the log. */
    String description()
    {
        return description;
    }
}
