/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.function.BooleanSupplier;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.worker.AdvicePort;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerPort;

/**
 * Platform services that a box needs. Implementations translate between formats and make no
 * scheduling decisions.
 */
public interface CellPlatform
{
    /** @return the platform's store */
    PlatformStore store();

    /** @return the store's key of the cell's configuration */
    String configKey();

    /**
     * Parses the configuration.
     *
     * @param value value of {@link #configKey}
     * @return the configuration
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if the value is not a valid configuration
     */
    CellConfig readConfig(byte[] value);

    /** @return prefix of the store's keys that list the workers */
    String workerPrefix();

    /**
     * Parses a worker's entry.
     *
     * @param key key with the prefix {@link #workerPrefix}
     * @param value value of the key
     * @return the worker's entry
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if the value does not describe a usable
     *             worker
     */
    WorkerEntry readWorker(String key, byte[] value);

    /**
     * Returns the id of the worker that a key lists.
     *
     * @param key key with the prefix {@link #workerPrefix}
     * @return id of the worker
     */
    String workerId(String key);

    /**
     * Opens connections to a worker.
     *
     * @param worker the worker's entry
     * @param maySendCommands returns whether commands may be sent; called on an event loop before each
     *            write, so it must not block
     * @return connections to that incarnation of the worker
     */
    WorkerPort openWorker(WorkerEntry worker, BooleanSupplier maySendCommands);

    /** @return this box's connection to the advice service */
    AdvicePort advice();
}
