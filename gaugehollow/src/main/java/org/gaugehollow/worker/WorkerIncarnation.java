/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One process lifetime of a worker. A worker may restart under the same id; it then has no state of
 * its previous incarnation, and its run end numbers and its clock start anew.
 *
 * @param worker id of the worker
 * @param startedMillis start time in Unix milliseconds, or {@link #START_UNKNOWN}
 */
public record WorkerIncarnation(String worker, long startedMillis)
{
    /** The worker does not report its start time; its id identifies a single incarnation. */
    public static final long START_UNKNOWN = -1;

    private static final char SEPARATOR = '@';
    private static final Pattern TEXT = Pattern.compile("(.*)" + SEPARATOR + "(\\d{1,18})");

    /**
     * Returns the incarnation of a worker that does not report its start time.
     *
     * @param worker id of the worker
     * @return its only incarnation
     */
    public static WorkerIncarnation withUnknownStart(String worker)
    {
        return new WorkerIncarnation(worker, START_UNKNOWN);
    }

    /**
     * Parses the text form.
     *
     * @param text result of {@link #text}
     * @return the incarnation
     */
    public static WorkerIncarnation parse(String text)
    {
        Matcher matcher = TEXT.matcher(text);
        return matcher.matches()
                ? new WorkerIncarnation(matcher.group(1), Long.parseLong(matcher.group(2)))
                : withUnknownStart(text);
    }

    /** @return whether the start time is known */
    public boolean hasStartTime()
    {
        return startedMillis != START_UNKNOWN;
    }

    /** @return the text form used in records and logs, such as {@code i-7f@1733212800000} */
    public String text()
    {
        return hasStartTime() ? worker + SEPARATOR + startedMillis : worker;
    }
}
