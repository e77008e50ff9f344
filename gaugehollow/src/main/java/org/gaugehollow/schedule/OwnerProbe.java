/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Set;

/** Asks other boxes about the cell's owner. */
public interface OwnerProbe
{
    /**
     * What a box said.
     *
     * @param reached whether it answered at all
     * @param owner whether it owns the cell
     * @param unconfirmedMillis how long ago the store confirmed its term, in milliseconds
     * @param silent whether the box that was asked about does not answer the one that was asked
     */
    record Result(boolean reached, boolean owner, long unconfirmedMillis, boolean ownerUnresponsive)
    {
        /** The box did not answer. */
        public static final Result UNREACHED = new Result(false, false, 0, false);
    }

    /** @return the ids of the other boxes that are registered */
    Set<String> peers();

    /**
     * @param box the box to ask
     * @param owner the box to ask about
     * @param waitMillis how long the owner keeps the call, so that its end is noticed at once
     * @return what the box said
     * @throws InterruptedException if the process stops
     */
    Result probe(String box, String owner, int waitMillis) throws InterruptedException;
}
