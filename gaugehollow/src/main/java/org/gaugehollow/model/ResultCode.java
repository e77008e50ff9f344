/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Result codes of all APIs. The numbers are stable; docs/ERRORS.md lists the codes and a test
 * compares that page with this enum.
 */
public enum ResultCode
{
    OK(0, 200, Outcome.ANSWERED, 0, "The request ran and was answered."),
    RECORDED(1, 200, Outcome.ANSWERED, 0,
            "An earlier request with the same key ran; this is its recorded answer."),

    SETTINGS_UNREADABLE(1001, 0, Outcome.NOT_RUN, 0, "The settings file cannot be read or is not JSON."),
    SETTINGS_UNKNOWN_KEY(1002, 0, Outcome.NOT_RUN, 0, "The settings contain a key that does not exist."),
    SETTINGS_WRONG_TYPE(1003, 0, Outcome.NOT_RUN, 0, "A setting has the wrong type."),
    SETTINGS_MISSING(1004, 0, Outcome.NOT_RUN, 0, "A required setting is missing."),
    SETTINGS_RANGE(1005, 0, Outcome.NOT_RUN, 0, "A setting is outside its range."),
    ADDRESS_IN_USE(1006, 0, Outcome.NOT_RUN, 0, "A listen address in the settings cannot be bound."),

    BAD_REQUEST(2001, 400, Outcome.NOT_RUN, 0, "The request is malformed."),
    UNKNOWN_WORKLOAD(2002, 404, Outcome.NOT_RUN, 0, "No workload of that name is configured."),
    UNKNOWN_TEAM(2003, 404, Outcome.NOT_RUN, 0, "No team of that name is configured."),
    BODY_TOO_LARGE(2004, 413, Outcome.NOT_RUN, 0, "The body is larger than the workload or the box allows."),
    DEADLINE_PASSED(2005, 504, Outcome.NOT_RUN, 500, "The deadline passed before the request was started."),
    UNKNOWN_PATH(2006, 404, Outcome.NOT_RUN, 0, "No such path or method on this port."),
    KEY_REQUIRED(2007, 400, Outcome.NOT_RUN, 0,
            "Requests of the workload must not run twice, so they need an Idempotency-Key."),
    KEY_CONFLICT(2008, 409, Outcome.NOT_RUN, 0, "The key was used before for another workload."),
    UNKNOWN_QUEUE(2009, 404, Outcome.NOT_RUN, 0, "No queue is configured for the host and path."),
    UNKNOWN_JOB(2010, 410, Outcome.NOT_RUN, 0, "The queue has no job with that id."),
    KEY_UNKNOWN(2011, 401, Outcome.NOT_RUN, 0,
            "The queue requires a valid key, and the caller did not send one."),
    JOB_CONFLICT(2012, 409, Outcome.NOT_RUN, 0, "The job's id is taken by another customer's job."),
    QUOTA_TOO_SMALL(2013, 429, Outcome.NOT_RUN, 0,
            "A step of the job needs more at the same time than the customer's quota allows."),

    NO_ROOM(3001, 503, Outcome.NOT_RUN, 500,
            "No upstream that may take the request had enough free capacity in time."),
    QUEUE_FULL(3002, 503, Outcome.NOT_RUN, 1000,
            "The class has reached its maximum number of waiting requests."),
    QUOTA_EXCEEDED(3003, 429, Outcome.NOT_RUN, 1000, "The team's running requests use up its quota."),
    NO_RIGHTS(3004, 503, Outcome.NOT_RUN, 2000,
            "The box that owns the upstream or key currently has no valid rights."),
    HALL_UNREACHABLE(3005, 503, Outcome.NOT_RUN, 5000, "The key's home hall cannot be reached."),
    NO_COPY(3006, 503, Outcome.NOT_RUN, 2000,
            "The key's record could not be replicated to a second box, so the request was not run."),
    UPSTREAM_REFUSED(3008, 503, Outcome.NOT_RUN, 200, "The upstream refused the request before running it."),
    FENCED(3009, 503, Outcome.NOT_RUN, 200, "The upstream belongs to a newer owner and refused the request."),
    CONFIG_NOT_READY(3010, 503, Outcome.NOT_RUN, 1000, "This box has no configuration yet."),
    KEY_MOVING(3011, 503, Outcome.NOT_RUN, 500, "The key range is being transferred to another owner."),
    PREEMPTED(3012, 503, Outcome.NOT_RUN, 1000,
            "The request was removed from the full queue for a more urgent one."),
    COUNT_UNKNOWN(3013, 503, Outcome.NOT_RUN, 1000,
            "The number of waiting jobs is unknown because no box currently owns the cell."),
    CONFIG_MAY_BE_OLD(3014, 503, Outcome.NOT_RUN, 1000,
            "The store does not answer this box, so its configuration may be out of date."),
    BACKLOG_TOO_LONG(3015, 503, Outcome.NOT_RUN, 1000,
            "The waiting work would delay the job until its result is of no use."),

