/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Guards against costs of a stop that are taken from another deployment. */
class StopCostsTest
{
    private static final StopCosts SLOW = new StopCosts(2_000, 3_000, 4_000);

    /** Guards against capacity that is reserved for a shorter time than the stop takes. */
    @Test
    void costsFollowTheStatedTimes()
    {
        assertThat(StopCosts.DEFAULT.reservationMillis()).isEqualTo(1_500);
        assertThat(StopCosts.DEFAULT.jobDelayMillis()).isEqualTo(2_000);
        assertThat(StopCosts.DEFAULT.moveMillis()).isEqualTo(500);
        assertThat(SLOW.reservationMillis()).isEqualTo(3_100);
        assertThat(SLOW.jobDelayMillis()).isEqualTo(6_000);
        assertThat(SLOW.moveMillis()).isEqualTo(2_100);
        assertThat(SLOW.startDelayMillis(false)).isEqualTo(2_000);
        assertThat(SLOW.startDelayMillis(true)).isEqualTo(5_000);
    }

    /** Guards against stopping a run that frees its capacity sooner by itself. */
    @Test
    void runThatEndsBeforeAStopIsRecognized()
    {
        assertThat(SLOW.endsBeforeStop(2_000)).isTrue();
        assertThat(SLOW.endsBeforeStop(2_001)).isFalse();
        assertThat(StopCosts.DEFAULT.endsBeforeStop(2_000)).isFalse();
    }

    /** Guards against counting work as lost that was never done, or that a stop saves. */
    @Property
    void noMoreIsLostThanWasRun(@ForAll @LongRange(min = 0, max = 100_000) long ran)
    {
        assertThat(SLOW.lostByStopMillis(ran, false)).isEqualTo(ran);
        assertThat(SLOW.lostByStopMillis(ran, true)).isAtMost(ran);
        assertThat(SLOW.lostWithoutStopMillis(ran, true)).isAtMost(ran);
        assertThat(SLOW.lostWithoutStopMillis(ran, true)).isAtLeast(SLOW.lostByStopMillis(ran, true));
    }
}
