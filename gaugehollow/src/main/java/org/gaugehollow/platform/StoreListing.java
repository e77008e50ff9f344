/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.List;

/**
 * All keys under a prefix at one revision.
 *
 * @param revision the store's revision at the time of the read
 * @param values the keys and values, in key order
 */
public record StoreListing(long revision, List<StoredValue> values)
{
}
