/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

/** Exit codes of the command line, listed in docs/ERRORS.md. */
public enum ExitCode
{
    /** The command succeeded. */
    OK(0),
    /** The box rejected the request with a numbered code. */
    REFUSED(1),
    /** The command line is invalid. */
    USAGE(2),
    /** A settings or resource file is invalid. */
    BAD_FILE(3),
    /** The box cannot be reached. */
    UNREACHABLE(4),
    /** A listen address is already in use. */
    ADDRESS_IN_USE(5),
    /** Internal error. */
    FAULT(70);

    private final int number;

    ExitCode(int number)
    {
        this.number = number;
    }

    /** @return exit status of the process */
    public int number()
    {
        return number;
    }
}
