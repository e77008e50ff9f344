/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.Checks;

/**
 * How a box reaches the platform.
 *
 * @param storeAddress the key-value service
 * @param rosterAddress the list of workers
 * @param rosterPath the list's path
 * @param timeoutMillis how long one call may take
 * @param callsPerSecond this box's share of the service's calls
 */
public record PlatformSettings(String storeAddress, String rosterAddress, String rosterPath,
        int timeoutMillis, int callsPerSecond)
{
    private static final int DEFAULT_TIMEOUT = 1_000;
    private static final int DEFAULT_CALLS = 30;
    private static final int MOST = 60_000;

    /** Checks every key and fills in what may be left out. */
    public PlatformSettings
    {
        SettingChecks.address(storeAddress, "platform.storeAddress");
        SettingChecks.address(rosterAddress, "platform.rosterAddress");
        rosterPath = rosterPath == null ? "/v1/workers" : rosterPath;
        timeoutMillis = timeoutMillis == 0 ? DEFAULT_TIMEOUT : timeoutMillis;
        callsPerSecond = callsPerSecond == 0 ? DEFAULT_CALLS : callsPerSecond;
        Checks.range(timeoutMillis, 10, MOST, "platform.timeoutMillis");
        Checks.range(callsPerSecond, 1, MOST, "platform.callsPerSecond");
    }
}
