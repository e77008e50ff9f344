/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import com.beust.jcommander.Parameter;

/** Options for the output format. */
final class OutputOptions
{
    /** Output formats. */
    enum Format
    {
        TEXT,
        JSON
    }

    @Parameter(names = "--output", description = "text for people, json for programs")
    private Format format = Format.TEXT;

    boolean isJson()
    {
        return format == Format.JSON;
    }
}
