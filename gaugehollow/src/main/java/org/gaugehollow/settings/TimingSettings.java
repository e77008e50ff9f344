/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.Checks;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/**
 * The periods of membership. All boxes of a hall must have the same.
 *
 * @param leaseSeconds how long the store keeps a silent box's lease
 * @param leaseMarginMillis how long before the store's end a box ends its own rights
 * @param pingMillis how often peers are asked
 * @param witnessMillis how long a peer's word counts that the store answers nobody
 * @param rosterMillis how often the platform's list is read
 * @param recordSeconds how long the record of a key is kept
 * @param clockSkewMillis how far callers' clocks may be from the boxes'
 * @param drainSeconds how long a planned stop waits for requests in flight
 * @param abandonSeconds after how long without its quorum a take-over goes ahead; 0 for never
 */
public record TimingSettings(int leaseSeconds, int leaseMarginMillis, int pingMillis, int witnessMillis,
        int rosterMillis, int recordSeconds, int clockSkewMillis, int drainSeconds, Integer abandonSeconds)
{
    private static final int MILLIS = 1_000;
    private static final int HOUR = 3_600;

    /** Checks every key and fills in what may be left out. */
    public TimingSettings
    {
        leaseSeconds = orDefault(leaseSeconds, 5);
        leaseMarginMillis = orDefault(leaseMarginMillis, 800);
        pingMillis = orDefault(pingMillis, 400);
        witnessMillis = orDefault(witnessMillis, 2_000);
        rosterMillis = orDefault(rosterMillis, 1_000);
        recordSeconds = orDefault(recordSeconds, 600);
        clockSkewMillis = orDefault(clockSkewMillis, 2_000);
        drainSeconds = orDefault(drainSeconds, 20);
        abandonSeconds = abandonSeconds == null ? 30 : abandonSeconds;
        Checks.range(leaseSeconds, 1, 60, "timing.leaseSeconds");
        Checks.range(leaseMarginMillis, 50, leaseSeconds * MILLIS / 2, "timing.leaseMarginMillis");
        Checks.range(pingMillis, 20, 5_000, "timing.pingMillis");
        Checks.range(witnessMillis, 3 * pingMillis, 60_000, "timing.witnessMillis");
        Checks.range(rosterMillis, 50, 60_000, "timing.rosterMillis");
        Checks.range(recordSeconds, 1, 24 * HOUR, "timing.recordSeconds");
        Checks.range(clockSkewMillis, 1, 60_000, "timing.clockSkewMillis");
        Checks.range(drainSeconds, 1, HOUR, "timing.drainSeconds");
        Checks.range(abandonSeconds, 0, 24 * HOUR, "timing.abandonSeconds");
        if (abandonSeconds > 0 && abandonSeconds <= leaseSeconds)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_RANGE,
                    "timing.abandonSeconds: expected 0 or more than leaseSeconds");
        }
    }

    /** @return the periods that apply where the settings say nothing */
    public static TimingSettings defaults()
    {
        return new TimingSettings(0, 0, 0, 0, 0, 0, 0, 0, null);
    }

    private static int orDefault(int value, int fallback)
    {
        return value == 0 ? fallback : value;
    }
}
