/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.gaugehollow.model.ConfigEntry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

/** The configuration on a box only ever moves on, whichever way changes reach it. */
class ConfigCacheTest
{
    private static ConfigEntry entry(String name, long revision, boolean deleted)
    {
        return new ConfigEntry(name, revision, deleted ? new byte[0] : new byte[]{(byte) revision}, deleted);
    }

    private static Map<String, Long> state(ConfigCache keeper)
    {
        Map<String, Long> state = new TreeMap<>();
        keeper.list("").forEach(e -> state.put(e.name(), e.revision()));
        return state;
    }

    /**
     * Two boxes take the store's changes in pieces, from the store or from each other, in any order. No
     * entry ever goes back, and in the end both have just what the store has.
     */
    @Property(tries = 300, seed = "31")
    void nothingRevertsAndAllAgreeInTheEnd(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 99) Integer> steps)
    {
        ConfigCache store = new ConfigCache();
        ConfigCache[] boxes = {new ConfigCache(), new ConfigCache()};
        long revision = 1;
        for (int step : steps)
        {
            if (step < 50)
            {
                revision++;
                ConfigEntry change = entry("workloads/w" + step % 5, revision, step % 7 == 0);
                store.apply(new ConfigDelta(revision, false, List.of(change)));
                if (step % 3 == 0)
                {
                    assertMonotone(boxes[step % 2], () -> boxes[step % 2].applyOwn(change));
                }
            }
            else
            {
                ConfigCache to = boxes[step % 2];
                ConfigCache from = step < 80 ? store : boxes[(step + 1) % 2];
                ConfigDelta delta = step % 5 == 0 ? from.since(0) : from.since(to.revision());
                assertMonotone(to, () -> to.apply(delta));
            }
        }
        for (ConfigCache box : boxes)
        {
            assertMonotone(box, () -> box.apply(store.since(box.revision())));
            assertThat(state(box)).isEqualTo(state(store));
        }
    }

    private static void assertMonotone(ConfigCache box, Runnable step)
    {
        Map<String, Long> before = state(box);
        long revision = box.revision();
        step.run();
        assertThat(box.revision()).isAtLeast(revision);
        state(box).forEach((name, now) -> assertThat(now).isAtLeast(before.getOrDefault(name, 0L)));
    }

    @Test
    void aWatcherIsToldWhenChangesItHasNotSeenAreGone() throws InterruptedException
    {
        ConfigCache keeper = new ConfigCache();
        keeper.apply(new ConfigDelta(1, true, List.of(entry("teams/a", 1, false))));
        long revision = 1;
        for (int i = 0; i < ConfigCache.HISTORY + 5; i++)
        {
            revision++;
            keeper.apply(new ConfigDelta(revision, false, List.of(entry("teams/a", revision, false))));
        }
        assertThat(keeper.awaitAfter(3, 0)).isEmpty();
        List<ConfigEntry> last = new ArrayList<>(keeper.awaitAfter(revision - 2, 0).orElseThrow());
        assertThat(last).hasSize(2);
        assertThat(keeper.since(3).full()).isTrue();
    }
}
