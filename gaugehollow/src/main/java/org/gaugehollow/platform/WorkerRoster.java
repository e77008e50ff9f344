/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.List;

import org.gaugehollow.model.Worker;

/** The platform's lagging list of live and leaving workers. */
public interface WorkerRoster
{
    /**
     * Reads the list.
     *
     * @return the workers that it names, of all halls
     * @throws InterruptedException if the process stops
     * @throws org.gaugehollow.model.GaugehollowException with {@code STORE_UNAVAILABLE} if it cannot be
     *             read
     */
    List<Worker> read() throws InterruptedException;
}
