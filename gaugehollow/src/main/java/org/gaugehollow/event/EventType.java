/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

import org.apache.logging.log4j.Level;

/**
 * Types of recorded events. The numbers are stable; docs/EVENTS.md lists the types and a test
 * compares that page with this enum.
 */
public enum EventType
{
    PROCESS_STARTED(100, Level.INFO, "The process serves; the text names its addresses."),
    PROCESS_STOPPING(101, Level.INFO, "A planned stop began."),
    PROCESS_STOPPED(102, Level.INFO,
            "The planned stop ended; the text says how many requests were in flight at its end."),
    SERVICE_FAILED(103, Level.ERROR, "A supervised service failed and is started again."),
    PAUSE_DETECTED(104, Level.WARN,
            "The process did not run for longer than its tick; rights were put aside."),

    LEASE_GRANTED(200, Level.INFO, "The store gave this box a lease and the box is registered."),
    LEASE_LOST(201, Level.WARN, "The store no longer knows this box's lease."),
    RIGHTS_LOST(202, Level.WARN,
            "This box may not place: its lease lapsed and too few peers vouch for an outage."),
    RIGHTS_GAINED(203, Level.INFO, "This box may place."),
    STORE_LOST(204, Level.WARN, "The store stopped answering this box."),
    STORE_FOUND(205, Level.INFO, "The store answers this box."),
    RIGHTS_FROZEN(206, Level.WARN,
            "The store answers nobody; a majority of the hall's boxes go on with the map as it is."),

    OWNER_BEGAN(207, Level.INFO, "This box became the cell's owner; the text gives its fencing token."),
    OWNER_ENDED(208, Level.WARN, "This box is no longer the cell's owner; the text says why."),
    LEASE_NOT_RENEWED(209, Level.WARN, "The store did not confirm the owner's lease."),
    OWNER_SUSPECTED(210, Level.WARN,
            "The cell's owner looks dead or has lost the store; this box tries to take over."),
    MAP_CHANGED(300, Level.INFO, "This box changed the hall's map."),
    MAP_ADOPTED(301, Level.INFO, "This box adopted a newer map of its hall."),
    BOX_REMOVED(302, Level.WARN, "A box whose lease lapsed was taken out of the map."),
    TAKEOVER_WAITS(303, Level.INFO, "A take-over waits for its quorum or its waiting period."),
    SLOTS_HANDED_OVER(304, Level.INFO, "Key slots were handed to a peer with their records."),
    SLOTS_TAKEN(305, Level.INFO, "Key slots were taken with their evidence."),
    EVIDENCE_MISSING(306, Level.WARN,
            "Key slots were taken without evidence; keys issued before are answered unknown."),

    WORKER_CLAIMED(400, Level.INFO, "A worker was claimed and what runs on it was counted."),
    WORKER_CLAIM_FAILED(401, Level.WARN, "A worker could not be claimed."),
    WORKER_OUT(402, Level.WARN,
            "A worker gets no new work, by its own evidence; of a job's worker the text tells how long its runs' lease lasts."),
    WORKER_BACK(403, Level.INFO,
            "A worker gets work again; of a job's worker the text compares what it shows with what was known of it."),
    WORKER_LEAVING(404, Level.INFO, "A worker is leaving and gets no new work."),

    WORKER_LOST(405, Level.WARN, "Nothing of a worker's runs is left; the text says how that is known."),
    LAPSING_RECORDED(406, Level.INFO,
            "Workers whose leases are left to lapse were recorded or taken over; the text names them."),
    WORKER_ENTRY_REFUSED(407, Level.WARN,
            "A listed entry names no worker that may be used; the text says why."),
    TASK_PLACED(500, Level.DEBUG, "A task was placed on a worker."),
    TASK_ENDED(501, Level.DEBUG, "A task ended with the result the text gives."),
    TASK_FORWARDED(502, Level.DEBUG, "A task was passed to a peer."),
    TASK_RETRIED(503, Level.DEBUG, "A task that was not run is tried on another worker."),
    LATE_ANSWER_DROPPED(504, Level.WARN,
            "An answer that belongs to no open request was dropped with its connection."),

