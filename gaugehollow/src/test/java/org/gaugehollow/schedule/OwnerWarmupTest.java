/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import org.gaugehollow.placement.WaitingFirstScore;
import org.junit.jupiter.api.Test;

/** Tests that the warm-up runs complete jobs, so that it covers the code that an owner needs. */
class OwnerWarmupTest
{
    @Test
    void everyRoundCompletesAllItsJobs()
    {
        OwnerWarmup warmup = new OwnerWarmup(null, null, new WaitingFirstScore(0.5));
        assertThat(warmup.runRound()).isEqualTo(12);
        assertThat(warmup.runRound()).isEqualTo(12);
    }
}
