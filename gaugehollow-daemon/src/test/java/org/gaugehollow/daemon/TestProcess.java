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

/** Process of the command line that a test starts. */
final class TestProcess implements AutoCloseable
{
    private static final long EXIT_TIMEOUT_SECONDS = 20;

    private final Process process;
    private final Path log;
    private final String readyLine;

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
            readyLine = out.readLine();
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
        if (readyLine == null)
        {
            throw new IllegalStateException(name + " did not start: " + logText());
        }
    }

    /** Returns the value that the process printed after "ready": its address or box id. */
    String readyValue()
    {
        return readyLine.substring("ready ".length());
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

    /** Sends SIGKILL and waits for the process to exit. */
    void kill()
    {
        process.destroyForcibly();
        awaitExit();
    }

    /** Sends SIGTERM without waiting for the process to exit. */
    void terminate()
    {
        process.destroy();
    }

    /** Sends SIGSTOP, which suspends the process. */
    void freeze()
    {
        signal("-STOP");
    }

    /** Sends SIGCONT, which resumes a suspended process. */
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

    void awaitExit()
    {
        try
        {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
            {
                throw new IllegalStateException("the process did not exit: " + logText());
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
