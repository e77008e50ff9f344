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
 * Output of a command: results go to standard output, diagnostics to standard error.
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

    void printLine(String text)
    {
        out.println(text);
        out.flush();
    }

    void printJson(Object value)
    {
        printLine(new String(Json.write(value), StandardCharsets.UTF_8));
    }

    /** Prints JSON with indentation, or unchanged if it cannot be parsed. */
    void printPrettyJson(byte[] json)
    {
        try
        {
            Object tree = Json.mapper().readTree(new String(json, StandardCharsets.UTF_8));
            printLine(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(tree));
        }
        catch (JsonProcessingException e)
        {
            printLine(new String(json, StandardCharsets.UTF_8));
        }
    }

    void printDiagnostic(String text)
    {
        err.println(text);
        err.flush();
    }
}
