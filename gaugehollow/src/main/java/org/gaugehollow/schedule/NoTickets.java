/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;

/**
 * Ticket source for queues without advice: no start needs a ticket, and each step may run on every
 * worker.
 */
final class NoTickets implements Tickets
{
    @Override
    public Optional<String> ticket(Step step, TrackedWorker worker)
    {
        return Optional.empty();
    }

    @Override
    public boolean isAllowed(Step step, TrackedWorker worker)
    {
        return true;
    }

    @Override
    public boolean isFresh(Step step)
    {
        return true;
    }

    @Override
    public boolean isDenied(Step step, TrackedWorker worker)
    {
        return false;
    }
}
