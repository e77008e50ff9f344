/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * The newest term of another box that this box has seen.
 *
 * @param fence fencing token of the term, or {@link OwnerLease#UNKNOWN_FENCE} if none was seen
 * @param box id of the owner
 * @param firstSeenNanos monotonic time at which the term was first seen; it began before
 */
record ObservedTerm(long fence, String box, long firstSeenNanos)
{
    static final ObservedTerm NONE = new ObservedTerm(OwnerLease.UNKNOWN_FENCE, "", 0);
}
