/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;

import org.gaugehollow.membership.MapPlanner;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.AssignmentMap.Member;
import org.gaugehollow.peer.generated.PeerProtocol.CopyCall;
import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;
import org.gaugehollow.peer.generated.PeerProtocol.SlotEvidence;
import org.junit.jupiter.api.Test;

/** Guards against treating an incomplete replica as complete. */
class ReplicaTableTest
{
    private final ReplicaTable replicas = new ReplicaTable("b");
    private final AssignmentMap one = AssignmentMap.initial(box("a"));
    private final AssignmentMap two = join(one, "b");

    private static Member box(String id)
    {
        return new Member(id, "127.0.0.1:1000");
    }

    private static AssignmentMap join(AssignmentMap map, String box)
    {
        return MapPlanner.afterMembershipChange(map, Set.of(), List.of(box(box)), Set.of());
    }

    private static AssignmentMap remove(AssignmentMap map, String box)
    {
        return MapPlanner.afterMembershipChange(map, Set.of(box), List.of(), Set.of());
    }

    private static CopyCall fullCopy(String owner)
    {
        return CopyCall.newBuilder().setOwner(owner).addFull(SlotEvidence.newBuilder().setSlot(0)).build();
    }

    private static CopyCall recordCopy(String owner)
    {
        return CopyCall.newBuilder().setOwner(owner).addRecords(KeyRecord.newBuilder().setSlot(0).setState(1))
                .build();
    }

    private boolean isComplete(AssignmentMap after, String owner)
    {
        return replicas.takeComplete(0, owner, true, after.epoch()).isPresent();
    }

    @Test
    void replicasKeptBySuccessorAreComplete()
    {
        replicas.applyMap(two);
        assertThat(replicas.applyCopy(recordCopy("a"))).isFalse();
        assertThat(replicas.applyCopy(fullCopy("a"))).isTrue();
        assertThat(replicas.applyCopy(recordCopy("a"))).isTrue();
        AssignmentMap after = remove(two, "a");
        replicas.applyMap(after);
        assertThat(isComplete(after, "a")).isTrue();
    }

    @Test
    void boxThatIsNotTheSuccessorKeepsNoReplicas()
    {
        AssignmentMap three = join(two, "c");
        replicas.applyMap(three);
        assertThat(replicas.applyCopy(fullCopy("b"))).isFalse();
        assertThat(replicas.applyCopy(fullCopy("c"))).isFalse();
    }

    @Test
    void replicasAreDroppedWhenTheSuccessorChanges()
    {
        ReplicaTable first = new ReplicaTable("a");
        first.applyMap(two);
        assertThat(first.applyCopy(fullCopy("b"))).isTrue();
        AssignmentMap three = join(two, "c");
        first.applyMap(three);
        AssignmentMap without = remove(remove(three, "c"), "b");
        first.applyMap(remove(three, "c"));
        first.applyMap(without);
        assertThat(first.takeComplete(0, "b", true, without.epoch())).isEmpty();
    }

    @Test
    void replicasAreIncompleteWhenAMapWasMissed()
    {
        replicas.applyMap(two);
        assertThat(replicas.applyCopy(fullCopy("a"))).isTrue();
        AssignmentMap skipped = join(two, "c");
        AssignmentMap after = remove(skipped, "a");
        replicas.applyMap(after);
        assertThat(isComplete(after, "a")).isFalse();
    }

    @Test
    void handOverCountsOnlyForItsOwnMapChange()
    {
        replicas.applyMap(two);
        CopyCall handOver = fullCopy("a").toBuilder().setHandOver(true).setMapEpoch(two.epoch()).build();
        assertThat(replicas.applyCopy(handOver)).isTrue();
        assertThat(replicas.takeComplete(0, "a", false, two.epoch() + 1)).isPresent();
        assertThat(replicas.applyCopy(handOver)).isTrue();
        assertThat(replicas.takeComplete(0, "a", false, two.epoch() + 2)).isEmpty();
    }
}
