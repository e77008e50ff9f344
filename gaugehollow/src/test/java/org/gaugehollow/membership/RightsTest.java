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

/** Guards against a box using its assignments after its rights expired. */
class RightsTest
{
    private static final long LEASE_MILLIS = 4_000;
    private static final long CONFIRMATION_MILLIS = 1_000;
    private final AtomicLong clock = new AtomicLong(Long.MAX_VALUE - 1_000_000);
    private final Rights rights = new Rights(LEASE_MILLIS, CONFIRMATION_MILLIS, clock::get);

    private void advanceMillis(long millis)
    {
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void renewalCountsFromItsSendTime()
    {
        long sentAt = clock.get();
        advanceMillis(1_500);
        rights.renew(sentAt);
        advanceMillis(LEASE_MILLIS - 1_501);
        assertThat(rights.isValid()).isTrue();
        advanceMillis(1);
        assertThat(rights.isValid()).isFalse();
    }

    @Test
    void majorityOfFreshConfirmationsExtendsRights()
    {
        rights.renew(clock.get());
        advanceMillis(LEASE_MILLIS);
        assertThat(rights.isValid()).isFalse();
        rights.extendByQuorum(List.of(clock.get(), clock.get() - TimeUnit.MILLISECONDS.toNanos(400)), 2);
        assertThat(rights.isFrozen()).isTrue();
        advanceMillis(599);
        assertThat(rights.isValid()).isTrue();
        advanceMillis(1);
        assertThat(rights.isValid()).isFalse();
    }

    @Test
    void tooFewOrStaleConfirmationsExtendNothing()
    {
        rights.renew(clock.get());
        advanceMillis(LEASE_MILLIS);
        rights.extendByQuorum(List.of(clock.get()), 2);
        rights.extendByQuorum(
                List.of(clock.get(), clock.get() - TimeUnit.MILLISECONDS.toNanos(CONFIRMATION_MILLIS)), 2);
        assertThat(rights.isValid()).isFalse();
    }

    @Test
    void storeContactAfterLeaseExpiryDoesNotConfirm()
    {
        long renewedAt = clock.get();
        rights.renew(renewedAt);
        long expiresAt = renewedAt + TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS);
        assertThat(rights.isConfirmedBy(expiresAt)).isTrue();
        assertThat(rights.isConfirmedBy(expiresAt + 1)).isFalse();
    }

    @Test
    void suspendedAndRevokedRightsNeedNewConfirmation()
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
