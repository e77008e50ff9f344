/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.List;

/** The service that names the workers that may run a step. */
@FunctionalInterface
public interface AdvicePort
{
    /**
     * Asks which workers may run a step, and waits for the answer.
     *
     * @param step the step's full name
     * @param workers ids of the workers to judge
     * @param timeoutMillis how long to wait
     * @return the workers that may run it
     * @throws InterruptedException if the process stops
     * @throws org.gaugehollow.model.GaugehollowException if there was no answer
     */
    Advice advise(String step, List<String> workers, int timeoutMillis) throws InterruptedException;
}
