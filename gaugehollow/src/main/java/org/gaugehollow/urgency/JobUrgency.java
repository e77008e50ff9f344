/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

/**
 * What decides the place of a job among the others of its customer. All values follow from stored
 * facts and the current time, so each owner of the cell derives the same order.
 *
 * @param outlook whether the job can still be in time
 * @param priority priority of its queue; 0 is the most urgent
 * @param slackMillis delay that the job can take and still meet its objective, in milliseconds
 * @param begun whether a task of it is on a worker or done
 * @param sequence order of acceptance, oldest first
 */
public record JobUrgency(Outlook outlook, int priority, long slackMillis, boolean begun, long sequence)
{
}
