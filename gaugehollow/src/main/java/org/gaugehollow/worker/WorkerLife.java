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
 * @param born when the life began, in Unix milliseconds, or {@link #NOT_TOLD}
 */
public record WorkerLife(String worker, long born)
{
    /** The worker does not tell when it started; its id then stands for one life alone. */
    public static final long NOT_TOLD = -1;

    private static final char SEPARATOR = '@';
    private static final Pattern TEXT = Pattern.compile("(.*)" + SEPARATOR + "(\\d{1,18})");

    /**
     * @param worker the id of a worker that does not tell when it started
     * @return its only life
     */
    public static WorkerLife only(String worker)
    {
        return new WorkerLife(worker, NOT_TOLD);
    }

    /**
     * @param text what {@link #text} returned
     * @return the life
     */
    public static WorkerLife parse(String text)
    {
        Matcher matcher = TEXT.matcher(text);
        return matcher.matches()
                ? new WorkerLife(matcher.group(1), Long.parseLong(matcher.group(2)))
                : only(text);
    }

    /** @return whether the worker tells when it started */
    public boolean tellsBirth()
    {
        return born != NOT_TOLD;
    }

    /**
     * @return the life as one text, under which it is recorded and logged: {@code i-7f@1733212800000}
     */
    public String text()
    {
        return tellsBirth() ? worker + SEPARATOR + born : worker;
    }
}
