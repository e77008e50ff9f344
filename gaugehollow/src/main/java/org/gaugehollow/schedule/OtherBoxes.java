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

    /**
     * Returns a time by which the process of a box had certainly ended. A box that does not answer may
     * still run; only a newer process at its address proves that it does not.
     *
     * @param box id of a box
     * @return monotonic time in nanoseconds, or empty without proof
     */
    OptionalLong endNanos(String box);
}
