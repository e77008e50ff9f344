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
    PROCESS_STARTED(100, Level.INFO, "The process accepts requests; the text names its addresses."),
    PROCESS_STOPPING(101, Level.INFO, "A planned stop began."),
    PROCESS_STOPPED(102, Level.INFO,
            "The planned stop ended; the text says how many requests were still in flight."),
    SERVICE_FAILED(103, Level.ERROR, "A supervised service failed and is restarted."),
    PAUSE_DETECTED(104, Level.WARN,
            "The process or its monotonic clock paused for too long; the box's rights were suspended or revoked."),

    LEASE_GRANTED(200, Level.INFO, "The store gave this box a lease and the box is registered."),
    LEASE_LOST(201, Level.WARN, "The store no longer knows this box's lease."),
    RIGHTS_LOST(202, Level.WARN,
            "This box may not place tasks: its lease expired and no majority of boxes extends its rights."),
    RIGHTS_GAINED(203, Level.INFO, "This box may place tasks."),
    STORE_LOST(204, Level.WARN, "The store stopped answering this box."),
    STORE_FOUND(205, Level.INFO, "The store answers this box."),
    RIGHTS_FROZEN(206, Level.WARN,
            "The store is unresponsive; a majority of the hall's boxes extended this box's rights, and the assignment map stays as it is."),

    OWNER_BEGAN(207, Level.INFO, "This box became the cell's owner; the text gives its fencing token."),
    OWNER_ENDED(208, Level.WARN, "This box is no longer the cell's owner; the text says why."),
    LEASE_NOT_RENEWED(209, Level.WARN,
            "The store did not renew the owner's lease, or the owner's key was not read."),
    OWNER_SUSPECTED(210, Level.WARN,
            "The cell's owner seems to have failed or to have lost the store; this box tries to take over."),
    CONFIRMED_LATE(211, Level.WARN,
            "The store's confirmation of the owner's term was read late; it counts from when it was requested, which the text tells."),
    MAP_CHANGED(300, Level.INFO, "This box changed the hall's assignment map."),
    MAP_ADOPTED(301, Level.INFO, "This box adopted a newer assignment map of its hall."),
    BOX_REMOVED(302, Level.WARN, "A box whose lease expired was removed from the assignment map."),
    TAKEOVER_WAITS(303, Level.INFO,
            "A takeover waits for its quorum or its waiting period, or a rebalancing is delayed."),
    SLOTS_HANDED_OVER(304, Level.INFO, "Key slots were handed over to a peer with their records."),
    SLOTS_TAKEN(305, Level.INFO, "Key slots were taken over with their slot records."),
    EVIDENCE_MISSING(306, Level.WARN,
            "Key slots were taken over without complete slot records; requests with keys issued before get the outcome unknown."),

    WORKER_CLAIMED(400, Level.INFO, "A worker was claimed and the tasks running on it were counted."),
    WORKER_CLAIM_FAILED(401, Level.WARN, "A worker could not be claimed."),
    WORKER_OUT(402, Level.WARN,
            "A worker is unresponsive or unhealthy and gets no new work; for a worker that runs jobs, the text gives the remaining lease time of its runs."),
    WORKER_BACK(403, Level.INFO,
            "A worker gets work again; for a worker that runs jobs, the text compares the state that it reports with the tracked state."),
    WORKER_LEAVING(404, Level.INFO, "A worker is leaving and gets no new work."),

    WORKER_LOST(405, Level.WARN, "All runs of a worker are known to have ended; the text gives the cause."),
    LAPSING_RECORDED(406, Level.INFO,
            "The record of workers whose leases are left to expire was written or adopted, or that failed; the text names the workers or the failure."),
    WORKER_ENTRY_REFUSED(407, Level.WARN, "An entry of the worker list was refused; the text says why."),
    EARLIER_LEASES_LIMITED(408, Level.INFO,
            "No earlier owner renews leases any more, so the owner waits less for workers that it cannot reach; the text tells why and how long."),
    EARLIER_TERM(409, Level.INFO,
            "An owner began; the text gives what it knows of the previous term and how long leases of earlier terms may last."),
    WITNESSES_RECORDED(410, Level.INFO,
            "The owner recorded which boxes may vouch for it while the store doesn't answer, or failed to; the text gives their addresses."),
    TERM_VOUCHED(411, Level.INFO,
            "The owner renews leases by the word of another box, since the store doesn't confirm its term, or no longer needs it."),
    TASK_PLACED(500, Level.DEBUG, "A task was placed on a worker."),
    TASK_ENDED(501, Level.DEBUG, "A task ended with the result the text gives."),
    TASK_FORWARDED(502, Level.DEBUG, "A task was forwarded to a peer."),
    TASK_RETRIED(503, Level.DEBUG, "A task that was not run is retried on another worker."),
    LATE_ANSWER_DROPPED(504, Level.WARN,
            "An answer that belongs to no open request was dropped with its connection."),

    JOB_ACCEPTED(510, Level.INFO, "A job was accepted and its record written; the text names its queue."),
    JOB_REFUSED(511, Level.INFO, "A call about a job was refused; the text gives the code and the reason."),
    JOB_CANCELLED(512, Level.INFO, "A job's cancellation was written."),
    JOB_UNREADABLE(513, Level.ERROR, "A job's record in the store cannot be read; it is not run."),
    TASK_STARTED(514, Level.INFO,
            "A start command was answered or not sent; the text gives the run, the worker and the result."),
    ORDER_UNANSWERED(515, Level.WARN, "A command to a worker was not answered in time."),
    RUN_ENDED(516, Level.INFO, "A worker reported the end of a run; the text says how it ended."),
    ADVICE_MISSING(517, Level.WARN, "The advice service gave no answer for a step."),
    PROGRESS_DELAYED(518, Level.WARN,
            "A write of job data is delayed; run ends are not acknowledged until their progress is stored."),
    TASK_MOVED(519, Level.INFO,
            "A run is stopped, or abandoned on an unresponsive worker, so that its task continues elsewhere; the text says why."),
    TASK_PACED(520, Level.INFO, "The speed limit of a best-effort task was changed."),
    CALL_RELAYED(521, Level.INFO,
            "A caller's request was relayed to a peer because the store does not answer this box."),
    JOB_READ(522, Level.INFO,
            "The owner read a job that a peer had reported and its watch had not; the text says if that failed."),
    CALL_REFUSED(523, Level.INFO,
            "A caller's request was refused; the text gives the status, the code, the outcome and the reason."),
    RUN_LOST(524, Level.INFO,
            "A run ended with its worker; the text gives the cause and how long the run was observed running."),
    TASK_GIVEN_UP(525, Level.WARN,
            "A job failed because one of its tasks crashed the workers that started it; the text names them."),
    QUOTA_REACHED(526, Level.INFO,
            "Tasks of a customer start to wait for its quota; the text gives the compute resources in use."),
    QUOTA_LEFT(527, Level.INFO, "No task of a customer waits for its quota any more."),
    TASK_WAITING(528, Level.INFO,
            "Tasks of a step do not run; the text gives the reason, for how long, how many, the first index, and details."),
    TASK_UNBLOCKED(529, Level.INFO,
            "No task of a step waits any more; the text gives the whole wait and the reason that was logged last."),
    KIND_SPEED_CHANGED(530, Level.INFO,
            "The estimated speed of a kind of worker changed notably; the text gives how long runs take there relative to the typical worker."),
    COPY_STARTED(531, Level.INFO,
            "A second run of a task is started beside one that is slow or unanswered; the text gives both runs and their workers, how slow the first worker is, and the expected gain."),
    COPY_SETTLED(532, Level.INFO,
            "A task with a second run has completed, or that run ended without success; the text says which run counts and what work was thrown away."),
    SHARE_EXCEEDED(533, Level.INFO,
            "Tasks of a customer start to wait because it uses more of its part than others; the text gives whose job goes first."),
    SHARE_RESTORED(534, Level.INFO, "No task of a customer waits for its share any more."),
    REFUSING_BEGAN(535, Level.WARN,
            "This box begins to refuse jobs of a queue because too much work waits; the text gives the inputs and their age."),
    REFUSING_ENDED(536, Level.INFO,
            "This box no longer refuses jobs of a queue; the text says for how long it did and how many."),
    JOB_DEFERRED(537, Level.INFO,
            "A job can no longer be in time and is planned after jobs that can; the text gives its outlook and what decides its place."),
    COUNTS_DELAYED(538, Level.WARN,
            "The counts of waiting jobs were not written and are written again; the text gives the counts and why."),
    CRASH_RECORDED(539, Level.INFO,
            "A possible crash of a worker was recorded for a task; the text gives the worker, the run, how far the crash is attributed to the task, the cause and the run time."),
    CRASH_WITHDRAWN(540, Level.INFO,
            "A recorded crash does not count for a task any more; the text gives the worker, the attribution so far and the reason."),
    CONFIG_APPLIED(600, Level.INFO, "A configuration change was applied on this box."),
    CONFIG_RESYNCED(601, Level.INFO, "The whole configuration was read again."),
    CONFIG_WRITE_SETTLED(602, Level.WARN, "A write got no answer; a read determined its outcome."),
    CONFIG_BAD_ENTRY(603, Level.ERROR, "A stored resource cannot be read and is not applied."),

    PEER_CONNECTED(700, Level.INFO, "A peer answers."),
    PEER_LOST(701, Level.WARN, "A peer does not answer."),
    PEER_BAD_CALL(702, Level.WARN, "A peer's call was malformed."),
    PEER_SILENT(703, Level.WARN, "A connection to a peer carried no data and was replaced or closed."),

    STORE_WATCH_LOST(800, Level.WARN, "The watch on the store was lost and is reopened."),
    ROSTER_CHANGED(801, Level.INFO, "The platform's list of workers changed."),
    ROSTER_UNREADABLE(802, Level.WARN, "The platform's list could not be read."),

    STORE_WATCH_REGAINED(803, Level.INFO, "The watch on the store is open again."),
    SETTINGS_RELOADED(804, Level.INFO, "The settings file was read again."),
    CALLER_BAD_REQUEST(900, Level.DEBUG, "A request on an HTTP port was refused as malformed."),
    INTERNAL_FAULT(901, Level.ERROR, "An internal error; the text describes it."),
    CALLER_STALLED(902, Level.INFO, "A connection was closed because its caller took no data of a response.");

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
