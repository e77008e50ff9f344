/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the command line, started by a test and ended by its id. */
final class TestProcess implements AutoCloseable
{
    private static final long END_SECONDS = 20;

    private final Process process;
    private final Path log;
    private final String ready;

    TestProcess(String name, Path directory, List<String> args)
    {
        try
        {
            log = directory.resolve(name + ".log");
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                    "-Xmx64m", "-Xss256k", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData",
                    "--enable-native-access=ALL-UNNAMED", "--sun-misc-unsafe-memory-access=allow", "-cp",
                    System.getProperty("java.class.path"), "org.gaugehollow.daemon.Main"));
            command.addAll(args);
            process = new ProcessBuilder(command).redirectError(log.toFile()).start();
            BufferedReader out = new BufferedReader(
                    new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            ready = out.readLine();
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
        if (ready == null)
        {
            throw new IllegalStateException(name + " did not start: " + logText());
        }
    }

    /** The part of the line that a process prints when it is ready. */
    String readyWord()
    {
        return ready.substring("ready ".length());
    }

    String logText()
    {
        try
        {
            return Files.readString(log);
        }
        catch (IOException e)
        {
            return "(no log: " + e + ")";
        }
    }

    boolean isAlive()
    {
        return process.isAlive();
    }

    /** SIGKILL. */
    void kill()
    {
        process.destroyForcibly();
        awaitEnd();
    }

    /** SIGTERM, without waiting. */
    void terminate()
    {
        process.destroy();
    }

    /** SIGSTOP: the process does not run until it is thawed. */
    void freeze()
    {
        signal("-STOP");
    }

    /** SIGCONT. */
    void thaw()
    {
        signal("-CONT");
    }

    private void signal(String signal)
    {
        try
        {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    void awaitEnd()
    {
        try
        {
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS))
            {
                throw new IllegalStateException("the process did not end: " + logText());
            }
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close()
    {
        process.destroyForcibly();
    }
}
