/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Set;

/** Queries other boxes about the cell's owner. */
public interface OwnerProbe
{
    /**
     * Result of a probe.
     *
     * @param reached whether the queried box answered
     * @param owner whether the queried box owns the cell
     * @param unrenewedMillis time since the store last answered a renewal of its term, in milliseconds
     * @param ownerUnresponsive whether the owner doesn't answer the queried box
     */
    record Result(boolean reached, boolean owner, long unrenewedMillis, boolean ownerUnresponsive)
    {
        /** Result for a box that did not answer. */
        public static final Result UNREACHED = new Result(false, false, 0, false);
    }

    /** @return the ids of the other boxes that are registered */
    Set<String> peers();

    /**
     * Queries a box about the owner.
     *
     * @param box id of the box to query
     * @param owner id of the owner
     * @param waitMillis time for which the owner holds the call so that its end is noticed at once, in
     *            milliseconds
     * @return the result
     * @throws InterruptedException if the thread is interrupted
     */
    Result probe(String box, String owner, int waitMillis) throws InterruptedException;
}
