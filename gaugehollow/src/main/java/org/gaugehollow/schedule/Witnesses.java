/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.OptionalLong;

/**
 * Other boxes as witnesses of an owner that the store doesn't answer. A witness vouches that it
 * knows no later term. The owner of a later term asks each witness to stop, and learns when it
 * vouched last.
 */
public interface Witnesses
{
    /**
     * Answer of a box that was asked to vouch for a term.
     *
     * @param answered whether the box answered
     * @param vouches whether it knows no later term
     * @param sameHall whether it is in the data hall of this box
     */
    record Vouch(boolean answered, boolean vouches, boolean sameHall)
    {
        /** Answer of a box that can't be reached or doesn't know the call. */
        public static final Vouch NONE = new Vouch(false, false, false);
    }

    /** @return the addresses of the other registered boxes */
    List<String> candidates();

    /**
     * Asks a box to vouch for a term.
     *
     * @param address address of the box
     * @param fence fencing token of the term
     * @return the answer
     * @throws InterruptedException if the thread is interrupted
     */
    Vouch vouch(String address, long fence) throws InterruptedException;

    /**
     * Asks a box to vouch no longer for terms before the given one.
     *
     * @param address address of the box, which may be this one
     * @param fence fencing token of the later term
     * @return monotonic time in nanoseconds since which no process at that address has vouched for an
     *         earlier term, or empty if the box doesn't answer
     * @throws InterruptedException if the thread is interrupted
     */
    OptionalLong endVouching(String address, long fence) throws InterruptedException;
}
