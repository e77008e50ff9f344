/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.KeySlots;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against running a request twice under the same idempotency key. */
class KeyTableTest
{
    private static final long NOW = 1_000_000;
    private final AtomicLong wall = new AtomicLong(NOW);
    private final KeyTable table = new KeyTable(new KeyLimits(60_000, 200, 5), wall::get);

    private void ownAllSlots(long completeSince)
    {
        for (int slot = 0; slot < KeySlots.COUNT; slot++)
        {
            table.addSlot(slot, new KeySlot(slot, completeSince));
        }
    }

    private ResultCode refusal(String key, long issuedAt)
    {
        return assertThrows(GaugehollowException.class,
                () -> table.register("t", key, "goal", issuedAt, "task")).code();
    }

    @Test
    void onlyFirstRegistrationRuns()
    {
        ownAllSlots(0);
        KeyTable.Registration first = table.register("t", "k", "goal", NOW, "task-1");
        KeyTable.Registration second = table.register("t", "k", "goal", NOW, "task-2");
        assertThat(first.first()).isTrue();
        assertThat(second.first()).isFalse();
        assertThat(second.entry()).isSameInstanceAs(first.entry());
        assertThat(table.register("other", "k", "goal", NOW, "task-3").first()).isTrue();
    }

    @Test
    void requestThatWasNotRunMayRunLater()
    {
        ownAllSlots(0);
        KeyTable.Registration first = table.register("t", "k", "goal", NOW, "task-1");
        table.recordNotRun(first.entry(), Answer.getDefaultInstance());
        assertThat(table.register("t", "k", "goal", NOW, "task-2").first()).isTrue();
        assertThat(table.recordCount()).isEqualTo(1);
    }

    @Test
    void keyForAnotherWorkloadIsAConflict()
    {
        ownAllSlots(0);
        assertThat(table.register("t", "k", "goal", NOW, "task-1").first()).isTrue();
        assertThat(assertThrows(GaugehollowException.class,
                () -> table.register("t", "k", "booking", NOW, "task-2")).code())
                .isEqualTo(ResultCode.KEY_CONFLICT);
    }

    @Test
    void incompleteSlotRunsOnlyKeysIssuedLater()
    {
        ownAllSlots(NOW);
        assertThat(refusal("old", NOW - 1)).isEqualTo(ResultCode.EVIDENCE_LOST);
        assertThat(refusal("same-time", NOW + 150)).isEqualTo(ResultCode.EVIDENCE_LOST);
        assertThat(refusal("no-time", 0)).isEqualTo(ResultCode.EVIDENCE_LOST);
        wall.set(NOW + 1_000);
        assertThat(table.register("t", "new", "goal", NOW + 900, "task").first()).isTrue();
    }

    @Test
    void keyOlderThanTheRetentionIsRefused()
    {
        ownAllSlots(0);
        assertThat(table.register("t", "k", "goal", NOW, "task-1").first()).isTrue();
        table.recordAnswer(table.register("t", "k", "goal", NOW, "x").entry(), Answer.getDefaultInstance());
        wall.addAndGet(60_001);
        table.evictExpired();
        assertThat(table.recordCount()).isEqualTo(0);
        assertThat(refusal("k", NOW)).isEqualTo(ResultCode.EVIDENCE_LOST);
    }

    @Test
    void futureKeyAndFullTableAreRefused()
    {
        ownAllSlots(0);
        assertThat(refusal("k", NOW + 201)).isEqualTo(ResultCode.BAD_REQUEST);
        for (int i = 0; i < 5; i++)
        {
            assertThat(table.register("t", "k" + i, "goal", NOW, "task").first()).isTrue();
        }
        assertThat(refusal("k5", NOW)).isEqualTo(ResultCode.QUEUE_FULL);
    }

    @Test
    void movingSlotRefusesNewKeysButKnowsExistingOnes()
    {
        ownAllSlots(0);
        assertThat(table.register("t", "k", "goal", NOW, "task-1").first()).isTrue();
        table.setMoving(table.ownedSlots(), true);
        assertThat(table.register("t", "k", "goal", NOW, "task-2").first()).isFalse();
        assertThat(refusal("k2", NOW)).isEqualTo(ResultCode.KEY_MOVING);
    }

    /** Guards against a replica that differs from the owner's slot after any interleaving of runs. */
    @Property(tries = 200, seed = "99")
    void replicaMatchesTheOwner(@ForAll @Size(max = 60) List<@IntRange(max = 29) Integer> steps)
    {
        KeySlot owner = new KeySlot(3, 0);
        KeySlot replica = KeySlot.fromMessage(owner.toMessage());
        Map<String, KeyEntry> running = new HashMap<>();
        int task = 0;
        for (int step : steps)
        {
            String key = "k" + step % 10;
            KeyEntry entry = running.get(key);
            if (entry == null)
            {
                task++;
                KeyEntry created = new KeyEntry("t", key, "goal", "task-" + task, 3, NOW);
                if (owner.entries().putIfAbsent(created.name(), created) == null)
                {
                    running.put(key, created);
                    replica.apply(created.intendedRecord());
                }
            }
            else if (step < 20)
            {
                entry.answer().complete(Answer.newBuilder().setTask(entry.task()).build());
                running.remove(key);
                replica.apply(entry.endedRecord());
            }
            else
            {
                owner.entries().remove(entry.name());
                running.remove(key);
                replica.apply(entry.notRunRecord());
            }
        }
        assertThat(new ArrayList<>(replica.toMessage().getRecordsList()))
                .containsExactlyElementsIn(owner.toMessage().getRecordsList());
    }
}
