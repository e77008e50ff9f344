/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.TimeUnit;

/**
 * Tracks whether a worker is known to apply the speed limit of a run. A limit is sent again until
 * it is answered, and for as long as an earlier, unanswered one may still be carried out after it.
 * Guarded by the lock of the cell state.
 */
final class SpeedLimitDelivery
{
    /** Pause between two commands with the same limit. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private boolean known = true;
    private boolean sent;
    private boolean unanswered;
    private long sentNanos;
    private long unansweredNanos;

    /** Handles a new run, which starts at full speed. */
    void reset()
    {
        known = true;
        sent = false;
        unanswered = false;
    }

    /** Handles a limit that the worker may not apply yet. */
    void markUnknown()
    {
        known = false;
        sent = false;
    }

    /** Handles a command that is about to be sent. */
    void onSent(long nowNanos)
    {
        sent = true;
        sentNanos = nowNanos;
    }

    /** Handles the answer to the newest command, which has the current limit. */
    void onAnswered()
    {
        known = true;
        if (sentNanos - unansweredNanos >= UnansweredStarts.MAX_DELIVERY_DELAY_NANOS)
        {
            unanswered = false;
        }
    }

    /** Handles a command that was not answered, so that it may be carried out late. */
    void onUnanswered(long nowNanos)
    {
        unanswered = true;
        unansweredNanos = nowNanos;
    }

    /** Returns whether the current limit must be sent now. */
    boolean isDue(long nowNanos)
    {
        boolean isPaused = sent && nowNanos - sentNanos < REPEAT_NANOS;
        return !isPaused && (!known || unanswered);
    }
}
