/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.util.concurrent.TimeUnit;

/**
 * Time limits of a server connection.
 *
 * @param idleMillis maximum time from the end of a response to the end of the next request, in
 *            milliseconds
 * @param stalledWriteMillis maximum time for which the client may take no data of a pending
 *            response, in milliseconds
 */
record HttpServerTimeouts(long idleMillis, long stalledWriteMillis)
{
    static final HttpServerTimeouts DEFAULT = new HttpServerTimeouts(TimeUnit.SECONDS.toMillis(75),
            TimeUnit.SECONDS.toMillis(10));
}
