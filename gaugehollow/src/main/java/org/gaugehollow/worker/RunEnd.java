/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/** How a run ended. */
public enum RunEnd
{
    /** It did its work. */
    DONE,
    /** It failed by its own fault or the worker's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** The worker's lease lapsed. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not come in time. */
    ALONE
}
