/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;

import org.gaugehollow.membership.MapPlanner;
import org.gaugehollow.model.HallMap;
import org.gaugehollow.model.HallMap.MapBox;
import org.gaugehollow.peer.generated.PeerProtocol.CopyCall;
import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;
import org.gaugehollow.peer.generated.PeerProtocol.SlotEvidence;
import org.junit.jupiter.api.Test;

/** When a copy of another box's records counts as complete. */
class ReplicaTableTest
{
    private final ReplicaTable replicas = new ReplicaTable("b");
    private final HallMap one = HallMap.first(box("a"));
    private final HallMap two = join(one, "b");

    private static MapBox box(String id)
    {
        return new MapBox(id, "127.0.0.1:1000");
    }

    private static HallMap join(HallMap map, String box)
    {
        return MapPlanner.afterMembership(map, Set.of(), List.of(box(box)), Set.of());
    }

    private static HallMap remove(HallMap map, String box)
    {
        return MapPlanner.afterMembership(map, Set.of(box), List.of(), Set.of());
    }

    private static CopyCall full(String owner)
    {
        return CopyCall.newBuilder().setOwner(owner).addFull(SlotEvidence.newBuilder().setSlot(0)).build();
    }

    private static CopyCall record(String owner)
    {
        return CopyCall.newBuilder().setOwner(owner).addRecords(KeyRecord.newBuilder().setSlot(0).setState(1))
                .build();
    }

    private boolean complete(HallMap after, String owner)
    {
        return replicas.evidenceOf(0, owner, true, after.epoch()).isPresent();
    }

    @Test
    void copiesOfTheBoxThatThisOneSucceedsAreComplete()
    {
        replicas.follow(two);
        assertThat(replicas.take(record("a"))).isFalse();
        assertThat(replicas.take(full("a"))).isTrue();
        assertThat(replicas.take(record("a"))).isTrue();
        HallMap after = remove(two, "a");
        replicas.follow(after);
        assertThat(complete(after, "a")).isTrue();
    }

    @Test
    void aBoxThatIsNotTheSuccessorKeepsNoCopies()
    {
        HallMap three = join(two, "c");
        replicas.follow(three);
        assertThat(replicas.take(full("b"))).isFalse();
        assertThat(replicas.take(full("c"))).isFalse();
    }

    @Test
    void copiesAreDroppedWhenAnotherBoxComesBetween()
    {
        ReplicaTable first = new ReplicaTable("a");
        first.follow(two);
        assertThat(first.take(full("b"))).isTrue();
        HallMap three = join(two, "c");
        first.follow(three);
        HallMap without = remove(remove(three, "c"), "b");
        first.follow(remove(three, "c"));
        first.follow(without);
        assertThat(first.evidenceOf(0, "b", true, without.epoch())).isEmpty();
    }

    @Test
    void copiesAreDoubtfulWhenAMapWasMissed()
    {
        replicas.follow(two);
        assertThat(replicas.take(full("a"))).isTrue();
        HallMap skipped = join(two, "c");
        HallMap after = remove(skipped, "a");
        replicas.follow(after);
        assertThat(complete(after, "a")).isFalse();
    }

    @Test
    void aHandOverCountsOnlyForTheChangeItWasMadeFor()
    {
        replicas.follow(two);
        CopyCall handOver = full("a").toBuilder().setHandOver(true).setMapEpoch(two.epoch()).build();
        assertThat(replicas.take(handOver)).isTrue();
        assertThat(replicas.evidenceOf(0, "a", false, two.epoch() + 1)).isPresent();
        assertThat(replicas.take(handOver)).isTrue();
        assertThat(replicas.evidenceOf(0, "a", false, two.epoch() + 2)).isEmpty();
    }
}
