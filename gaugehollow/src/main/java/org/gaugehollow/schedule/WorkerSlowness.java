/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/** Tells how much longer work takes on a worker than on a typical one. */
interface WorkerSlowness
{
    /**
     * Returns the factor by which work takes longer on a worker than on a typical one; 1 if the worker
     * is typical or not known.
     */
    double slowness(TrackedWorker worker);
}
