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

/** Works out the next map of a hall. Pure: the same input gives the same map on every box. */
public final class MapPlanner
{
    private MapPlanner()
    {
    }

    /**
     * The map after boxes and workers came and went. What a removed box owned goes to others; what a
     * remaining box owns stays with it.
     *
     * @param map the map in force
     * @param removed boxes whose rights have surely ended
     * @param joining boxes to add
     * @param workers the workers that the hall should have
     * @return the next map, or the same object where nothing changes
     */
    public static AssignmentMap afterMembership(AssignmentMap map, Set<String> removed,
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
        List<AssignmentMap.Assignment> slots = slotsAfter(map, boxes.keySet(), epoch);
        Map<String, AssignmentMap.Assignment> assigned = workersAfter(map, boxes.keySet(), workers, epoch);
        boolean same = boxes.equals(map.boxes()) && slots.equals(map.slotOwners())
                && assigned.equals(map.workers());
        return same ? map : new AssignmentMap(epoch, boxes, assigned, slots);
    }

    /**
     * The map after one box gave workers and key slots away.
     *
     * @param map the map in force
     * @param workersTo the new owner of each worker given
     * @param slotsTo the new owner of each slot given
     * @return the next map
     */
    public static AssignmentMap afterTransfer(AssignmentMap map, Map<String, String> workersTo,
            Map<Integer, String> slotsTo)
    {
        long epoch = map.epoch() + 1;
        Map<String, AssignmentMap.Assignment> workers = new TreeMap<>(map.workers());
        workersTo.forEach((worker, box) -> workers.put(worker, new AssignmentMap.Assignment(box, epoch)));
        List<AssignmentMap.Assignment> slots = new ArrayList<>(map.slotOwners());
        slotsTo.forEach((slot, box) -> slots.set(slot, new AssignmentMap.Assignment(box, epoch)));
        return new AssignmentMap(epoch, map.boxes(), workers, slots);
    }

    /**
     * The map without a box that gave everything away.
     *
     * @param map the map in force
     * @param box the box that leaves
     * @return the next map
     */
    public static AssignmentMap afterLeaving(AssignmentMap map, String box)
    {
        Map<String, AssignmentMap.Member> boxes = new LinkedHashMap<>(map.boxes());
        boxes.remove(box);
        return new AssignmentMap(map.epoch() + 1, boxes, map.workers(), map.slotOwners());
    }

    /**
     * What a box should give to others so that all have about the same.
     *
     * @param <T> workers or slots
     * @param owned how much each box owns now, this one included
     * @param giver the box that gives
     * @param all whether it gives everything, because it leaves
     * @param own what it owns, in the order in which it gives
     * @return the receiver of each
     */
    public static <T> Map<T, String> surplus(Map<String, Integer> owned, String giver, boolean all,
            List<T> own)
    {
        Map<String, Integer> counts = new HashMap<>(owned);
        Map<T, String> gifts = new LinkedHashMap<>();
        BinaryOperator<String> poorer = BinaryOperator
                .minBy(Comparator.<String>comparingInt(counts::get).thenComparing(Comparator.naturalOrder()));
        for (T each : own)
        {
            String poorest = counts.keySet().stream().filter(b -> !b.equals(giver)).reduce(poorer)
                    .orElse(null);
            if (poorest == null || (!all && counts.get(giver) - counts.get(poorest) < 2))
            {
                break;
            }
            gifts.put(each, poorest);
            counts.merge(giver, -1, Integer::sum);
            counts.merge(poorest, 1, Integer::sum);
        }
        return gifts;
    }

    /**
     * A removed box's slots go to the first remaining box after it, which keeps the copies of its
     * records.
     */
    private static List<AssignmentMap.Assignment> slotsAfter(AssignmentMap map, Set<String> remaining,
            long epoch)
    {
        List<String> ring = new ArrayList<>(map.boxes().keySet());
        List<AssignmentMap.Assignment> slots = new ArrayList<>(map.slotOwners());
        for (int i = 0; i < slots.size(); i++)
        {
            String owner = slots.get(i).box();
            if (!remaining.contains(owner))
            {
                slots.set(i, new AssignmentMap.Assignment(heirOf(ring, owner, remaining), epoch));
            }
        }
        return slots;
    }

    private static String heirOf(List<String> ring, String gone, Set<String> remaining)
    {
        int at = Math.max(0, ring.indexOf(gone));
        for (int i = 1; i <= ring.size(); i++)
        {
            String next = ring.get((at + i) % ring.size());
            if (remaining.contains(next))
            {
                return next;
            }
        }
        return remaining.iterator().next();
    }

    private static Map<String, AssignmentMap.Assignment> workersAfter(AssignmentMap map, Set<String> boxes,
            Set<String> workers, long epoch)
    {
        Map<String, Integer> counts = new TreeMap<>();
        boxes.forEach(box -> counts.put(box, 0));
        Map<String, AssignmentMap.Assignment> kept = new TreeMap<>();
        for (String worker : new TreeSet<>(workers))
        {
            AssignmentMap.Assignment held = map.workers().get(worker);
            if (held != null && boxes.contains(held.box()))
            {
                kept.put(worker, held);
                counts.merge(held.box(), 1, Integer::sum);
            }
        }
        for (String worker : new TreeSet<>(workers))
        {
            if (!kept.containsKey(worker))
            {
                String poorest = counts.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow()
                        .getKey();
                kept.put(worker, new AssignmentMap.Assignment(poorest, epoch));
                counts.merge(poorest, 1, Integer::sum);
            }
        }
        return kept;
    }
}
