/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.Checks;

/**
 * The limits of requests on one box.
 *
 * @param waiting how many requests may wait in all
 * @param waitingPerClass how many requests of one class may wait
 * @param batchPercent the share of slots that batch may hold
 * @param retryPercent how many tries after "not run" there may be for a hundred requests
 * @param records how many key records are kept at most
 */
public record LimitSettings(int waiting, int waitingPerClass, int batchPercent, int retryPercent, int records)
{
    private static final int MOST = 10_000_000;

    /** Checks every key and fills in what may be left out. */
    public LimitSettings
    {
        waiting = waiting == 0 ? 2_000 : waiting;
        waitingPerClass = waitingPerClass == 0 ? 1_000 : waitingPerClass;
        batchPercent = batchPercent == 0 ? 85 : batchPercent;
        retryPercent = retryPercent == 0 ? 20 : retryPercent;
        records = records == 0 ? 100_000 : records;
        Checks.range(waiting, 1, MOST, "limits.waiting");
        Checks.range(waitingPerClass, 1, MOST, "limits.waitingPerClass");
        Checks.range(batchPercent, 1, 100, "limits.batchPercent");
        Checks.range(retryPercent, 1, 100, "limits.retryPercent");
        Checks.range(records, 1, MOST, "limits.records");
    }

    /** @return the limits that apply where the settings say nothing */
    public static LimitSettings defaults()
    {
        return new LimitSettings(0, 0, 0, 0, 0);
    }
}
