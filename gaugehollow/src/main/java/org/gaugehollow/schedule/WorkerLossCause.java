/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/** How it is known that nothing of a worker's runs is left. */
enum WorkerLossCause
{
    /** Another life answers at its address, though it had not said that it leaves. */
    CRASHED("another life answers at its address"),
    /** Another life answers at its address, as it had announced. */
    LEFT("another life answers at its address, it had said that it leaves"),
    /** It has not answered until its lease was over; whether it lives is not known. */
    LAPSED("its lease has lapsed");

    private final String evidence;

    WorkerLossCause(String evidence)
    {
        this.evidence = evidence;
    }

    /** What shows it, for the log. */
    String description()
    {
        return evidence;
    }
}
