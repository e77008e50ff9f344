/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import org.gaugehollow.entry.EntryBox;
import org.gaugehollow.settings.EntrySettings;
import org.gaugehollow.settings.SettingsReader;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Runs an entry box until SIGTERM or SIGINT starts a planned stop. */
@Parameters(commandDescription = "run an entry box")
final class EntryCommand implements Command
{
    @Parameter(names = "--settings", required = true, description = "settings file")
    private String settings;

    @Override
    public String name()
    {
        return "entry";
    }

    @Override
    public String examples()
    {
        return "gaugehollow entry --settings bole-1.json";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        EntryBox box = new EntryBox(SettingsReader.read(Path.of(settings), EntrySettings.class));
        console.printLine("ready " + box.id());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(box, stopped), "stop"));
        stopped.await();
        return ExitCode.OK;
    }

    private static void stop(EntryBox box, CountDownLatch stopped)
    {
        try
        {
            box.stop();
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        finally
        {
            stopped.countDown();
        }
    }
}
