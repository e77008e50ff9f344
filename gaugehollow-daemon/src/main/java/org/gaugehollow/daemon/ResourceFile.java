/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.gaugehollow.model.Checks;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResourceKind;
import org.gaugehollow.model.ResultCode;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Resource as written in a file.
 *
 * @param kind plural name of the kind, such as {@code workloads}
 * @param name resource name
 * @param spec resource content
 */
record ResourceFile(String kind, String name, JsonNode spec)
{
    ResourceFile
    {
        Checks.name(name, "name");
        Checks.present(spec, "spec");
        if (ResourceKind.ofPlural(kind).isEmpty())
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID,
                    "kind: expected workloads, policies, comparisons or teams");
        }
    }

    String path()
    {
        return "/v1/" + kind + '/' + name;
    }

    /** Reads a file that holds one resource or an array of resources. */
    static List<ResourceFile> readAll(Path file)
    {
        byte[] bytes;
        try
        {
            bytes = Files.readAllBytes(file);
        }
        catch (IOException e)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_UNREADABLE, "cannot read " + file, e);
        }
        JsonNode tree = Json.read(bytes, JsonNode.class, ResultCode.SETTINGS_UNREADABLE);
        if (tree.isArray())
        {
            return List.of(Json.read(bytes, ResourceFile[].class, ResultCode.RESOURCE_INVALID));
        }
        return List.of(Json.read(bytes, ResourceFile.class, ResultCode.RESOURCE_INVALID));
    }
}
