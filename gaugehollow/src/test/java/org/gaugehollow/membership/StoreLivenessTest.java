/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

/**
 * Guards against store contacts that appear newer than they are after being passed between boxes.
 */
class StoreLivenessTest
{
    private static final long START = TimeUnit.DAYS.toNanos(1);
    private static final long PERIOD = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DELAY = TimeUnit.MICROSECONDS.toNanos(20_300);

    private final AtomicLong clock = new AtomicLong(START);
    private final StoreLiveness first = new StoreLiveness("bole-1~a", clock::get);
    private final StoreLiveness second = new StoreLiveness("bole-2~b", clock::get);

    private void propagate(StoreLiveness from, StoreLiveness to)
    {
        StoreLiveness.Contact contact = from.lastContact();
        clock.addAndGet(DELAY);
        to.merge(contact);
    }

    @Test
    void repeatedlyPropagatedContactDoesNotGetNewer()
    {
        first.recordContact();
        clock.addAndGet(PERIOD);
        second.recordContact();
        long lastAnswer = clock.get();
        for (int i = 0; i < 600; i++)
        {
            propagate(first, second);
            propagate(second, first);
            clock.addAndGet(PERIOD);
        }
        long slack = DELAY + TimeUnit.MILLISECONDS.toNanos(1);
        assertThat(first.lastContactNanos() - lastAnswer).isAtMost(slack);
        assertThat(second.lastContactNanos() - lastAnswer).isAtMost(slack);
        assertThat(first.lastContactNanos()).isAtLeast(lastAnswer);
    }

    @Test
    void newerContactOfTheSameBoxReplacesTheOlder()
    {
        first.recordContact();
        propagate(first, second);
        clock.addAndGet(PERIOD);
        first.recordContact();
        long newest = clock.get();
        propagate(first, second);
        assertThat(second.lastContactNanos()).isAtLeast(newest);
    }

    @Test
    void lateOlderContactChangesNothing()
    {
        first.recordContact();
        StoreLiveness.Contact older = first.lastContact();
        clock.addAndGet(PERIOD);
        first.recordContact();
        propagate(first, second);
        long known = second.lastContactNanos();
        clock.addAndGet(PERIOD);
        second.merge(older);
        assertThat(second.lastContactNanos()).isEqualTo(known);
    }

    @Test
    void boxWithoutContactChangesNothing()
    {
        second.recordContact();
        long known = second.lastContactNanos();
        propagate(first, second);
        assertThat(second.lastContactNanos()).isEqualTo(known);
        assertThat(first.lastContact()).isEqualTo(StoreLiveness.Contact.NONE);
    }
}
