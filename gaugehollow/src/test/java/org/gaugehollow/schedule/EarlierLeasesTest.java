/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Tests how long leases of earlier owners may last, by what is known of the previous owner. */
class EarlierLeasesTest
{
    private static final String OWNER = "bole-1";
    private static final long FENCE = 7;
    private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(WorkerSession.LEASE_MILLIS);

    private final FakeOtherBoxes otherBoxes = new FakeOtherBoxes();

    private OptionalLong endNanos(long firstSeenNanos)
    {
        return new EarlierLeases(new ObservedTerm(FENCE, OWNER, firstSeenNanos), otherBoxes).endNanos();
    }

    private static long longAgo()
    {
        return SteadyClock.nanos() - EarlierLeases.MAX_NANOS;
    }

    @Test
    void leasesOfEndedOwnerExpireOneLeaseAfterItsEnd()
    {
        otherBoxes.end(OWNER);
        long endNanos = endNanos(longAgo()).orElseThrow() - otherBoxes.endNanos(OWNER).orElseThrow();
        assertThat(endNanos).isAtLeast(LEASE_NANOS);
        assertThat(endNanos).isLessThan(LEASE_NANOS + LEASE_NANOS / 10);
    }

    /** Guards against two runs of a task, because an owner that may run counts as ended. */
    @Test
    void nothingIsKnownOfAnOwnerThatMayRun()
    {
        otherBoxes.end("bole-2");
        assertThat(endNanos(longAgo())).isEqualTo(OptionalLong.empty());
    }

    /** Guards against two runs of a task, because the owner before the previous one may still run. */
    @Test
    void ownersBeforeThePreviousOneAreWaitedFor()
    {
        long firstSeenNanos = SteadyClock.nanos() - 1;
        otherBoxes.end(OWNER);
        assertThat(endNanos(firstSeenNanos))
                .isEqualTo(OptionalLong.of(firstSeenNanos + EarlierLeases.MAX_NANOS));
    }

    @Test
    void endBeforeTheTermWasSeenProvesNothing()
    {
        otherBoxes.end(OWNER);
        assertThat(endNanos(SteadyClock.nanos() + 1)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void nothingIsKnownOfAnUnknownOwner()
    {
        otherBoxes.end(ObservedTerm.NONE.box());
        assertThat(new EarlierLeases(ObservedTerm.NONE, otherBoxes).endNanos())
                .isEqualTo(OptionalLong.empty());
    }
}
