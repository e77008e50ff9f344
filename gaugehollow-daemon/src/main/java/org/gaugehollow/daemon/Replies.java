/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpReply;

/** Calls a box and prints its reply. */
final class Replies
{
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int MIN_ERROR_STATUS = 400;

    private Replies()
    {
    }

    static HttpReply call(HttpCaller caller, String method, String path, byte[] body)
            throws InterruptedException
    {
        try
        {
            return caller.call(method, path, body, TIMEOUT_MILLIS);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.PEER_UNREACHABLE, e.getMessage(), e);
        }
    }

    static boolean isError(HttpReply reply)
    {
        return reply.status() >= MIN_ERROR_STATUS;
    }

    /** Prints a reply and returns the matching exit code. */
    static ExitCode print(Console console, HttpReply reply, boolean json)
    {
        if (isError(reply))
        {
            console.printDiagnostic(new String(reply.body(), StandardCharsets.UTF_8));
            return ExitCode.REFUSED;
        }
        if (json)
        {
            console.printLine(new String(reply.body(), StandardCharsets.UTF_8));
        }
        else
        {
            console.printPrettyJson(reply.body());
        }
        return ExitCode.OK;
    }
}
