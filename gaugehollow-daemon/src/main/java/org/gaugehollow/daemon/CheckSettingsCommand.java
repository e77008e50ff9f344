/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.file.Path;

import org.gaugehollow.box.JobBoxSettings;
import org.gaugehollow.settings.EntrySettings;
import org.gaugehollow.settings.SettingsReader;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Validates a settings file without starting a box. */
@Parameters(commandDescription = "validate a settings file without starting a box")
final class CheckSettingsCommand implements Command
{
    @Parameter(description = "FILE", required = true)
    private String file;
    @Parameter(names = "--jobs", description = "validate the file as settings of a job box")
    private boolean jobs;

    @Override
    public String name()
    {
        return "check-settings";
    }

    @Override
    public String examples()
    {
        return "gaugehollow check-settings bole-1.json\ngaugehollow check-settings --jobs bole-1.json";
    }

    @Override
    public ExitCode run(Console console)
    {
        if (jobs)
        {
            JobBoxSettings settings = SettingsReader.read(Path.of(file), JobBoxSettings.class);
            console.printLine("valid settings: box " + settings.box() + " of hall " + settings.hall());
            return ExitCode.OK;
        }
        EntrySettings settings = SettingsReader.read(Path.of(file), EntrySettings.class);
        console.printLine("valid settings: box " + settings.box() + " of hall " + settings.hall());
        return ExitCode.OK;
    }
}
