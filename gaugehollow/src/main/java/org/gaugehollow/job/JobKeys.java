/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Optional;

/** The names of the store's keys that belong to jobs and to the cell's owner. */
public final class JobKeys
{
    /** The start of all records of accepted jobs and of their cancellations. */
    public static final String JOBS = "gaugehollow/jobs/";
    /** The start of all records of progress. */
    public static final String PROGRESS = "gaugehollow/progress/";
    /** Names the cell's owner; tied to its lease. */
    public static final String OWNER = "gaugehollow/owner";
    /** Changes with every write of the owner, so that writes take effect in their order. */
    public static final String JOURNAL = "gaugehollow/journal";
    /** Workers whose leases the owner lets lapse because they do not answer. */
    public static final String EXPIRING_LEASES = "gaugehollow/lapsing";
    /** Counts of waiting jobs, written by the owner. */
    public static final String SUMMARY = "gaugehollow/summary";
    /** The start of the boxes' registrations. */
    public static final String BOXES = "gaugehollow/boxes/";

    private static final String CANCEL = "/cancel";
    private static final String SPEC = "/spec";

    private JobKeys()
    {
    }

    /**
     * @param id a job's id
     * @return the key of its record
     */
    public static String job(String id)
    {
        return JOBS + id + SPEC;
    }

    /**
     * @param id a job's id
     * @return the start of the keys of its record and of its cancellation
     */
    public static String jobPrefix(String id)
    {
        return JOBS + id + '/';
    }

    /**
     * @param id a job's id
     * @return the key that exists once the job is cancelled
     */
    public static String cancel(String id)
    {
        return JOBS + id + CANCEL;
    }

    /**
     * @param id a job's id
     * @return the key of its progress
     */
    public static String progress(String id)
    {
        return PROGRESS + id;
    }

    /**
     * @param key a key under {@link #JOBS}
     * @return the id of the job whose record it names, if it names one
     */
    public static Optional<String> idOfJob(String key)
    {
        return extractId(key, SPEC);
    }

    /**
     * @param key a key under {@link #JOBS}
     * @return the id of the job whose cancellation it names, if it names one
     */
    public static Optional<String> idOfCancel(String key)
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
