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
    private static final class TeamQueue
    {
        private final TreeSet<Waiter> waiters = new TreeSet<>(Waiter::compareByDeadline);
        private double virtualTime;
    }

    private final Map<TaskClass, Map<String, TeamQueue>> teamQueues = new EnumMap<>(TaskClass.class);
    private final Map<TaskClass, Double> virtualTimes = new EnumMap<>(TaskClass.class);
    private int size;

    void add(Waiter waiter)
    {
        TaskDemand demand = waiter.demand();
        Map<String, TeamQueue> queuesByTeam = teamQueues.computeIfAbsent(demand.taskClass(),
                c -> new HashMap<>());
        TeamQueue teamQueue = queuesByTeam.get(demand.team());
        if (teamQueue == null)
        {
            teamQueue = new TeamQueue();
            teamQueue.virtualTime = virtualTimes.getOrDefault(demand.taskClass(), 0.0);
            queuesByTeam.put(demand.team(), teamQueue);
        }
        if (teamQueue.waiters.add(waiter))
        {
            size++;
        }
    }

    boolean remove(Waiter waiter)
    {
        Map<String, TeamQueue> queuesByTeam = teamQueues.getOrDefault(waiter.demand().taskClass(), Map.of());
        TeamQueue teamQueue = queuesByTeam.get(waiter.demand().team());
        if (teamQueue == null || !teamQueue.waiters.remove(waiter))
        {
            return false;
        }
        size--;
        if (teamQueue.waiters.isEmpty())
        {
            queuesByTeam.remove(waiter.demand().team());
        }
        return true;
    }

    /** Takes a waiter out because it is placed, and charges its team's share. */
    void removePlaced(Waiter waiter)
    {
        TaskDemand demand = waiter.demand();
        TeamQueue teamQueue = teamQueues.get(demand.taskClass()).get(demand.team());
        teamQueue.virtualTime += 1.0 / demand.teamWeight();
        virtualTimes.merge(demand.taskClass(), teamQueue.virtualTime, Math::max);
        remove(waiter);
    }

    int size()
    {
        return size;
    }

    int size(TaskClass taskClass)
    {
        return teamQueues.getOrDefault(taskClass, Map.of()).values().stream()
                .mapToInt(teamQueue -> teamQueue.waiters.size()).sum();
    }

    /** How many tasks of this class and of more urgent ones wait. */
    int sizeAtLeastAsUrgent(TaskClass taskClass)
    {
        int sum = 0;
        for (TaskClass candidate : TaskClass.values())
        {
            sum += candidate.ordinal() <= taskClass.ordinal() ? size(candidate) : 0;
        }
        return sum;
    }

    /** @return the heads of the teams' lines in the order in which they are to be served */
    List<Waiter> heads()
    {
        List<Waiter> heads = new ArrayList<>();
        for (TaskClass taskClass : TaskClass.values())
        {
            teamQueues.getOrDefault(taskClass, Map.of()).values().stream()
                    .sorted(Comparator.<TeamQueue>comparingDouble(teamQueue -> teamQueue.virtualTime)
                            .thenComparing(teamQueue -> teamQueue.waiters.first(), Waiter::compareByDeadline))
                    .forEach(teamQueue -> heads.add(teamQueue.waiters.first()));
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
            Optional<Waiter> last = teamQueues.getOrDefault(classes[i], Map.of()).values().stream()
                    .map(teamQueue -> teamQueue.waiters.last()).max(Waiter::compareByDeadline);
            if (last.isPresent())
            {
                return last;
            }
        }
        return Optional.empty();
    }
}
