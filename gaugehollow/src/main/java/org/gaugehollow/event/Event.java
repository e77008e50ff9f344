/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.event;

/**
 * One entry of the time line.
 *
 * @param time the hybrid logical time
 * @param process the process it happened in
 * @param number the event's number
 * @param name the event's name
 * @param subject what it is about: a task, a worker, a box, a resource
 * @param text details for people
 */
public record Event(long time, String process, int number, String name, String subject, String text)
{
}
