/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

/** Subcommand of the command line. */
interface Command
{
    /** @return name of the subcommand on the command line */
    String name();

    /** @return usage examples, one per line */
    String examples();

    /**
     * Runs the command.
     *
     * @param console output for results and progress
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run(Console console) throws InterruptedException;
}
