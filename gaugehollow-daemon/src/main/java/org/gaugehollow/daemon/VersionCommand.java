/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Optional;

import com.beust.jcommander.Parameters;

/** Prints the version. */
@Parameters(commandDescription = "show the version")
final class VersionCommand implements Command
{
    @Override
    public String name()
    {
        return "version";
    }

    @Override
    public String examples()
    {
        return "gaugehollow version";
    }

    @Override
    public ExitCode run(Console console)
    {
        String version = Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion())
                .orElse("development");
        console.printLine("gaugehollow " + version + ", Java " + Runtime.version());
        return ExitCode.OK;
    }
}
