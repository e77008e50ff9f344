/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

/** One subcommand of the command line. */
interface Command
{
    /** @return the word it is called by */
    String name();

    /** @return examples of its use, one a line */
    String examples();

    /**
     * Does the work.
     *
     * @param console where results and progress are shown
     * @return the exit code
     * @throws InterruptedException if the process stops
     */
    ExitCode run(Console console) throws InterruptedException;
}
