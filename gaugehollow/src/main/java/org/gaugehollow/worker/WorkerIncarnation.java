/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.worker;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One life of a worker, from its start to its end. A worker may start again under the same id; it
 * then knows nothing of the life before, and its end numbers and its clock begin anew.
 *
 * @param worker the worker's id
 * @param startedMillis when the life began, in Unix milliseconds, or {@link #START_UNKNOWN}
 */
public record WorkerIncarnation(String worker, long startedMillis)
{
    /** The worker does not tell when it started; its id then stands for one life alone. */
    public static final long START_UNKNOWN = -1;

    private static final char SEPARATOR = '@';
    private static final Pattern TEXT = Pattern.compile("(.*)" + SEPARATOR + "(\\d{1,18})");

    /**
     * @param worker the id of a worker that does not tell when it started
     * @return its only life
     */
    public static WorkerIncarnation withUnknownStart(String worker)
    {
        return new WorkerIncarnation(worker, START_UNKNOWN);
    }

    /**
     * @param text what {@link #text} returned
     * @return the life
     */
    public static WorkerIncarnation parse(String text)
    {
        Matcher matcher = TEXT.matcher(text);
        return matcher.matches()
                ? new WorkerIncarnation(matcher.group(1), Long.parseLong(matcher.group(2)))
                : withUnknownStart(text);
    }

    /** @return whether the worker tells when it started */
    public boolean hasStartTime()
    {
        return startedMillis != START_UNKNOWN;
    }

    /**
     * @return the life as one text, under which it is recorded and logged: {@code i-7f@1733212800000}
     */
    public String text()
    {
        return hasStartTime() ? worker + SEPARATOR + startedMillis : worker;
    }
}
