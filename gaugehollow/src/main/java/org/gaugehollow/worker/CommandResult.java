/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/** What became of an order to a worker. */
public enum CommandResult
{
    /** Carried out. */
    DONE,
    /** Refused: the worker has seen a higher fencing token. */
    FENCED,
    /** Refused: the run is not above one that ended or was stopped there. */
    OLD_RUN,
    /** Refused: the deadline has passed on the worker's clock. */
    LATE,
    /** Refused: it does not fit into the worker's room. */
    NO_ROOM,
    /** Refused: the ticket is not valid. */
    BAD_TICKET,
    /** Refused by an unhealthy worker, which did nothing. */
    UNHEALTHY,
    /** Refused: another life of the worker answers at this address. */
    OTHER_LIFE,
    /** Refused as malformed. */
    INVALID,
    /** Kept back, because orders may not be sent any more: it is surely not done. */
    NOT_SENT,
    /** No answer: it may have been done or may be done later. */
    UNKNOWN;

    /** @return whether the worker has taken or refused the order for good */
    public boolean isSettled()
    {
        return this != UNKNOWN && this != UNHEALTHY && this != NOT_SENT;
    }
}
