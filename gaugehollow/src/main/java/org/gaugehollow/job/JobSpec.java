/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.List;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/**
 * Specification of a job, as submitted by a caller.
 *
 * @param spec text passed to every task, may be empty
 * @param steps the steps, in order
 * @param repeatCount number of repetitions, 0 for a single immediate run
 * @param startAtMillis start time of the first repetition, in milliseconds since 1970
 * @param intervalMillis interval between the starts of repetitions, in milliseconds
 */
public record JobSpec(String spec, List<StepSpec> steps, int repeatCount, long startAtMillis,
        long intervalMillis)
{
    private static final int MAX_STEPS = 256;
    private static final int MAX_TASKS_PER_STEP = 10_000;
    private static final int MAX_REPETITIONS = 10_000;

    /** Validates the components. */
    public JobSpec
    {
        // stored records leave empty texts out
        spec = spec == null ? "" : spec;
        check(steps != null && !steps.isEmpty() && steps.size() <= MAX_STEPS, "steps: expected 1 to 256");
        steps = List.copyOf(steps);
        check(repeatCount >= 0 && repeatCount <= MAX_REPETITIONS, "repeat count: expected 0 to 10000");
        checkSteps(steps);
    }

    private static void checkSteps(List<StepSpec> steps)
    {
        for (int i = 0; i < steps.size(); i++)
        {
            StepSpec step = steps.get(i);
            check(step.count() >= 1 && step.count() <= MAX_TASKS_PER_STEP,
                    "steps: expected 1 to 10000 tasks");
            check(step.cpu() >= 0 && step.memoryMib() >= 0 && step.accelerators() >= 0,
                    "steps: cpu, memory and accelerators must not be negative");
            for (int earlier : step.dependsOn())
            {
                check(earlier >= 0 && earlier < i, "steps: a step may depend on earlier steps only");
            }
        }
    }

    private static void check(boolean condition, String message)
    {
        if (!condition)
        {
            throw new GaugehollowException(ResultCode.BAD_REQUEST, message);
        }
    }

    /** @return the number of times that the steps run, at least 1 */
    public int rounds()
    {
        return Math.max(1, repeatCount);
    }

    /** @return whether the job has due times or runs until it is cancelled, and so has no objective */
    public boolean hasOpenEnd()
    {
        return repeatCount > 0 || steps.stream().anyMatch(StepSpec::longRunning);
    }
}
