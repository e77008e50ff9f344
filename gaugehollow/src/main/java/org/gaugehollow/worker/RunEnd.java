/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/** Reason for the end of a run. */
public enum RunEnd
{
    /** The run completed. */
    DONE,
    /** The task or its worker failed. */
    FAILED,
    /** The run was stopped by a command. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not start in time. */
    ALONE
}
