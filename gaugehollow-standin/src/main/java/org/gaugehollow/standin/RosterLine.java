/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.Map;

/**
 * Registration of a worker with the platform stand-in.
 *
 * @param address IP address and port
 * @param labels labels in the roster
 * @param gone whether the worker is removed from the roster
 */
public record RosterLine(String address, Map<String, String> labels, boolean gone)
{
}
