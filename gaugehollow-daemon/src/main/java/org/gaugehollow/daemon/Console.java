/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.Json;

import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * Where a command shows its results, on standard output, and everything else, on standard error.
 */
final class Console
{
    private final PrintStream out;
    private final PrintStream err;

    Console(PrintStream out, PrintStream err)
    {
        this.out = out;
        this.err = err;
    }

    void line(String text)
    {
        out.println(text);
        out.flush();
    }

    void json(Object value)
    {
        line(new String(Json.write(value), StandardCharsets.UTF_8));
    }

    /** Shows JSON laid out for people. */
    void pretty(byte[] json)
    {
        try
        {
            Object tree = Json.mapper().readTree(new String(json, StandardCharsets.UTF_8));
            line(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(tree));
        }
        catch (JsonProcessingException e)
        {
            line(new String(json, StandardCharsets.UTF_8));
        }
    }

    void note(String text)
    {
        err.println(text);
        err.flush();
    }
}
