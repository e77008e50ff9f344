/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A resource as the operators' API shows it.
 *
 * @param kind the kind's plural
 * @param name its name
 * @param revision the revision to change it from
 * @param writeId the id of the write that made this version
 * @param spec its content
 */
record ResourceView(String kind, String name, long revision, String writeId, JsonNode spec)
{
}
