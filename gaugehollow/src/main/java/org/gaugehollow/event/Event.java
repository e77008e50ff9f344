/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

/**
 * An event of a process.
 *
 * @param time hybrid logical time
 * @param process name of the process that recorded it
 * @param number number of the event type
 * @param name name of the event type
 * @param subject id of the task, worker, box or resource concerned
 * @param text human-readable details
 */
public record Event(long time, String process, int number, String name, String subject, String text)
{
}
