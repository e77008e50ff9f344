/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import org.gaugehollow.model.Checks;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.urgency.StopCosts;

/**
 * Settings of a box that schedules jobs.
 *
 * @param box name of the box
 * @param hall data hall of the box
 * @param callerAddress listen address for callers
 * @param readinessAddress listen address for readiness checks
 * @param peerAddress listen address for other boxes
 * @param metricsAddress listen address for metrics scrapes
 * @param storeAddress address of the platform's store
 * @param adviceAddress address of the advice service, empty if there is none
 * @param statusSeconds retention time of the state of an ended job, in seconds
 * @param drainSeconds maximum duration of a graceful shutdown, in seconds
 * @param processors number of processors of the machine; 1 if absent
 * @param processorShare share of these processors that the process may use; 1 if absent
 * @param stopMillis maximum time that a stop takes on a worker, in milliseconds; 400 if absent
 * @param restoreMillis time to resume a run from a checkpoint, in milliseconds; 600 if absent
 * @param checkpointSeconds work between two checkpoints of a run, in seconds; 1 if absent
 */
public record JobBoxSettings(String box, String hall, String callerAddress, String readinessAddress,
        String peerAddress, String metricsAddress, String storeAddress, String adviceAddress,
        int statusSeconds, int drainSeconds, Integer processors, Double processorShare, Integer stopMillis,
        Integer restoreMillis, Double checkpointSeconds)
{
    private static final int MIN_DRAIN_SECONDS = 1;
    private static final int MAX_DRAIN_SECONDS = 600;
    private static final int MAX_PROCESSORS = 4_096;
    private static final int MILLIS_PER_PROCESSOR = 1_000;
    private static final int MAX_STATUS_SECONDS = 86_400;
    private static final int MAX_STOP_MILLIS = 60_000;
    private static final int MAX_CHECKPOINT_SECONDS = 3_600;
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Validates the settings and applies defaults. */
    public JobBoxSettings
    {
        Checks.present(box, "box");
        Checks.present(hall, "hall");
        checkAddress(callerAddress, "callerAddress");
        checkAddress(readinessAddress, "readinessAddress");
        checkAddress(peerAddress, "peerAddress");
        checkAddress(metricsAddress, "metricsAddress");
        checkAddress(storeAddress, "storeAddress");
        adviceAddress = adviceAddress == null ? "" : adviceAddress;
        if (!adviceAddress.isEmpty())
        {
            checkAddress(adviceAddress, "adviceAddress");
        }
        Checks.range(statusSeconds, 1, MAX_STATUS_SECONDS, "statusSeconds");
        Checks.range(drainSeconds, MIN_DRAIN_SECONDS, MAX_DRAIN_SECONDS, "drainSeconds");
        processors = processors == null ? 1 : processors;
        Checks.range(processors, 1, MAX_PROCESSORS, "processors");
        processorShare = processorShare == null ? 1 : processorShare;
        if (!(processorShare > 0 && processorShare <= 1))
        {
            throw new GaugehollowException(ResultCode.SETTINGS_RANGE,
                    "processorShare: must be above 0 and at most 1");
        }
        stopMillis = stopMillis == null ? (int) StopCosts.DEFAULT.stopMillis() : stopMillis;
        Checks.range(stopMillis, 1, MAX_STOP_MILLIS, "stopMillis");
        restoreMillis = restoreMillis == null ? (int) StopCosts.DEFAULT.restoreMillis() : restoreMillis;
        Checks.range(restoreMillis, 0, MAX_STOP_MILLIS, "restoreMillis");
        checkpointSeconds = checkpointSeconds == null
                ? (double) StopCosts.DEFAULT.checkpointMillis() / MILLIS_PER_SECOND
                : checkpointSeconds;
        if (!(checkpointSeconds > 0 && checkpointSeconds <= MAX_CHECKPOINT_SECONDS))
        {
            throw new GaugehollowException(ResultCode.SETTINGS_RANGE,
                    "checkpointSeconds: must be above 0 and at most " + MAX_CHECKPOINT_SECONDS);
        }
    }

    /** @return what it costs to stop a run */
    public StopCosts stopCosts()
    {
        return new StopCosts(stopMillis, restoreMillis, (long) (checkpointSeconds * MILLIS_PER_SECOND));
    }

    /** @return processor capacity of the box in thousandths of a processor */
    public int processorMillis()
    {
        return (int) (processors * processorShare * MILLIS_PER_PROCESSOR);
    }

    private static void checkAddress(String text, String key)
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
