/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

/**
 * Time limits of the connections between boxes.
 *
 * @param checkMillis interval in milliseconds at which a connection with pending calls is checked;
 *            if nothing was received within it, a keep-alive frame is sent
 * @param maxSilentChecks number of successive checks without received data after which a connection
 *            is closed as silent
 */
record PeerTiming(long checkMillis, int maxSilentChecks)
{
    /**
     * The check interval exceeds the time for which a cell's owner holds the probes of a small cell, so
     * that probes need no keep-alive frames. The silence limit exceeds the pauses of a busy box.
     */
    static final PeerTiming DEFAULT = new PeerTiming(500, 4);
}
