/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.OptionalLong;

/** What this box knows of the other boxes when it may become the owner. */
public interface OtherBoxes
{
    /**
     * Returns whether another box is clearly better suited to own the cell than this one.
     *
     * @param excludedBox id of a box to ignore, or empty
     * @return whether this box is outranked
     */
    boolean isOutranked(String excludedBox);

    /**
     * Returns whether a comparable box was started later than this one. In a rolling restart, the box
     * started last is expected to run longest.
     *
     * @param excludedBox id of a box to ignore, or empty
     * @return whether a comparable box was started later
     */
    boolean isLongerRunning(String excludedBox);

    /** @return the other boxes as witnesses of an owner that the store doesn't answer */
    Witnesses witnesses();

    /** @return address at which the other boxes reach this box */
    String ownAddress();

    /**
     * Asks the process at the address of an earlier owner for the end of that owner's term. An owner
     * that does not answer may still send commands; the word of the owner itself, or of another process
     * at its address, proves that it does not.
     *
     * @param term a term that another one has replaced
     * @return monotonic time in nanoseconds since which no commands of the term are sent, or empty
     *         without proof
     * @throws InterruptedException if the thread is interrupted
     */
    OptionalLong termEndNanos(PreviousTerm term) throws InterruptedException;
}