    OUTCOME_UNKNOWN(4001, 502, Outcome.UNKNOWN, 1000,
            "The connection to the upstream ended before the complete answer arrived."),
    UPSTREAM_TIMEOUT(4002, 504, Outcome.UNKNOWN, 1000, "The upstream did not answer before the deadline."),
    PEER_LOST(4003, 502, Outcome.UNKNOWN, 1000,
            "The peer that had accepted the request was lost before it answered."),
    EVIDENCE_LOST(4004, 502, Outcome.UNKNOWN, 0,
            "The request may have run, but the record of its key was lost or evicted."),
    STILL_RUNNING(4005, 504, Outcome.UNKNOWN, 1000, "An earlier request with this key is still running."),
    KEY_UNCERTAIN(4007, 503, Outcome.UNKNOWN, 2000,
            "This request was not run, but the key's owner could not be asked whether an earlier one was."),
    ANSWER_TOO_LARGE(4006, 502, Outcome.UNKNOWN, 0, "The upstream's answer is larger than the box allows."),

    RESOURCE_NOT_FOUND(5001, 404, Outcome.NOT_RUN, 0, "No such resource."),
    RESOURCE_INVALID(5002, 422, Outcome.NOT_RUN, 0, "The resource is not valid."),
    REVISION_CONFLICT(5003, 412, Outcome.NOT_RUN, 0,
            "The resource has changed since the revision on which the change is based."),
    REVISION_REQUIRED(5004, 428, Outcome.NOT_RUN, 0, "A change of an existing resource needs If-Match."),
    WATCH_TOO_OLD(5005, 410, Outcome.NOT_RUN, 0,
            "The watch's start revision is no longer available; list again."),
    RESOURCE_IN_USE(5006, 409, Outcome.NOT_RUN, 0, "Another resource refers to this one."),
    FIELD_IMMUTABLE(5007, 422, Outcome.NOT_RUN, 0, "A field that may not change was changed."),

    STORE_UNAVAILABLE(6001, 503, Outcome.NOT_RUN, 1000,
            "The platform's service does not answer; this attempt changed nothing."),
    STORE_OUTCOME_UNKNOWN(6002, 504, Outcome.UNKNOWN, 2000,
            "The platform's service did not say whether the change was applied."),
    STORE_BUDGET(6003, 503, Outcome.NOT_RUN, 1000,
            "This box has used up its share of the platform's call budget."),
    STORE_BAD_ANSWER(6004, 502, Outcome.UNKNOWN, 1000,
            "The platform's service gave an answer that cannot be read."),

    PEER_BAD_CALL(7001, 400, Outcome.NOT_RUN, 0, "A peer sent a malformed call."),
    PEER_UNREACHABLE(7002, 503, Outcome.NOT_RUN, 1000, "The peer cannot be reached."),

    INTERNAL(9001, 500, Outcome.UNKNOWN, 1000, "An internal error; see the box's log.");

    private static final Map<Integer, ResultCode> BY_NUMBER = new HashMap<>();

    static
    {
        for (ResultCode code : values())
        {
            BY_NUMBER.put(code.number, code);
        }
    }

    private final int number;
    private final int httpStatus;
    private final Outcome outcome;
    private final int retryAfterMillis;
    private final String meaning;

    ResultCode(int number, int httpStatus, Outcome outcome, int retryAfterMillis, String meaning)
    {
        this.number = number;
        this.httpStatus = httpStatus;
        this.outcome = outcome;
        this.retryAfterMillis = retryAfterMillis;
        this.meaning = meaning;
    }

    /** @return stable number */
    public int number()
    {
        return number;
    }

    /** @return HTTP status sent with this code; 0 if it is never sent over HTTP */
    public int httpStatus()
    {
        return httpStatus;
    }

    /** @return outcome of the request that this code implies */
    public Outcome outcome()
    {
        return outcome;
    }

    /** @return delay in milliseconds after which a retry may succeed; 0 if a retry does not help */
    public int retryAfterMillis()
    {
        return retryAfterMillis;
    }

    /** @return one-sentence description */
    public String meaning()
    {
        return meaning;
    }

    /**
     * Finds a code by its number.
     *
     * @param number stable number
     * @return the code, or {@link #INTERNAL} for an unknown number
     */
    public static ResultCode ofNumber(int number)
    {
        return BY_NUMBER.getOrDefault(number, INTERNAL);
    }
}
