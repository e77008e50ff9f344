/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.Checks;

/**
 * Settings of the connection to the platform.
 *
 * @param storeAddress address of the key-value service
 * @param rosterAddress address of the worker list
 * @param rosterPath path of the worker list
 * @param timeoutMillis timeout of one call
 * @param callsPerSecond maximum rate of this box's calls to the key-value service
 */
public record PlatformSettings(String storeAddress, String rosterAddress, String rosterPath,
        int timeoutMillis, int callsPerSecond)
{
    private static final int DEFAULT_TIMEOUT_MILLIS = 1_000;
    private static final int DEFAULT_CALLS_PER_SECOND = 30;
    private static final int MAX_VALUE = 60_000;

    /** Checks all values and sets defaults for omitted ones. */
    public PlatformSettings
    {
        SettingChecks.address(storeAddress, "platform.storeAddress");
        SettingChecks.address(rosterAddress, "platform.rosterAddress");
        rosterPath = rosterPath == null ? "/v1/workers" : rosterPath;
        timeoutMillis = timeoutMillis == 0 ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
        callsPerSecond = callsPerSecond == 0 ? DEFAULT_CALLS_PER_SECOND : callsPerSecond;
        Checks.range(timeoutMillis, 10, MAX_VALUE, "platform.timeoutMillis");
        Checks.range(callsPerSecond, 1, MAX_VALUE, "platform.callsPerSecond");
    }
}
