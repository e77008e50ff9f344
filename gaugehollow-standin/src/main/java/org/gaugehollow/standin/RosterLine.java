/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.standin;

import java.util.Map;

/**
 * A worker as the platform's stand-in is told of it.
 *
 * @param address IP number and port
 * @param labels the labels of the list
 * @param gone whether it is to vanish from the list
 */
public record RosterLine(String address, Map<String, String> labels, boolean gone)
{
}