    JOB_ACCEPTED(510, Level.INFO, "A job was accepted and its record written; the text names its queue."),
    JOB_REFUSED(511, Level.INFO, "A call about a job was refused; the text gives the code and the reason."),
    JOB_CANCELLED(512, Level.INFO, "A job's cancellation was written."),
    JOB_UNREADABLE(513, Level.ERROR, "A job's record in the store cannot be read; it is not run."),
    TASK_STARTED(514, Level.INFO,
            "An order to start a run was answered; the text gives run, worker and result."),
    ORDER_UNANSWERED(515, Level.WARN, "An order to a worker got no answer in time."),
    RUN_ENDED(516, Level.INFO, "A worker listed the end of a run; the text says how it ended."),
    ADVICE_MISSING(517, Level.WARN, "The advice service gave no answer for a step."),
    PROGRESS_DELAYED(518, Level.WARN, "Progress could not be written at once; ends stay open until it is."),
    TASK_MOVED(519, Level.INFO,
            "A run is stopped, or left on a silent worker, so that its task goes on elsewhere; the text says why."),
    TASK_PACED(520, Level.INFO, "A task that fills was told to work at another share of its speed."),
    CALL_RELAYED(521, Level.INFO,
            "A caller's request was handed to a peer, because the store does not answer this box."),
    JOB_READ(522, Level.INFO,
            "The owner read a job of which a peer told it and its watch did not; the text says if that failed."),
    CALL_REFUSED(523, Level.INFO,
            "A caller was answered with a refusal; the text gives the answer and what it says of the request."),
    RUN_LOST(524, Level.INFO,
            "A run is over with its worker; the text says how that is known and how long it was seen at work."),
    TASK_GIVEN_UP(525, Level.WARN,
            "A task crashed the workers that started it, and its job is failed; the text names them."),
    QUOTA_REACHED(526, Level.INFO,
            "Work of a customer begins to wait for its quota; the text gives what it has running."),
    QUOTA_LEFT(527, Level.INFO, "No work of a customer waits for its quota any more."),
    CONFIG_APPLIED(600, Level.INFO, "A configuration change is in force on this box."),
    CONFIG_RESYNCED(601, Level.INFO, "The whole configuration was read anew."),
    CONFIG_WRITE_SETTLED(602, Level.WARN, "A write whose answer was lost was settled by reading."),
    CONFIG_BAD_ENTRY(603, Level.ERROR, "A stored resource cannot be read and is not in force."),

    PEER_CONNECTED(700, Level.INFO, "A peer answers."),
    PEER_LOST(701, Level.WARN, "A peer does not answer."),
    PEER_BAD_CALL(702, Level.WARN, "A peer's call could not be understood."),

    STORE_WATCH_LOST(800, Level.WARN, "The watch on the store ended and is opened again."),
    ROSTER_CHANGED(801, Level.INFO, "The platform's list of workers changed."),
    ROSTER_UNREADABLE(802, Level.WARN, "The platform's list could not be read."),

    STORE_WATCH_REGAINED(803, Level.INFO, "The watch on the store is open again and all was read anew."),
    SETTINGS_RELOADED(804, Level.INFO, "The settings file was read again."),
    CALLER_BAD_REQUEST(900, Level.DEBUG, "A request on an HTTP port was refused as malformed."),
    INTERNAL_FAULT(901, Level.ERROR, "A fault inside the process; the text names it.");

    private final int number;
    private final Level level;
    private final String meaning;

    EventType(int number, Level level, String meaning)
    {
        this.number = number;
        this.level = level;
        this.meaning = meaning;
    }

    /** @return stable number */
    public int number()
    {
        return number;
    }

    /** @return log level */
    public Level level()
    {
        return level;
    }

    /** @return one-sentence description */
    public String meaning()
    {
        return meaning;
    }
}
