/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import com.beust.jcommander.Parameter;

/** How results are shown. */
final class OutputOptions
{
    /** The forms of output. */
    enum Form
    {
        TEXT,
        JSON
    }

    @Parameter(names = "--output", description = "text for people, json for programs")
    private Form form = Form.TEXT;

    boolean json()
    {
        return form == Form.JSON;
    }
}
