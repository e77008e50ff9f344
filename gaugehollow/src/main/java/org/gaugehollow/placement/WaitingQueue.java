/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.gaugehollow.model.TaskClass;

/**
 * Tasks that wait for room. A more urgent class goes first; within a class the teams share by
 * weight, and within a team the earliest deadline goes first. Not thread-safe: its engine guards
 * it.
 */
final class WaitingQueue
{
    /** The waiting tasks of one team in one class, and how much of its share the team has had. */
    private static final class TeamLine
    {
        private final TreeSet<Waiter> waiters = new TreeSet<>(Waiter::byDeadline);
        private double served;
    }

    private final Map<TaskClass, Map<String, TeamLine>> lines = new EnumMap<>(TaskClass.class);
    private final Map<TaskClass, Double> served = new EnumMap<>(TaskClass.class);
    private int size;

    void add(Waiter waiter)
    {
        TaskDemand demand = waiter.demand();
        Map<String, TeamLine> teams = lines.computeIfAbsent(demand.taskClass(), c -> new HashMap<>());
        TeamLine line = teams.get(demand.team());
        if (line == null)
        {
            line = new TeamLine();
            line.served = served.getOrDefault(demand.taskClass(), 0.0);
            teams.put(demand.team(), line);
        }
        if (line.waiters.add(waiter))
        {
            size++;
        }
    }

    boolean remove(Waiter waiter)
    {
        Map<String, TeamLine> teams = lines.getOrDefault(waiter.demand().taskClass(), Map.of());
        TeamLine line = teams.get(waiter.demand().team());
        if (line == null || !line.waiters.remove(waiter))
        {
            return false;
        }
        size--;
        if (line.waiters.isEmpty())
        {
            teams.remove(waiter.demand().team());
        }
        return true;
    }

    /** Takes a waiter out because it is placed, and charges its team's share. */
    void removeServed(Waiter waiter)
    {
        TaskDemand demand = waiter.demand();
        TeamLine line = lines.get(demand.taskClass()).get(demand.team());
        line.served += 1.0 / demand.teamWeight();
        served.merge(demand.taskClass(), line.served, Math::max);
        remove(waiter);
    }

    int size()
    {
        return size;
    }

    int size(TaskClass taskClass)
    {
        return lines.getOrDefault(taskClass, Map.of()).values().stream().mapToInt(l -> l.waiters.size())
                .sum();
    }

    /** How many tasks of this class and of more urgent ones wait. */
    int sizeUpTo(TaskClass taskClass)
    {
        int sum = 0;
        for (TaskClass each : TaskClass.values())
        {
            sum += each.ordinal() <= taskClass.ordinal() ? size(each) : 0;
        }
        return sum;
    }

    /** @return the heads of the teams' lines in the order in which they are to be served */
    List<Waiter> heads()
    {
        List<Waiter> heads = new ArrayList<>();
        for (TaskClass taskClass : TaskClass.values())
        {
            lines.getOrDefault(taskClass, Map.of()).values().stream()
                    .sorted(Comparator.<TeamLine>comparingDouble(l -> l.served)
                            .thenComparing(l -> l.waiters.first(), Waiter::byDeadline))
                    .forEach(line -> heads.add(line.waiters.first()));
        }
        return heads;
    }

    /**
     * @return the waiter to shed for one of the given class: the last of the least urgent class below
     *         it
     */
    Optional<Waiter> leastUrgentBelow(TaskClass taskClass)
    {
        TaskClass[] classes = TaskClass.values();
        for (int i = classes.length - 1; i > taskClass.ordinal(); i--)
        {
            Optional<Waiter> last = lines.getOrDefault(classes[i], Map.of()).values().stream()
                    .map(line -> line.waiters.last()).max(Waiter::byDeadline);
            if (last.isPresent())
            {
                return last;
            }
        }
        return Optional.empty();
    }
}
