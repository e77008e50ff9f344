/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.Checks;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/**
 * Timing of membership. All boxes of a data hall must use the same values.
 *
 * @param leaseSeconds duration of a box's lease in the store
 * @param leaseMarginMillis time before the lease expires at which a box gives up its rights
 * @param pingMillis interval between pings to a peer
 * @param witnessMillis validity of a peer's confirmation during a store outage
 * @param rosterMillis interval between reads of the worker list
 * @param recordSeconds retention time of a key record
 * @param clockSkewMillis maximum difference between the clocks of callers and boxes
 * @param drainSeconds maximum time that a planned stop waits for requests in flight
 * @param abandonSeconds time after which a takeover proceeds without its quorum; 0 for never
 */
public record TimingSettings(int leaseSeconds, int leaseMarginMillis, int pingMillis, int witnessMillis,
        int rosterMillis, int recordSeconds, int clockSkewMillis, int drainSeconds, Integer abandonSeconds)
{
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int SECONDS_PER_HOUR = 3_600;

    /** Checks all values and sets defaults for omitted ones. */
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
        Checks.range(leaseMarginMillis, 50, leaseSeconds * MILLIS_PER_SECOND / 2, "timing.leaseMarginMillis");
        Checks.range(pingMillis, 20, 5_000, "timing.pingMillis");
        Checks.range(witnessMillis, 3 * pingMillis, 60_000, "timing.witnessMillis");
        Checks.range(rosterMillis, 50, 60_000, "timing.rosterMillis");
        Checks.range(recordSeconds, 1, 24 * SECONDS_PER_HOUR, "timing.recordSeconds");
        Checks.range(clockSkewMillis, 1, 60_000, "timing.clockSkewMillis");
        Checks.range(drainSeconds, 1, SECONDS_PER_HOUR, "timing.drainSeconds");
        Checks.range(abandonSeconds, 0, 24 * SECONDS_PER_HOUR, "timing.abandonSeconds");
        if (abandonSeconds > 0 && abandonSeconds <= leaseSeconds)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_RANGE,
                    "timing.abandonSeconds: expected 0 or more than leaseSeconds");
        }
    }

    /** @return default timing */
    public static TimingSettings defaults()
    {
        return new TimingSettings(0, 0, 0, 0, 0, 0, 0, 0, null);
    }

    private static int orDefault(int value, int fallback)
    {
        return value == 0 ? fallback : value;
    }
}
