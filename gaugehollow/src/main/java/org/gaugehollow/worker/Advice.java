/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.List;

/**
 * Reply of the advice service: the workers that may run a step.
 *
 * @param tickets one ticket per allowed worker
 * @param validMillis validity of the tickets in milliseconds, counted from the request
 */
public record Advice(List<Ticket> tickets, long validMillis)
{
    /**
     * Permission to start the tasks of a step on one incarnation of a worker.
     *
     * @param worker id of the worker
     * @param text opaque text to send with the start command
     */
    public record Ticket(String worker, String text)
    {
    }
}
