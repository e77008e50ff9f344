/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TaskClass;

/**
 * Places tasks on the workers that this box owns and queues the tasks that no worker can run yet.
 * Free capacity is computed only from the placements made here and the orphan usage passed in, not
 * from the workers' usage reports. Thread-safe.
 */
public final class PlacementEngine
{
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, OwnedWorker> workers = new TreeMap<>();
    private final WorkerIndex index = new WorkerIndex();
    private final WaitingQueue queue = new WaitingQueue();
    private final Map<String, Integer> runningByTeam = new HashMap<>();
    private final ServiceRate serviceRate = new ServiceRate();
    private final EngineLimits limits;
    private final LongSupplier nanoTime;
    private PolicyAssignments policies;
    private int usedBatchSlots;
    private int totalSlots;
    private long nextSequence;

    /**
     * @param limits limits of the waiting queue and of batch work
     * @param policies the placement policy of each task class
     * @param nanoTime monotonic clock, in nanoseconds
     */
    public PlacementEngine(EngineLimits limits, PolicyAssignments policies, LongSupplier nanoTime)
    {
        this.limits = limits;
        this.policies = policies;
        this.nanoTime = nanoTime;
    }

    /**
     * Replaces the policies. Waiting tasks keep their places in the queue and are placed by the new
     * policies.
     *
     * @param newPolicies the new policies
     */
    public void setPolicies(PolicyAssignments newPolicies)
    {
        lock.lock();
        try
        {
            policies = newPolicies;
            placeWaitingTasks();
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Adds or updates a worker that this box owns.
     *
     * @param worker the worker's id
     * @param epoch the epoch of the ownership
     * @param capacity the worker's total resources
     * @param orphanUsage the resources used by tasks that this box did not start
     * @param accepting whether new tasks may be placed on the worker
     */
    public void putWorker(String worker, long epoch, ComputeResources capacity, ComputeResources orphanUsage,
            boolean accepting)
    {
        lock.lock();
        try
        {
            OwnedWorker owned = workers.computeIfAbsent(worker, OwnedWorker::new);
            totalSlots += capacity.slots() - owned.capacity().slots();
            owned.update(epoch, capacity, orphanUsage, accepting);
            updateIndex(owned);
            placeWaitingTasks();
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Stops or resumes the placement of new tasks on a worker. Unknown workers are ignored.
     *
     * @param worker the worker's id
     * @param accepting whether new tasks may be placed on the worker
     */
    public void setAccepting(String worker, boolean accepting)
    {
        lock.lock();
        try
        {
            OwnedWorker owned = workers.get(worker);
            if (owned != null && owned.isAccepting() != accepting)
            {
                owned.setAccepting(accepting);
                updateIndex(owned);
                placeWaitingTasks();
            }
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Removes a worker that this box no longer owns. Placements on it must still be released.
     *
     * @param worker the worker's id
     */
    public void removeWorker(String worker)
    {
        lock.lock();
        try
        {
            OwnedWorker owned = workers.remove(worker);
            totalSlots -= owned == null ? 0 : owned.capacity().slots();
            index.remove(worker);
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Places a task if that is possible without waiting.
     *
     * @param demand the task
     * @return the placement, or empty if the limits or the free capacity don't allow one
     */
    public Optional<Placement> tryPlace(TaskDemand demand)
    {
        lock.lock();
        try
        {
            return allocate(demand, 0);
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Places a task, waiting for free capacity until the given time.
     *
     * @param demand the task
     * @param timeoutAtNanos time at which the wait ends, on the engine's clock
     * @return the placement
     * @throws InterruptedException if the thread is interrupted while the task waits
     * @throws GaugehollowException {@code NO_ROOM} after the timeout, {@code QUEUE_FULL} if the task
     *             may not wait, {@code PREEMPTED} if a more urgent task took its place in the queue
     */
    public Placement place(TaskDemand demand, long timeoutAtNanos) throws InterruptedException
    {
        Waiter waiter;
        lock.lock();
        try
        {
            Optional<Placement> placement = allocate(demand, 0);
            if (placement.isPresent())
            {
                return placement.get();
            }
            waiter = enqueue(demand);
        }
        finally
        {
            lock.unlock();
        }
        return awaitDecision(waiter, timeoutAtNanos);
    }

    /**
     * Frees the resources of a placement and places waiting tasks.
     *
     * @param placement the placement of the ended task
     */
    public void release(Placement placement)
    {
        lock.lock();
        try
        {
            TaskDemand demand = placement.demand();
            runningByTeam.computeIfPresent(demand.team(), (team, count) -> count > 1 ? count - 1 : null);
            if (demand.taskClass() == TaskClass.BATCH)
            {
                usedBatchSlots -= demand.needs().slots();
            }
            OwnedWorker owned = workers.get(placement.worker());
            if (owned != null && owned.release(placement))
            {
                updateIndex(owned);
            }
            serviceRate.onRelease(nanoTime.getAsLong());
            placeWaitingTasks();
            if (queue.size() == 0)
            {
                serviceRate.onQueueEmpty();
            }
        }
        finally
        {
            lock.unlock();
        }
    }

    /** @return the sum of the free resources of all accepting workers */
    public ComputeResources freeCapacity()
    {
        lock.lock();
        try
        {
            ComputeResources sum = ComputeResources.NONE;
            for (WorkerIndex.State state : index.workers().values())
            {
                sum = sum.plus(state.free());
            }
            return sum;
        }
        finally
        {
            lock.unlock();
        }
    }

    /** @return the number of waiting tasks */
    public int waitingCount()
    {
        lock.lock();
        try
        {
            return queue.size();
        }
        finally
        {
            lock.unlock();
        }
    }

    private Placement awaitDecision(Waiter waiter, long timeoutAtNanos) throws InterruptedException
    {
        try
        {
            long remainingNanos = Math.max(0, timeoutAtNanos - nanoTime.getAsLong());
            return waiter.decision().get(remainingNanos, TimeUnit.NANOSECONDS);
        }
        catch (TimeoutException e)
        {
            return resolveTimeout(waiter);
        }
        catch (InterruptedException e)
        {
            cancel(waiter);
            throw e;
        }
        catch (ExecutionException | CancellationException e)
        {
            throw new GaugehollowException(ResultCode.PREEMPTED,
                    "removed from the full queue for a more urgent task", e);
        }
    }

    /** Handles a timeout; the task may have been placed or shed in the meantime. */
    private Placement resolveTimeout(Waiter waiter)
    {
        lock.lock();
        try
        {
            if (queue.remove(waiter))
            {
                throw new GaugehollowException(ResultCode.NO_ROOM,
                        "no worker had enough free capacity before the timeout");
            }
        }
        finally
        {
            lock.unlock();
        }
        if (waiter.decision().isCompletedExceptionally())
        {
            throw new GaugehollowException(ResultCode.PREEMPTED,
                    "removed from the full queue for a more urgent task");
        }
        return waiter.decision().join();
    }

    /** Removes a waiting task, or releases its placement if it has one already. */
    private void cancel(Waiter waiter)
    {
        lock.lock();
        try
        {
            if (!queue.remove(waiter) && !waiter.decision().isCompletedExceptionally())
            {
                release(waiter.decision().join());
            }
        }
        finally
        {
            lock.unlock();
        }
    }

    private Waiter enqueue(TaskDemand demand)
    {
        long nowNanos = nanoTime.getAsLong();
        if (queue.size(demand.taskClass()) >= limits.maxWaiting(demand.taskClass()))
        {
            throw new GaugehollowException(ResultCode.QUEUE_FULL,
                    "too many waiting tasks of class " + demand.taskClass().label());
        }
        rejectIfTooLate(demand, nowNanos);
        if (queue.size() >= limits.waitingInAll())
        {
            shedLessUrgentTask(demand);
        }
        if (queue.size() == 0)
        {
            serviceRate.onQueueNonEmpty(nowNanos);
        }
        Waiter waiter = new Waiter(demand, nowNanos, nextSequence++);
        queue.add(waiter);
        return waiter;
    }

    /** Rejects a task whose estimated wait exceeds its deadline. */
    private void rejectIfTooLate(TaskDemand demand, long nowNanos)
    {
        long expectedWaitNanos = serviceRate.estimateWaitNanos(queue.sizeAtLeastAsUrgent(demand.taskClass()));
        if (expectedWaitNanos > demand.deadlineNanos() - nowNanos)
        {
            throw new GaugehollowException(ResultCode.QUEUE_FULL, "estimated wait exceeds the deadline: "
                    + TimeUnit.NANOSECONDS.toMillis(expectedWaitNanos) + " ms");
        }
    }

    private void shedLessUrgentTask(TaskDemand demand)
    {
        Waiter victim = queue.leastUrgentBelow(demand.taskClass())
                .orElseThrow(() -> new GaugehollowException(ResultCode.QUEUE_FULL, "too many waiting tasks"));
        queue.remove(victim);
        victim.decision().cancel(false);
    }

    private void placeWaitingTasks()
    {
        boolean placedAny = true;
        while (placedAny && queue.size() > 0)
        {
            placedAny = false;
            for (Waiter waiter : queue.heads())
            {
                Optional<Placement> placement = allocate(waiter.demand(), waiter.waitingSinceNanos());
                if (placement.isPresent())
                {
                    queue.removePlaced(waiter);
                    waiter.decision().complete(placement.get());
                    placedAny = true;
                    break;
                }
            }
        }
    }

    /** Allocates a task to a worker; {@code waitingSinceNanos} is 0 for a task that has not waited. */
    private Optional<Placement> allocate(TaskDemand demand, long waitingSinceNanos)
    {
        if (!isWithinLimits(demand))
        {
            return Optional.empty();
        }
        PolicyAssignments.NamedPolicy policy = policies.policyFor(demand.taskClass(), demand.task());
        Optional<String> chosenWorker = policy.policy().choose(index, demand.needs());
        if (chosenWorker.isEmpty())
        {
            return Optional.empty();
        }
        OwnedWorker owned = workers.get(chosenWorker.get());
        long waitedNanos = waitingSinceNanos == 0 ? 0 : nanoTime.getAsLong() - waitingSinceNanos;
        Placement placement = new Placement(demand, owned.id(), owned.epoch(), policy.name(), waitedNanos);
        owned.allocate(placement);
        runningByTeam.merge(demand.team(), 1, Integer::sum);
        if (demand.taskClass() == TaskClass.BATCH)
        {
            usedBatchSlots += demand.needs().slots();
        }
        updateIndex(owned);
        return Optional.of(placement);
    }

    /** Returns whether the team's task limit and the batch share allow the task. */
    private boolean isWithinLimits(TaskDemand demand)
    {
        int running = runningByTeam.getOrDefault(demand.team(), 0);
        if (demand.teamLimit() > 0 && running >= demand.teamLimit())
        {
            return false;
        }
        if (demand.taskClass() != TaskClass.BATCH)
        {
            return true;
        }
        return usedBatchSlots + demand.needs().slots() <= totalSlots * limits.batchShare();
    }

    private void updateIndex(OwnedWorker owned)
    {
        if (owned.isAccepting())
        {
            index.put(owned.id(), owned.capacity(), owned.free());
        }
        else
        {
            index.remove(owned.id());
        }
    }
}
