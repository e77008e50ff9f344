/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * Full name of a task: job, repetition, step and index, joined by dots.
 *
 * @param job the id of the job
 * @param round the repetition, counted from 0
 * @param step the step, counted from 0
 * @param index the task within its step, counted from 0
 */
record TaskName(String job, int round, int step, int index)
{
    private static final int PART_COUNT = 4;

    /** Parses a full name; returns null if the text is not one. */
    static TaskName parse(String text)
    {
        String[] parts = text.split("\\.");
        if (parts.length != PART_COUNT)
        {
            return null;
        }
        try
        {
            return new TaskName(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]),
                    Integer.parseInt(parts[3]));
        }
        catch (NumberFormatException e)
        {
            return null;
        }
    }

    static String stepName(String job, int round, int step)
    {
        return job + '.' + round + '.' + step;
    }
}
