/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

/**
 * Limits of the key records of a box.
 *
 * @param retentionMillis the retention time of a record in milliseconds
 * @param maxSkewMillis the maximum difference between the clocks of callers and boxes in
 *            milliseconds
 * @param maxRecords the maximum number of records for the slots that a box owns
 */
public record KeyLimits(long retentionMillis, long maxSkewMillis, int maxRecords)
{
}
