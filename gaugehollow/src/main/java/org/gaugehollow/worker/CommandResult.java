/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

/** Result of a command sent to a worker. */
public enum CommandResult
{
    /** Carried out. */
    DONE,
    /** Rejected: the worker has seen a higher fencing token. */
    FENCED,
    /** Rejected: a run of the task with the same or a higher number has ended or was stopped. */
    OLD_RUN,
    /** Rejected: the deadline has passed on the worker's clock. */
    LATE,
    /** Rejected: the worker does not have enough free capacity. */
    NO_ROOM,
    /** Rejected: the ticket is not valid. */
    BAD_TICKET,
    /** Rejected by an unhealthy worker, without any effect. */
    UNHEALTHY,
    /** Rejected: another incarnation of the worker uses this address. */
    OTHER_LIFE,
    /** Rejected as malformed. */
    INVALID,
    /** Not sent, because the sender may no longer send commands: the command has no effect. */
    NOT_SENT,
    /** No reply: the command may have been carried out or may still be. */
    UNKNOWN;

    /** @return whether the worker has finally accepted or rejected the command */
    public boolean isSettled()
    {
        return this != UNKNOWN && this != UNHEALTHY && this != NOT_SENT;
    }
}
