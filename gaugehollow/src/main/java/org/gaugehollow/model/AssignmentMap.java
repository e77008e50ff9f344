/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Who owns what in one data hall. It is one value in the platform's service, changed by
 * compare-and-swap only when membership changes.
 *
 * @param epoch rises with every change; the fencing token of an assignment is the epoch it was made
 *            in
 * @param boxes the entry boxes by id, in the order in which each one's successor follows it
 * @param workers the owner of each worker
 * @param slotOwners the box that owns each key slot
 */
public record AssignmentMap(long epoch, Map<String, Member> boxes, Map<String, Assignment> workers,
        List<Assignment> slotOwners)
{
    /**
     * A box of the map.
     *
     * @param id its id, unique to one run of the process
     * @param peerAddress where its peers reach it
     */
    public record Member(String id, String peerAddress)
    {
    }

    /**
     * The owner of a worker or of a key slot.
     *
     * @param box the owner
     * @param epoch the epoch since which it is the owner
     */
    public record Assignment(String box, long epoch)
    {
    }

    /** Copies the collections. */
    public AssignmentMap
    {
        boxes = new LinkedHashMap<>(boxes);
        workers = new TreeMap<>(workers);
        slotOwners = List.copyOf(slotOwners);
    }

    /**
     * The map of a hall with one box, which owns every key slot.
     *
     * @param first the box
     * @return the first map
     */
    public static AssignmentMap initial(Member first)
    {
        List<Assignment> owners = new ArrayList<>();
        for (int i = 0; i < KeySlots.COUNT; i++)
        {
            owners.add(new Assignment(first.id(), 1));
        }
        return new AssignmentMap(1, Map.of(first.id(), first), Map.of(), owners);
    }

    /**
     * @param box a box
     * @return the box that follows it and keeps the copies of its records, if there is another
     */
    public Optional<String> successorOf(String box)
    {
        List<String> ring = new ArrayList<>(boxes.keySet());
        int at = ring.indexOf(box);
        if (at < 0 || ring.size() < 2)
        {
            return Optional.empty();
        }
        return Optional.of(ring.get((at + 1) % ring.size()));
    }

    /**
     * @param box a box
     * @return the key slots it owns
     */
    public List<Integer> slotsOf(String box)
    {
        List<Integer> slots = new ArrayList<>();
        for (int i = 0; i < slotOwners.size(); i++)
        {
            if (slotOwners.get(i).box().equals(box))
            {
                slots.add(i);
            }
        }
        return slots;
    }

    /**
     * @param box a box
     * @return the workers it owns
     */
    public List<String> workersOf(String box)
    {
        return workers.entrySet().stream().filter(e -> e.getValue().box().equals(box)).map(Map.Entry::getKey)
                .toList();
    }

    /** @return how many boxes make a majority of this map */
    public int majority()
    {
        return boxes.size() / 2 + 1;
    }

    /** @return how many boxes meet every majority of this map in at least one box */
    public int takeoverQuorum()
    {
        return boxes.size() - majority() + 1;
    }
}
