/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BinaryOperator;

import org.gaugehollow.model.AssignmentMap;

/**
 * Computes the next assignment map of a data hall. Deterministic: the same input gives the same map
 * on every box.
 */
public final class MapPlanner
{
    private MapPlanner()
    {
    }

    /**
     * Computes the map after boxes or workers were added or removed. Assignments of remaining boxes are
     * kept; those of removed boxes are reassigned.
     *
     * @param map the current map
     * @param removed the boxes whose rights have certainly expired
     * @param joining the boxes to add
     * @param workers the workers that the map should contain
     * @return the next map, or the same instance if nothing changes
     */
    public static AssignmentMap afterMembershipChange(AssignmentMap map, Set<String> removed,
            Collection<AssignmentMap.Member> joining, Set<String> workers)
    {
        Map<String, AssignmentMap.Member> boxes = new LinkedHashMap<>(map.boxes());
        boxes.keySet().removeAll(removed);
        joining.forEach(box -> boxes.putIfAbsent(box.id(), box));
        if (boxes.isEmpty())
        {
            return map;
        }
        long epoch = map.epoch() + 1;
        List<AssignmentMap.Assignment> slots = reassignSlots(map, boxes.keySet(), epoch);
        Map<String, AssignmentMap.Assignment> assignments = reassignWorkers(map, boxes.keySet(), workers,
                epoch);
        boolean unchanged = boxes.equals(map.boxes()) && slots.equals(map.slotOwners())
                && assignments.equals(map.workers());
        return unchanged ? map : new AssignmentMap(epoch, boxes, assignments, slots);
    }

    /**
     * Computes the map after workers and key slots were transferred to other boxes.
     *
     * @param map the current map
     * @param newWorkerOwners the new owner by transferred worker
     * @param newSlotOwners the new owner by transferred slot
     * @return the next map
     */
    public static AssignmentMap afterTransfer(AssignmentMap map, Map<String, String> newWorkerOwners,
            Map<Integer, String> newSlotOwners)
    {
        long epoch = map.epoch() + 1;
        Map<String, AssignmentMap.Assignment> workers = new TreeMap<>(map.workers());
        newWorkerOwners
                .forEach((worker, box) -> workers.put(worker, new AssignmentMap.Assignment(box, epoch)));
        List<AssignmentMap.Assignment> slots = new ArrayList<>(map.slotOwners());
        newSlotOwners.forEach((slot, box) -> slots.set(slot, new AssignmentMap.Assignment(box, epoch)));
        return new AssignmentMap(epoch, map.boxes(), workers, slots);
    }

    /**
     * Computes the map without a box that has transferred all its assignments.
     *
     * @param map the current map
     * @param box the box to remove
     * @return the next map
     */
    public static AssignmentMap afterLeaving(AssignmentMap map, String box)
    {
        Map<String, AssignmentMap.Member> boxes = new LinkedHashMap<>(map.boxes());
        boxes.remove(box);
        return new AssignmentMap(map.epoch() + 1, boxes, map.workers(), map.slotOwners());
    }

    /**
     * Plans which items a box transfers to other boxes so that all own about the same number.
     *
     * @param <T> the type of the items, workers or slots
     * @param ownedCounts the number of items that each box owns, including the source
     * @param source the box to transfer from
     * @param transferAll whether all items are transferred because the source leaves
     * @param items the items of the source, in order of transfer
     * @return the target box by transferred item
     */
    public static <T> Map<T, String> planTransfers(Map<String, Integer> ownedCounts, String source,
            boolean transferAll, List<T> items)
    {
        Map<String, Integer> counts = new HashMap<>(ownedCounts);
        Map<T, String> targets = new LinkedHashMap<>();
        BinaryOperator<String> byCount = BinaryOperator
                .minBy(Comparator.<String>comparingInt(counts::get).thenComparing(Comparator.naturalOrder()));
        for (T item : items)
        {
            String leastLoaded = counts.keySet().stream().filter(b -> !b.equals(source)).reduce(byCount)
                    .orElse(null);
            if (leastLoaded == null || (!transferAll && counts.get(source) - counts.get(leastLoaded) < 2))
            {
                break;
            }
            targets.put(item, leastLoaded);
            counts.merge(source, -1, Integer::sum);
            counts.merge(leastLoaded, 1, Integer::sum);
        }
        return targets;
    }

    /**
     * Reassigns the slots of each removed box to its next remaining successor, which holds the replicas
     * of its records.
     */
    private static List<AssignmentMap.Assignment> reassignSlots(AssignmentMap map, Set<String> remaining,
            long epoch)
    {
        List<String> order = new ArrayList<>(map.boxes().keySet());
        List<AssignmentMap.Assignment> slots = new ArrayList<>(map.slotOwners());
        for (int i = 0; i < slots.size(); i++)
        {
            String owner = slots.get(i).box();
            if (!remaining.contains(owner))
            {
                slots.set(i, new AssignmentMap.Assignment(successorOf(order, owner, remaining), epoch));
            }
        }
        return slots;
    }

    private static String successorOf(List<String> order, String removed, Set<String> remaining)
    {
        int index = Math.max(0, order.indexOf(removed));
        for (int i = 1; i <= order.size(); i++)
        {
            String candidate = order.get((index + i) % order.size());
            if (remaining.contains(candidate))
            {
                return candidate;
            }
        }
        return remaining.iterator().next();
    }

    private static Map<String, AssignmentMap.Assignment> reassignWorkers(AssignmentMap map, Set<String> boxes,
            Set<String> workers, long epoch)
    {
        Map<String, Integer> counts = new TreeMap<>();
        boxes.forEach(box -> counts.put(box, 0));
        Map<String, AssignmentMap.Assignment> assignments = new TreeMap<>();
        for (String worker : new TreeSet<>(workers))
        {
            AssignmentMap.Assignment current = map.workers().get(worker);
            if (current != null && boxes.contains(current.box()))
            {
                assignments.put(worker, current);
                counts.merge(current.box(), 1, Integer::sum);
            }
        }
        for (String worker : new TreeSet<>(workers))
        {
            if (!assignments.containsKey(worker))
            {
                String leastLoaded = counts.entrySet().stream().min(Map.Entry.comparingByValue())
                        .orElseThrow().getKey();
                assignments.put(worker, new AssignmentMap.Assignment(leastLoaded, epoch));
                counts.merge(leastLoaded, 1, Integer::sum);
            }
        }
        return assignments;
    }
}
