/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

/**
 * A line of a watch.
 *
 * @param type PUT, DELETE, HEARTBEAT or ERROR
 * @param revision the revision or sequence number up to which changes were sent
 * @param resource the resource of PUT and DELETE; otherwise null
 * @param message the error message of ERROR; otherwise null
 */
record WatchLine(String type, long revision, ResourceView resource, String message)
{
}
