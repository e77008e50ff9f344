/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Optional;

/** Store keys of jobs and of the cell's owner. */
public final class JobKeys
{
    /** Prefix of the records of accepted jobs and of their cancellations. */
    public static final String JOBS = "gaugehollow/jobs/";
    /** Prefix of the progress records. */
    public static final String PROGRESS = "gaugehollow/progress/";
    /** Key of the cell's owner, attached to its lease. */
    public static final String OWNER = "gaugehollow/owner";
    /** Key that each write of the owner updates, so that its writes take effect in order. */
    public static final String JOURNAL = "gaugehollow/journal";
    /** Key of the workers whose leases the owner no longer renews because they are unresponsive. */
    public static final String EXPIRING_LEASES = "gaugehollow/lapsing";
    /** Key of the boxes that may vouch for the owner while the store doesn't answer it. */
    public static final String WITNESSES = "gaugehollow/witnesses";
    /** Key of the counts of waiting jobs, written by the owner. */
    public static final String SUMMARY = "gaugehollow/summary";
    /**
     * Prefix of the addresses at which jobs of a queue were accepted, one key for each queue and
     * address.
     */
    public static final String QUEUE_ADDRESSES = "gaugehollow/queues/";
    /** Prefix of the boxes' registrations. */
    public static final String BOXES = "gaugehollow/boxes/";
    /** Prefix of the keys by address that put the registrations at one address in order. */
    public static final String BOX_ADDRESSES = "gaugehollow/addresses/";

    private static final String CANCEL = "/cancel";
    private static final String SPEC = "/spec";

    private JobKeys()
    {
    }

    /**
     * @param id a job's id
     * @return the key of the job's record
     */
    public static String job(String id)
    {
        return JOBS + id + SPEC;
    }

    /**
     * @param id a job's id
     * @return the common prefix of the keys of the job's record and cancellation
     */
    public static String jobPrefix(String id)
    {
        return JOBS + id + '/';
    }

    /**
     * @param id a job's id
     * @return the key of the job's cancellation
     */
    public static String cancellation(String id)
    {
        return JOBS + id + CANCEL;
    }

    /**
     * @param id a job's id
     * @return the key of the job's progress
     */
    public static String progress(String id)
    {
        return PROGRESS + id;
    }

    /**
     * @param key a key under {@link #JOBS}
     * @return the id of the job if this is the key of a job's record
     */
    public static Optional<String> idOfRecordKey(String key)
    {
        return extractId(key, SPEC);
    }

    /**
     * @param key a key under {@link #JOBS}
     * @return the id of the job if this is the key of a cancellation
     */
    public static Optional<String> idOfCancellationKey(String key)
    {
        return extractId(key, CANCEL);
    }

    private static Optional<String> extractId(String key, String suffix)
    {
        boolean matches = key.startsWith(JOBS) && key.endsWith(suffix);
        return matches
                ? Optional.of(key.substring(JOBS.length(), key.length() - suffix.length()))
                : Optional.empty();
    }
}
