/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

/**
 * A line of a watch on resources.
 *
 * @param type PUT, DELETE, HEARTBEAT or ERROR
 * @param revision the revision up to which everything was shown
 * @param resource the resource, where there is one
 * @param message what went wrong, on ERROR
 */
record WatchLine(String type, long revision, ResourceView resource, String message)
{
}
