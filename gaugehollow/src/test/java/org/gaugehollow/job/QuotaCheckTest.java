/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.junit.jupiter.api.Test;

/** Guards against acceptance of jobs that can never run within the quota. */
class QuotaCheckTest
{
    private static final Customer NORTH = new Customer("north", 1,
            new ComputeResources(Customer.NO_LIMIT, 10_000, Customer.NO_LIMIT, 2));

    private static JobSpec job(int count, int cpu, int accelerators, boolean gang)
    {
        StepSpec step = new StepSpec(count, cpu, 1, accelerators, 1, List.of(), false, gang, false, null,
                null, 0, false, false, null, 0, false, 0);
        return new JobSpec("text", List.of(step), 0, 0, 0);
    }

    private static void assertRejected(JobSpec job)
    {
        assertThat(assertThrows(GaugehollowException.class, () -> QuotaCheck.check(job, NORTH)).code())
                .isEqualTo(ResultCode.QUOTA_TOO_SMALL);
    }

    @Test
    void taskOrGangOverQuotaIsRejected()
    {
        assertRejected(job(1, 10_001, 0, false));
        assertRejected(job(1, 1, 3, false));
        assertRejected(job(5, 2_001, 0, true));
    }

    @Test
    void gangWhoseTotalOverflowsIntIsRejected()
    {
        assertRejected(job(10_000, 1 << 20, 0, true));
    }

    /** The tasks of a step that is no gang may run one after another. */
    @Test
    void wideStepWithinQuotaPerTaskIsAccepted()
    {
        assertDoesNotThrow(() -> QuotaCheck.check(job(500, 2_001, 1, false), NORTH));
        assertDoesNotThrow(() -> QuotaCheck.check(job(5, 2_000, 0, true), NORTH));
    }
}
