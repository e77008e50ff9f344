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
 * Queue of tasks that wait for free capacity. More urgent classes are served first. Within a class,
 * teams share by weight; within a team, the earliest deadline is served first. Not thread-safe:
 * guarded by the engine's lock.
 */
final class WaitingQueue
{
    /**
     * The waiting tasks of one team in one class. The virtual time rises by 1 / weight with each placed
     * task; the team with the lowest one is served next.
     */
    private static final class TeamQueue
    {
        private final TreeSet<Waiter> waiters = new TreeSet<>(Waiter::compareByDeadline);
        private double virtualTime;
    }

    private final Map<TaskClass, Map<String, TeamQueue>> queuesByClass = new EnumMap<>(TaskClass.class);
    private final Map<TaskClass, Double> maxVirtualTimes = new EnumMap<>(TaskClass.class);
    private int size;

    /**
     * Adds a waiting task. A new team starts at the highest virtual time of its class and gets no
     * credit for the time in which it had no waiting tasks.
     */
    void add(Waiter waiter)
    {
        TaskDemand demand = waiter.demand();
        Map<String, TeamQueue> queuesByTeam = queuesByClass.computeIfAbsent(demand.taskClass(),
                c -> new HashMap<>());
        TeamQueue teamQueue = queuesByTeam.get(demand.team());
        if (teamQueue == null)
        {
            teamQueue = new TeamQueue();
            teamQueue.virtualTime = maxVirtualTimes.getOrDefault(demand.taskClass(), 0.0);
            queuesByTeam.put(demand.team(), teamQueue);
        }
        if (teamQueue.waiters.add(waiter))
        {
            size++;
        }
    }

    /** Returns whether the task was in the queue. */
    boolean remove(Waiter waiter)
    {
        Map<String, TeamQueue> queuesByTeam = queuesByClass.getOrDefault(waiter.demand().taskClass(),
                Map.of());
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

    /** Removes a placed task and advances its team's virtual time. */
    void removePlaced(Waiter waiter)
    {
        TaskDemand demand = waiter.demand();
        TeamQueue teamQueue = queuesByClass.get(demand.taskClass()).get(demand.team());
        teamQueue.virtualTime += 1.0 / demand.teamWeight();
        maxVirtualTimes.merge(demand.taskClass(), teamQueue.virtualTime, Math::max);
        remove(waiter);
    }

    int size()
    {
        return size;
    }

    int size(TaskClass taskClass)
    {
        return queuesByClass.getOrDefault(taskClass, Map.of()).values().stream()
                .mapToInt(teamQueue -> teamQueue.waiters.size()).sum();
    }

    /** Returns the number of waiting tasks of this class and of more urgent ones. */
    int sizeAtLeastAsUrgent(TaskClass taskClass)
    {
        int sum = 0;
        for (TaskClass candidate : TaskClass.values())
        {
            sum += candidate.ordinal() <= taskClass.ordinal() ? size(candidate) : 0;
        }
        return sum;
    }

    /** @return the first task of each team, in the order in which they should be served */
    List<Waiter> heads()
    {
        List<Waiter> heads = new ArrayList<>();
        for (TaskClass taskClass : TaskClass.values())
        {
            queuesByClass.getOrDefault(taskClass, Map.of()).values().stream()
                    .sorted(Comparator.<TeamQueue>comparingDouble(teamQueue -> teamQueue.virtualTime)
                            .thenComparing(teamQueue -> teamQueue.waiters.first(), Waiter::compareByDeadline))
                    .forEach(teamQueue -> heads.add(teamQueue.waiters.first()));
        }
        return heads;
    }

    /**
     * @return the task with the latest deadline in the least urgent class, if that class is less urgent
     *         than the given one
     */
    Optional<Waiter> leastUrgentBelow(TaskClass taskClass)
    {
        TaskClass[] classes = TaskClass.values();
        for (int i = classes.length - 1; i > taskClass.ordinal(); i--)
        {
            Optional<Waiter> last = queuesByClass.getOrDefault(classes[i], Map.of()).values().stream()
                    .map(teamQueue -> teamQueue.waiters.last()).max(Waiter::compareByDeadline);
            if (last.isPresent())
            {
                return last;
            }
        }
        return Optional.empty();
    }
}
