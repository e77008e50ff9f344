/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

/** What boxes tell each other of the store's last answer stays true however often it is told. */
class StoreEvidenceTest
{
    private static final long START = TimeUnit.DAYS.toNanos(1);
    private static final long PERIOD = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long WAY = TimeUnit.MICROSECONDS.toNanos(20_300);

    private final AtomicLong clock = new AtomicLong(START);
    private final StoreEvidence first = new StoreEvidence("bole-1~a", clock::get);
    private final StoreEvidence second = new StoreEvidence("bole-2~b", clock::get);

    private void tell(StoreEvidence from, StoreEvidence to)
    {
        StoreEvidence.Sighting sighting = from.newestSighting();
        clock.addAndGet(WAY);
        to.heard(sighting);
    }

    @Test
    void anAnswerToldToAndFroInALongOutageDoesNotGrowYounger()
    {
        first.answered();
        clock.addAndGet(PERIOD);
        second.answered();
        long lastAnswer = clock.get();
        for (int i = 0; i < 600; i++)
        {
            tell(first, second);
            tell(second, first);
            clock.addAndGet(PERIOD);
        }
        long slack = WAY + TimeUnit.MILLISECONDS.toNanos(1);
        assertThat(first.newestNanos() - lastAnswer).isAtMost(slack);
        assertThat(second.newestNanos() - lastAnswer).isAtMost(slack);
        assertThat(first.newestNanos()).isAtLeast(lastAnswer);
    }

    @Test
    void aNewerAnswerOfTheSameBoxIsTaken()
    {
        first.answered();
        tell(first, second);
        clock.addAndGet(PERIOD);
        first.answered();
        long newest = clock.get();
        tell(first, second);
        assertThat(second.newestNanos()).isAtLeast(newest);
    }

    @Test
    void anOlderAnswerThatArrivesLateChangesNothing()
    {
        first.answered();
        StoreEvidence.Sighting older = first.newestSighting();
        clock.addAndGet(PERIOD);
        first.answered();
        tell(first, second);
        long known = second.newestNanos();
        clock.addAndGet(PERIOD);
        second.heard(older);
        assertThat(second.newestNanos()).isEqualTo(known);
    }

    @Test
    void aBoxThatKnowsOfNoAnswerTellsNothing()
    {
        second.answered();
        long known = second.newestNanos();
        tell(first, second);
        assertThat(second.newestNanos()).isEqualTo(known);
        assertThat(first.newestSighting()).isEqualTo(StoreEvidence.Sighting.NONE);
    }
}
