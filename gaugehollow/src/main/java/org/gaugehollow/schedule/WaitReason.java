/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Locale;

/**
 * Reasons for which a task that is due is not known to run. Waits are logged in the order of these
 * constants if there are too many to log at once, so common reasons come last.
 */
public enum WaitReason
{
    /** No other reason applies although a worker could run the task. */
    UNEXPLAINED("a worker has free capacity for it and no obstacle is known"),
    /** The owner has not read all jobs of the store yet. */
    JOBS_UNREAD("the owner has not read all jobs yet, nothing is started"),
    /** The store has not confirmed the owner's term recently. */
    TERM_UNCONFIRMED("the term is not confirmed by the store, commands are blocked"),
    /** The owner has read no configuration. */
    NO_CONFIGURATION("the owner has read no configuration, quotas are unknown"),
    /** A start was sent, but its outcome is not known. */
    START_UNANSWERED("a start was sent and is not answered"),
    /** A stop was decided, but no worker has accepted it. */
    STOP_UNANSWERED("a stop was sent and is not answered"),
    /** A worker has accepted a stop, but has not reported the end of the run. */
    RUN_ENDING("a stop was answered, the end of the run is not reported yet"),
    /** A run may exist on a worker that does not answer. */
    RUN_UNCERTAIN("a run may exist on a worker that does not answer"),
    /** The placement is not stored yet, so the start is not sent. */
    PROGRESS_UNWRITTEN("the placement is not written to the store yet"),
    /** Members of a gang wait until the previous run of the gang has ended completely. */
    GANG_RUN_ENDING("other members of the gang still have a run"),
    /** The advice service has not answered. */
    ADVICE_UNANSWERED("advice is requested and not answered"),
    /** No advice is requested, because more urgent steps are asked for first. */
    ADVICE_NOT_REQUESTED("no valid advice, and more urgent steps are asked for first"),
    /** The workers with free capacity are reserved for the isolated run of a suspect. */
    ISOLATION("free capacity only on workers that isolate a suspect"),
    /** The workers with free capacity are avoided after failures, refusals or slow runs. */
    WORKERS_AVOIDED("free capacity only on avoided workers"),
    /** The free capacity is reserved for other steps. */
    CAPACITY_RESERVED("free capacity is reserved for other steps"),
    /** No listed worker offers the service and the required label. */
    NO_WORKER("no listed worker offers the service and the required label"),
    /** Workers offer the service, but none accepts starts. */
    WORKERS_UNAVAILABLE("no suitable worker accepts starts"),
    /** The advice denies all suitable workers. */
    ADVICE_DENIED("the advice denies every suitable worker"),
    /** The workers with free capacity run as many tasks of the step as it allows. */
    SPREAD_LIMIT("the step's limit of tasks per worker is reached where capacity is free"),
    /** The customer's quota is used up. */
    QUOTA("the quota of the customer is used up"),
    /** No eligible worker has sufficient free capacity. */
    NO_CAPACITY("no eligible worker has sufficient free capacity");

    private final String description;

    WaitReason(String description)
    {
        this.description = description;
    }

    /** @return the name in the log and in the label of metrics */
    public String label()
    {
        return name().toLowerCase(Locale.ROOT);
    }

    /** @return the reason in words */
    public String description()
    {
        return description;
    }
}
