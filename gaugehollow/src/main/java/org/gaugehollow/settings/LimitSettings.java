/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.Checks;

/**
 * Request limits of one box.
 *
 * @param waiting maximum number of waiting requests
 * @param waitingPerClass maximum number of waiting requests per task class
 * @param batchPercent maximum percentage of slots used by batch requests
 * @param retryPercent maximum number of retries per hundred requests
 * @param records maximum number of key records
 */
public record LimitSettings(int waiting, int waitingPerClass, int batchPercent, int retryPercent, int records)
{
    private static final int MAX_VALUE = 10_000_000;

    /** Checks all values and sets defaults for omitted ones. */
    public LimitSettings
    {
        waiting = waiting == 0 ? 2_000 : waiting;
        waitingPerClass = waitingPerClass == 0 ? 1_000 : waitingPerClass;
        batchPercent = batchPercent == 0 ? 85 : batchPercent;
        retryPercent = retryPercent == 0 ? 20 : retryPercent;
        records = records == 0 ? 100_000 : records;
        Checks.range(waiting, 1, MAX_VALUE, "limits.waiting");
        Checks.range(waitingPerClass, 1, MAX_VALUE, "limits.waitingPerClass");
        Checks.range(batchPercent, 1, 100, "limits.batchPercent");
        Checks.range(retryPercent, 1, 100, "limits.retryPercent");
        Checks.range(records, 1, MAX_VALUE, "limits.records");
    }

    /** @return default limits */
    public static LimitSettings defaults()
    {
        return new LimitSettings(0, 0, 0, 0, 0);
    }
}
