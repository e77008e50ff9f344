/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.supervise;

/** A task that runs until it is interrupted. */
@FunctionalInterface
public interface SupervisedTask
{
    /**
     * Runs until the work is over or the thread is interrupted.
     *
     * @throws InterruptedException when it is stopped
     */
    void run() throws InterruptedException;
}
