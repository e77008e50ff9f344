/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

/**
 * How long and how much is remembered of keys.
 *
 * @param recordMillis how long a record is kept
 * @param skewMillis how far callers' clocks may be from the boxes'
 * @param maxRecords how many records a box keeps of its own slots
 */
public record KeyLimits(long recordMillis, long skewMillis, int maxRecords)
{
}
