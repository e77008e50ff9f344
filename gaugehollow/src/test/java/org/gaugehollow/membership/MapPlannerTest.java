/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.AssignmentMap.Member;
import org.gaugehollow.model.KeySlots;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against slots or workers without exactly one owner and against unnecessary moves. */
class MapPlannerTest
{
    @Property(tries = 300, seed = "815")
    void membershipChangesKeepOneOwnerAndMoveOnlyWhatTheyMust(
            @ForAll @Size(max = 40) List<@IntRange(max = 23) Integer> steps)
    {
        AssignmentMap map = AssignmentMap.initial(box(0));
        Set<String> workers = new TreeSet<>();
        for (int step : steps)
        {
            Set<String> removed = new HashSet<>();
            List<Member> joining = List.of();
            if (step < 8)
            {
                joining = List.of(box(step));
            }
            else if (step < 16)
            {
                removed.add("b" + (step - 8));
            }
            else
            {
                toggle(workers, "w" + (step - 16));
            }
            AssignmentMap next = MapPlanner.afterMembershipChange(map, removed, joining, workers);
            assertCompleteAndStable(map, next, workers);
            map = next;
        }
    }

    private static void assertCompleteAndStable(AssignmentMap map, AssignmentMap next, Set<String> workers)
    {
        assertThat(next.boxes()).isNotEmpty();
        assertThat(next.slotOwners()).hasSize(KeySlots.COUNT);
        next.slotOwners().forEach(owner -> assertThat(next.boxes()).containsKey(owner.box()));
        if (next != map)
        {
            assertThat(next.epoch()).isEqualTo(map.epoch() + 1);
            assertThat(next.workers().keySet()).isEqualTo(workers);
        }
        next.workers().forEach((worker, owner) ->
        {
            assertThat(next.boxes()).containsKey(owner.box());
            AssignmentMap.Assignment before = map.workers().get(worker);
            if (before != null && next.boxes().containsKey(before.box()))
            {
                assertThat(owner).isEqualTo(before);
            }
        });
        for (int slot = 0; slot < KeySlots.COUNT; slot++)
        {
            String before = map.slotOwners().get(slot).box();
            if (!next.boxes().containsKey(before) && map.boxes().size() > 1)
            {
                assertThat(next.slotOwners().get(slot).epoch()).isEqualTo(next.epoch());
            }
        }
    }

    @Property(tries = 200, seed = "816")
    void transfersBalanceTheBoxes(@ForAll @IntRange(min = 2, max = 8) int boxes,
            @ForAll @IntRange(max = 60) int owned)
    {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < boxes; i++)
        {
            counts.put("b" + i, 0);
        }
        counts.put("b0", owned);
        List<Integer> slots = IntStream.range(0, owned).boxed().toList();
        Map<Integer, String> targets = MapPlanner.planTransfers(counts, "b0", false, slots);
        targets.forEach((slot, box) ->
        {
            counts.merge("b0", -1, Integer::sum);
            counts.merge(box, 1, Integer::sum);
        });
        int highest = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        int lowest = counts.values().stream().mapToInt(Integer::intValue).min().orElse(0);
        assertThat(highest - lowest).isAtMost(1);
    }

    @Property(tries = 50, seed = "817")
    void majorityAndTakeoverQuorumAlwaysOverlap(@ForAll @IntRange(min = 1, max = 9) int boxes)
    {
        AssignmentMap map = AssignmentMap.initial(box(0));
        for (int i = 1; i < boxes; i++)
        {
            map = MapPlanner.afterMembershipChange(map, Set.of(), List.of(box(i)), Set.of());
        }
        assertThat(map.majority() + map.takeoverQuorum()).isEqualTo(boxes + 1);
    }

    private static void toggle(Set<String> workers, String worker)
    {
        if (!workers.remove(worker))
        {
            workers.add(worker);
        }
    }

    private static Member box(int number)
    {
        return new Member("b" + number, "127.0.0.1:" + (1_000 + number));
    }
}
