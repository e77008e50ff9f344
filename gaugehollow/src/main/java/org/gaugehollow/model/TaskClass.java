/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The classes of work, most urgent first. A lower ordinal is served first and shed last. */
public enum TaskClass
{
    /** Goal alerts and the like: a late answer is nearly worthless. */
    @JsonProperty("urgent")
    URGENT,
    /** Bookings: somebody waits, seconds are tolerable. */
    @JsonProperty("booking")
    BOOKING,
    /** Long-running services and feeds that stay open. */
    @JsonProperty("service")
    SERVICE,
    /** Rebuilds that may wait. */
    @JsonProperty("batch")
    BATCH;

    /** @return the word used in resources, metrics and messages */
    public String label()
    {
        return name().toLowerCase(Locale.ROOT);
    }
}
