/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Optional;

import org.gaugehollow.admission.BacklogAccount;

/**
 * An account of the waiting work with the time at which it was counted.
 *
 * @param account the account; empty if no work waits
 * @param nanos monotonic time of the count, in nanoseconds
 */
public record TimedBacklog(Optional<BacklogAccount> account, long nanos)
{
    /** No account. */
    public static final TimedBacklog NONE = new TimedBacklog(Optional.empty(), 0);
}
