/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.List;

/**
 * The workers that may run a step.
 *
 * @param tickets one ticket for each such worker
 * @param validMillis how long the tickets are valid, from when they were asked for, in milliseconds
 */
public record Advice(List<Ticket> tickets, long validMillis)
{
    /**
     * Leave to start a step's tasks on one life of a worker.
     *
     * @param worker the worker's id
     * @param text what the start has to bring
     */
    public record Ticket(String worker, String text)
    {
    }
}
