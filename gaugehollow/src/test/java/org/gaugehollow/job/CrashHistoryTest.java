/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;

import org.gaugehollow.job.CrashHistory.Attribution;
import org.gaugehollow.job.CrashHistory.Crash;
import org.junit.jupiter.api.Test;

/** Guards against wrong attribution of worker crashes to a task. */
class CrashHistoryTest
{
    private final CrashHistory history = CrashHistory.NONE.with("w1", Attribution.AT_START)
            .with("w2", Attribution.UNPROVEN).with("w3", Attribution.LATER).with("w4", Attribution.AT_START);

    @Test
    void newAttributionReplacesPreviousOne()
    {
        CrashHistory newer = history.with("w2", Attribution.AT_START);
        assertThat(newer.crashes()).hasSize(4);
        assertThat(newer.count(Attribution.UNPROVEN)).isEqualTo(0);
        assertThat(newer.count(Attribution.AT_START)).isEqualTo(3);
    }

    @Test
    void explainingKeepsOnlyCrashesAtStart()
    {
        CrashHistory explained = history.withExplained(Set.of("w1", "w2", "w3"));
        assertThat(explained.crashes()).containsExactly(new Crash("w1", Attribution.EXPLAINED),
                new Crash("w4", Attribution.AT_START));
        assertThat(explained.withExplained(Set.of("w1"))).isEqualTo(explained);
    }

    @Test
    void provenContainsOnlyCrashesDuringARun()
    {
        assertThat(history.provenWorkers()).containsExactly("w1", "w3", "w4");
    }

    @Test
    void withoutUnprovenKeepsOtherAttributions()
    {
        assertThat(history.withoutUnproven("w2").crashes())
                .containsExactlyElementsIn(history.without("w2").crashes());
        for (String worker : List.of("w1", "w3", "w4", "w5"))
        {
            assertThat(history.withoutUnproven(worker)).isSameInstanceAs(history);
        }
    }

    @Test
    void withoutRemovesTheWorker()
    {
        assertThat(history.without("w2").crashes()).hasSize(3);
    }
}
