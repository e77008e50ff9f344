/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.List;

/** An open watch on the store. */
public interface StoreWatch extends AutoCloseable
{
    /**
     * Waits for changes.
     *
     * @param timeoutMillis timeout in milliseconds
     * @return the changes in order of revision; empty after a timeout
     * @throws InterruptedException if the thread is interrupted
     * @throws org.gaugehollow.model.GaugehollowException if the watch was lost; {@code WATCH_TOO_OLD}
     *             if the store has compacted the start revision
     */
    List<StoreChange> poll(int timeoutMillis) throws InterruptedException;

    @Override
    void close();
}
