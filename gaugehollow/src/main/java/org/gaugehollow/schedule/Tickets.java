/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;

/** Provides the known advice for a step on a worker. */
interface Tickets
{
    /** Returns a valid ticket if the step requires one and it is known. */
    Optional<String> ticket(Step step, TrackedWorker worker);

    /** Returns whether the advice service is known to deny the step on the worker. */
    boolean isDenied(Step step, TrackedWorker worker);

    /**
     * Returns whether the advice service is known to allow the step on the worker, even if the ticket
     * is no longer valid.
     */
    boolean isAllowed(Step step, TrackedWorker worker);

    /** Returns whether the step's tickets remain valid for longer than a refresh takes. */
    boolean isFresh(Step step);

    /** Returns the requests for the step since the last answer, if there are any. */
    default Optional<UnansweredAdvice> unanswered(Step step)
    {
        return Optional.empty();
    }
}
