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
 * Owners of the workers and key slots of one data hall. The map is stored as one value in the
 * platform's key-value service and is changed by compare-and-swap when membership changes.
 *
 * @param epoch version of the map, increased with every change; an assignment's fencing token is
 *            the epoch in which it was made
 * @param boxes entry boxes by id; each box is followed by its successor
 * @param workers owner of each worker, by worker id
 * @param slotOwners owner of each key slot, by slot number
 */
public record AssignmentMap(long epoch, Map<String, Member> boxes, Map<String, Assignment> workers,
        List<Assignment> slotOwners)
{
    /**
     * A box of the map.
     *
     * @param id id of the box, unique to one run of its process
     * @param peerAddress address on which peers reach the box
     */
    public record Member(String id, String peerAddress)
    {
    }

    /**
     * The owner of a worker or of a key slot.
     *
     * @param box id of the owning box
     * @param epoch epoch in which the assignment was made
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
     * Creates the map of a data hall with one box, which owns every key slot.
     *
     * @param box the first box of the data hall
     * @return the initial map
     */
    public static AssignmentMap initial(Member box)
    {
        List<Assignment> owners = new ArrayList<>();
        for (int i = 0; i < KeySlots.COUNT; i++)
        {
            owners.add(new Assignment(box.id(), 1));
        }
        return new AssignmentMap(1, Map.of(box.id(), box), Map.of(), owners);
    }

    /**
     * @param box id of a box
     * @return id of the next box, which keeps the replicas of its key records; empty if there is no
     *         other box
     */
    public Optional<String> successorOf(String box)
    {
        List<String> boxIds = new ArrayList<>(boxes.keySet());
        int index = boxIds.indexOf(box);
        if (index < 0 || boxIds.size() < 2)
        {
            return Optional.empty();
        }
        return Optional.of(boxIds.get((index + 1) % boxIds.size()));
    }

    /**
     * @param box id of a box
     * @return numbers of the key slots that the box owns
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
     * @param box id of a box
     * @return ids of the workers that the box owns
     */
    public List<String> workersOf(String box)
    {
        return workers.entrySet().stream().filter(entry -> entry.getValue().box().equals(box))
                .map(Map.Entry::getKey).toList();
    }

    /** @return number of boxes that form a majority */
    public int majority()
    {
        return boxes.size() / 2 + 1;
    }

    /** @return smallest number of boxes that intersects every majority */
    public int takeoverQuorum()
    {
        return boxes.size() - majority() + 1;
    }
}
