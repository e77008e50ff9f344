/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.List;

import org.gaugehollow.model.Worker;

/** The platform's list of live and leaving workers. The list may lag behind the actual state. */
public interface WorkerRoster
{
    /**
     * Reads the list.
     *
     * @return the listed workers of all data halls
     * @throws InterruptedException if the thread is interrupted
     * @throws org.gaugehollow.model.GaugehollowException with {@code STORE_UNAVAILABLE} if the list
     *             cannot be read
     */
    List<Worker> read() throws InterruptedException;
}
