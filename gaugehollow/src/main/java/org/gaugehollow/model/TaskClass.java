/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Priority classes of tasks, most urgent first. A lower ordinal is served first and shed last. */
public enum TaskClass
{
    /** Time-critical tasks such as goal alerts: a late answer has almost no value. */
    @JsonProperty("urgent")
    URGENT,
    /** Bookings: a user waits, and a delay of seconds is acceptable. */
    @JsonProperty("booking")
    BOOKING,
    /** Long-running services and open feeds. */
    @JsonProperty("service")
    SERVICE,
    /** Deferrable work such as rebuilds. */
    @JsonProperty("batch")
    BATCH;

    /** @return label used in resources, metrics and messages */
    public String label()
    {
        return name().toLowerCase(Locale.ROOT);
    }
}
