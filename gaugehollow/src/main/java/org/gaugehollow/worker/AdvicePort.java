/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.List;

/** Client of the advice service, which decides which workers may run a step. */
@FunctionalInterface
public interface AdvicePort
{
    /**
     * Requests the workers that may run a step and waits for the reply.
     *
     * @param step full name of the step
     * @param workers ids of the candidate workers
     * @param timeoutMillis timeout in milliseconds
     * @return tickets for the allowed workers
     * @throws InterruptedException if the thread is interrupted
     * @throws org.gaugehollow.model.GaugehollowException if the call fails or times out
     */
    Advice advise(String step, List<String> workers, int timeoutMillis) throws InterruptedException;
}
