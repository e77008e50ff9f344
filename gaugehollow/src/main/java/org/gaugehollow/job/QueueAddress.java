/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Locale;

/**
 * Where callers reach a queue.
 *
 * @param host the host, in lower case
 * @param pathPrefix the prefix of the path
 */
public record QueueAddress(String host, String pathPrefix)
{
    /** Converts the host to lower case. */
    public QueueAddress
    {
        host = host.toLowerCase(Locale.ROOT);
    }
}
