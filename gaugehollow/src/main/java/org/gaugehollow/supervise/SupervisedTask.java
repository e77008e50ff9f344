/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.supervise;

/** Body of a task that a {@link Supervisor} runs. */
@FunctionalInterface
public interface SupervisedTask
{
    /**
     * Runs until the work is finished or the thread is interrupted.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    void run() throws InterruptedException;
}
