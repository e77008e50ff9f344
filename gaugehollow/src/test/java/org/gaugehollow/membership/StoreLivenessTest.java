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
class StoreLivenessTest
{
    private static final long START = TimeUnit.DAYS.toNanos(1);
    private static final long PERIOD = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long WAY = TimeUnit.MICROSECONDS.toNanos(20_300);

    private final AtomicLong clock = new AtomicLong(START);
    private final StoreLiveness first = new StoreLiveness("bole-1~a", clock::get);
    private final StoreLiveness second = new StoreLiveness("bole-2~b", clock::get);

    private void tell(StoreLiveness from, StoreLiveness to)
    {
        StoreLiveness.Contact sighting = from.lastContact();
        clock.addAndGet(WAY);
        to.merge(sighting);
    }

    @Test
    void anAnswerToldToAndFroInALongOutageDoesNotGrowYounger()
    {
        first.recordContact();
        clock.addAndGet(PERIOD);
        second.recordContact();
        long lastAnswer = clock.get();
        for (int i = 0; i < 600; i++)
        {
            tell(first, second);
            tell(second, first);
            clock.addAndGet(PERIOD);
        }
        long slack = WAY + TimeUnit.MILLISECONDS.toNanos(1);
        assertThat(first.lastContactNanos() - lastAnswer).isAtMost(slack);
        assertThat(second.lastContactNanos() - lastAnswer).isAtMost(slack);
        assertThat(first.lastContactNanos()).isAtLeast(lastAnswer);
    }

    @Test
    void aNewerAnswerOfTheSameBoxIsTaken()
    {
        first.recordContact();
        tell(first, second);
        clock.addAndGet(PERIOD);
        first.recordContact();
        long newest = clock.get();
        tell(first, second);
        assertThat(second.lastContactNanos()).isAtLeast(newest);
    }

    @Test
    void anOlderAnswerThatArrivesLateChangesNothing()
    {
        first.recordContact();
        StoreLiveness.Contact older = first.lastContact();
        clock.addAndGet(PERIOD);
        first.recordContact();
        tell(first, second);
        long known = second.lastContactNanos();
        clock.addAndGet(PERIOD);
        second.merge(older);
        assertThat(second.lastContactNanos()).isEqualTo(known);
    }

    @Test
    void aBoxThatKnowsOfNoAnswerTellsNothing()
    {
        second.recordContact();
        long known = second.lastContactNanos();
        tell(first, second);
        assertThat(second.lastContactNanos()).isEqualTo(known);
        assertThat(first.lastContact()).isEqualTo(StoreLiveness.Contact.NONE);
    }
}
