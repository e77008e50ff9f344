/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

/**
 * Tasks of one step that wait for the same reason.
 *
 * @param subject the full name of the step, or the id of the box if the whole cell waits
 * @param reason why the tasks wait
 * @param tasks the number of tasks
 * @param firstIndex the lowest index of these tasks in the step
 * @param sinceNanos the monotonic time from which the tasks are known to wait for the reason
 * @param details the state that explains the reason
 */
record WaitingGroup(String subject, WaitReason reason, int tasks, int firstIndex, long sinceNanos,
        String details)
{
    /** Returns this group with another task. */
    WaitingGroup withTask(int index, long taskSinceNanos)
    {
        return new WaitingGroup(subject, reason, tasks + 1, Math.min(firstIndex, index),
                Math.min(sinceNanos, taskSinceNanos), details);
    }

    /** Returns this group with another begin of the wait. */
    WaitingGroup since(long nanos)
    {
        return new WaitingGroup(subject, reason, tasks, firstIndex, nanos, details);
    }
}
