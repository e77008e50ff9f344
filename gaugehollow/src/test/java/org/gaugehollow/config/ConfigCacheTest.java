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

/** Tests that the cached configuration never reverts and that lagging watchers are detected. */
class ConfigCacheTest
{
    private static ConfigEntry entry(String name, long revision, boolean deleted)
    {
        return new ConfigEntry(name, revision, deleted ? new byte[0] : new byte[]{(byte) revision}, deleted);
    }

    private static Map<String, Long> state(ConfigCache cache)
    {
        Map<String, Long> state = new TreeMap<>();
        cache.list("").forEach(e -> state.put(e.name(), e.revision()));
        return state;
    }

    /**
     * Guards against entries that revert, or boxes that diverge, when changes arrive in any order from
     * the store and from peers.
     */
    @Property(tries = 300, seed = "31")
    void entriesNeverRevertAndAllBoxesConverge(
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
                ConfigCache target = boxes[step % 2];
                ConfigCache source = step < 80 ? store : boxes[(step + 1) % 2];
                ConfigDelta delta = step % 5 == 0 ? source.since(0) : source.since(target.revision());
                assertMonotone(target, () -> target.apply(delta));
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
    void watcherLearnsThatUnseenChangesWereEvicted() throws InterruptedException
    {
        ConfigCache cache = new ConfigCache();
        cache.apply(new ConfigDelta(1, true, List.of(entry("teams/a", 1, false))));
        long revision = 1;
        for (int i = 0; i < ConfigCache.HISTORY + 5; i++)
        {
            revision++;
            cache.apply(new ConfigDelta(revision, false, List.of(entry("teams/a", revision, false))));
        }
        assertThat(cache.awaitAfter(3, 0)).isEmpty();
        List<ConfigEntry> lastChanges = new ArrayList<>(cache.awaitAfter(revision - 2, 0).orElseThrow());
        assertThat(lastChanges).hasSize(2);
        assertThat(cache.since(3).full()).isTrue();
    }
}
