/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import org.gaugehollow.placement.WaitingFirstScore;
import org.junit.jupiter.api.Test;

/** The rehearsal goes through whole jobs, so that it uses the code that an owner needs. */
class OwnerWarmupTest
{
    @Test
    void eachRoundBringsAllItsJobsToTheirEnd()
    {
        OwnerWarmup rehearsal = new OwnerWarmup(null, null, new WaitingFirstScore(0.5));
        assertThat(rehearsal.playRound()).isEqualTo(12);
        assertThat(rehearsal.playRound()).isEqualTo(12);
    }
}
