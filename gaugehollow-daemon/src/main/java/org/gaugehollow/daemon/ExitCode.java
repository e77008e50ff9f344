/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

/** The exit codes of the command line; docs/ERRORS.md lists them. */
public enum ExitCode
{
    /** All went well. */
    OK(0),
    /** The other side refused, with a numbered code. */
    REFUSED(1),
    /** The command's words are wrong. */
    USAGE(2),
    /** A settings or resource file is wrong. */
    BAD_FILE(3),
    /** The other side cannot be reached. */
    UNREACHABLE(4),
    /** An address to listen on is taken. */
    ADDRESS_IN_USE(5),
    /** A fault inside the program. */
    FAULT(70);

    private final int number;

    ExitCode(int number)
    {
        this.number = number;
    }

    /** @return the process' exit status */
    public int number()
    {
        return number;
    }
}
