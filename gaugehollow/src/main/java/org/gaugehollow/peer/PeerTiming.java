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
 * @param linkIdleMillis time without traffic in milliseconds after which the calling side closes a
 *            connection without pending calls
 * @param serverIdleMillis time without received data in milliseconds after which the called side
 *            closes a connection without calls in progress; greater than {@code linkIdleMillis}, so
 *            that the calling side closes first and no call is sent on a connection that is being
 *            closed
 * @param writeMillis time in milliseconds after which the called side closes a connection that does
 *            not take a reply
 */
record PeerTiming(long checkMillis, int maxSilentChecks, long linkIdleMillis, long serverIdleMillis,
        long writeMillis)
{
    /**
     * The check interval exceeds the time for which a cell's owner holds the probes of a small cell, so
     * that probes need no keep-alive frames. The silence limit exceeds the pauses of a busy box.
     */
    static final PeerTiming DEFAULT = new PeerTiming(500, 4, 30_000, 60_000, 10_000);
}
