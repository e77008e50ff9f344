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
     * @param timeoutMillis how long to wait
     * @return the changes in the order of their revisions; empty after the time
     * @throws InterruptedException if the process stops
     * @throws org.gaugehollow.model.GaugehollowException if the watch ended; {@code WATCH_TOO_OLD}
     *             where the store no longer holds the starting revision
     */
    List<StoreChange> poll(int timeoutMillis) throws InterruptedException;

    @Override
    void close();
}
