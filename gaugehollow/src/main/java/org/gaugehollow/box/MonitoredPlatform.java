/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.function.BooleanSupplier;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.schedule.CellPlatform;
import org.gaugehollow.worker.AdvicePort;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerPort;

/** Delegates to a platform, with its store replaced by a monitored one. */
final class MonitoredPlatform implements CellPlatform
{
    private final CellPlatform platform;
    private final MonitoredStore store;

    MonitoredPlatform(CellPlatform platform, MonitoredStore store)
    {
        this.platform = platform;
        this.store = store;
    }

    @Override
    public PlatformStore store()
    {
        return store;
    }

    @Override
    public String configKey()
    {
        return platform.configKey();
    }

    @Override
    public CellConfig readConfig(byte[] value)
    {
        return platform.readConfig(value);
    }

    @Override
    public String workerPrefix()
    {
        return platform.workerPrefix();
    }

    @Override
    public WorkerEntry readWorker(String key, byte[] value)
    {
        return platform.readWorker(key, value);
    }

    @Override
    public String workerId(String key)
    {
        return platform.workerId(key);
    }

    @Override
    public WorkerPort openWorker(WorkerEntry worker, BooleanSupplier maySendCommands)
    {
        return platform.openWorker(worker, maySendCommands);
    }

    @Override
    public AdvicePort advice()
    {
        return platform.advice();
    }
}
