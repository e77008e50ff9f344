/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A resource as returned by the operator API.
 *
 * @param kind the plural name of the kind
 * @param name the name
 * @param revision the revision of the last change
 * @param writeId the id of the last write
 * @param spec the specification
 */
record ResourceView(String kind, String name, long revision, String writeId, JsonNode spec)
{
}
