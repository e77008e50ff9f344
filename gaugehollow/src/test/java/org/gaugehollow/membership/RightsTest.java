/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

/** When a box may use what is its own. */
class RightsTest
{
    private static final long LEASE = 4_000;
    private static final long WITNESS = 1_000;
    private final AtomicLong clock = new AtomicLong(Long.MAX_VALUE - 1_000_000);
    private final Rights rights = new Rights(LEASE, WITNESS, clock::get);

    private void pass(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void aRenewalCountsFromWhenItWasSent()
    {
        long sentAt = clock.get();
        pass(1_500);
        rights.renew(sentAt);
        pass(LEASE - 1_501);
        assertThat(rights.isValid()).isTrue();
        pass(1);
        assertThat(rights.isValid()).isFalse();
    }

    @Test
    void aMajorityOfFreshVouchersExtendsTheRight()
    {
        rights.renew(clock.get());
        pass(LEASE);
        assertThat(rights.isValid()).isFalse();
        rights.extendByQuorum(List.of(clock.get(), clock.get() - TimeUnit.MILLISECONDS.toNanos(400)), 2);
        assertThat(rights.isFrozen()).isTrue();
        pass(599);
        assertThat(rights.isValid()).isTrue();
        pass(1);
        assertThat(rights.isValid()).isFalse();
    }

    @Test
    void tooFewOrStaleVouchersExtendNothing()
    {
        rights.renew(clock.get());
        pass(LEASE);
        rights.extendByQuorum(List.of(clock.get()), 2);
        rights.extendByQuorum(List.of(clock.get(), clock.get() - TimeUnit.MILLISECONDS.toNanos(WITNESS)), 2);
        assertThat(rights.isValid()).isFalse();
    }

    @Test
    void aWordOfAStoreThatAnsweredAfterTheLeaseCouldLapseDoesNotVouch()
    {
        long renewedAt = clock.get();
        rights.renew(renewedAt);
        long lapses = renewedAt + TimeUnit.MILLISECONDS.toNanos(LEASE);
        assertThat(rights.isConfirmedBy(lapses)).isTrue();
        assertThat(rights.isConfirmedBy(lapses + 1)).isFalse();
    }

    @Test
    void afterAPauseNothingCountsUntilItIsConfirmedAnew()
    {
        rights.renew(clock.get());
        rights.suspend();
        assertThat(rights.isValid()).isFalse();
        rights.extendByQuorum(List.of(clock.get(), clock.get()), 2);
        assertThat(rights.isValid()).isTrue();
        rights.revoke();
        rights.extendByQuorum(List.of(clock.get(), clock.get()), 2);
        assertThat(rights.isValid()).isFalse();
        assertThat(rights.isConfirmedBy(0)).isFalse();
    }
}
