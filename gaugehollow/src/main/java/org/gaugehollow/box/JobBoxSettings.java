/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.model.Checks;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;

/**
 * Settings of a box that schedules jobs.
 *
 * @param box the box's name
 * @param hall its data hall
 * @param callerAddress where callers connect
 * @param readinessAddress where readiness is asked for
 * @param peerAddress where other boxes connect
 * @param metricsAddress where metrics are served
 * @param storeAddress the platform's store
 * @param adviceAddress the advice service, or an empty text where there is none
 * @param statusSeconds how long a job is shown after it is over, in seconds
 * @param drainSeconds how long a planned stop may take in all, in seconds
 */
public record JobBoxSettings(String box, String hall, String callerAddress, String readinessAddress,
        String peerAddress, String metricsAddress, String storeAddress, String adviceAddress,
        int statusSeconds, int drainSeconds)
{
    private static final int SHORTEST_DRAIN = 1;
    private static final int LONGEST_DRAIN = 600;
    private static final int LONGEST_STATUS = 86_400;

    /** Checks every key. */
    public JobBoxSettings
    {
        Checks.present(box, "box");
        Checks.present(hall, "hall");
        address(callerAddress, "callerAddress");
        address(readinessAddress, "readinessAddress");
        address(peerAddress, "peerAddress");
        address(metricsAddress, "metricsAddress");
        address(storeAddress, "storeAddress");
        adviceAddress = adviceAddress == null ? "" : adviceAddress;
        if (!adviceAddress.isEmpty())
        {
            address(adviceAddress, "adviceAddress");
        }
        Checks.range(statusSeconds, 1, LONGEST_STATUS, "statusSeconds");
        Checks.range(drainSeconds, SHORTEST_DRAIN, LONGEST_DRAIN, "drainSeconds");
    }

    private static void address(String text, String key)
    {
        if (text == null)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_MISSING, key + ": is required");
        }
        try
        {
            NetAddress.parse(text);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_RANGE, key + ": " + e.getMessage(), e);
        }
    }
}
