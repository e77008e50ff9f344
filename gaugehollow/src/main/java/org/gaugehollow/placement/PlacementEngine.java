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
 * Decides where each task runs and when it waits, over the workers that this box owns. It alone
 * counts what they have free; usage reports are never taken for room. Thread-safe.
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
     * @param limits queue limits and shares
     * @param policies which policy governs which class
     * @param nanoTime a monotonic clock
     */
    public PlacementEngine(EngineLimits limits, PolicyAssignments policies, LongSupplier nanoTime)
    {
        this.limits = limits;
        this.policies = policies;
        this.nanoTime = nanoTime;
    }

    /**
     * Swaps the policies. Waiting tasks are decided by the new ones from now on; none is lost or
     * reordered.
     *
     * @param book the new policies
     */
    public void usePolicies(PolicyAssignments newPolicies)
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
     * Adds a worker that this box owns now, or changes it.
     *
     * @param worker its id
     * @param epoch the epoch of the ownership
     * @param capacity what it holds
     * @param foreign what still runs there that this box did not start
     * @param accepting whether it may get new work
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
     * Stops or resumes new work for a worker; unknown ones are ignored.
     *
     * @param worker its id
     * @param accepting whether it may get new work
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
     * Forgets a worker that this box no longer owns. What it started there is still released later.
     *
     * @param worker its id
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
     * Places a task now or not at all, behind those that wait already.
     *
     * @param demand the task
     * @return the decision, or empty where there is no room up
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
     * Places a task, waiting for room until the given time.
     *
     * @param demand the task
     * @param untilNanos when to give up, on the engine's clock
     * @return the decision
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException with {@code NO_ROOM}, {@code QUEUE_FULL} or {@code PREEMPTED}
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
     * Frees what a task held.
     *
     * @param placement the decision that placed it
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

    /** @return what all accepting workers have free together */
    public ComputeResources free()
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

    /** @return how many tasks wait */
    public int waiting()
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
            throw new GaugehollowException(ResultCode.PREEMPTED, "a more urgent task took the waiting place",
                    e);
        }
    }

    private Placement resolveTimeout(Waiter waiter)
    {
        lock.lock();
        try
        {
            if (queue.remove(waiter))
            {
                throw new GaugehollowException(ResultCode.NO_ROOM, "no worker had room in time");
            }
        }
        finally
        {
            lock.unlock();
        }
        if (waiter.decision().isCompletedExceptionally())
        {
            throw new GaugehollowException(ResultCode.PREEMPTED, "a more urgent task took the waiting place");
        }
        return waiter.decision().join();
    }

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
                    "too many " + demand.taskClass().label() + " tasks wait already");
        }
        rejectIfTooLate(demand, nowNanos);
        if (queue.size() >= limits.waitingInAll())
        {
            shedLessUrgentThan(demand);
        }
        if (queue.size() == 0)
        {
            serviceRate.onQueueNonEmpty(nowNanos);
        }
        Waiter waiter = new Waiter(demand, nowNanos, nextSequence++);
        queue.add(waiter);
        return waiter;
    }

    /**
     * A task whose turn would come after its caller has gone is refused at once, and told when to come
     * back.
     */
    private void rejectIfTooLate(TaskDemand demand, long nowNanos)
    {
        long expectedWaitNanos = serviceRate.estimateWaitNanos(queue.sizeAtLeastAsUrgent(demand.taskClass()));
        if (expectedWaitNanos > demand.deadlineNanos() - nowNanos)
        {
            throw new GaugehollowException(ResultCode.QUEUE_FULL, "its turn would come too late, in about "
                    + TimeUnit.NANOSECONDS.toMillis(expectedWaitNanos) + " ms");
        }
    }

    private void shedLessUrgentThan(TaskDemand demand)
    {
        Waiter victim = queue.leastUrgentBelow(demand.taskClass()).orElseThrow(
                () -> new GaugehollowException(ResultCode.QUEUE_FULL, "too many tasks wait already"));
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

    private Optional<Placement> allocate(TaskDemand demand, long waitingSinceNanos)
    {
        if (!isWithinLimits(demand))
        {
            return Optional.empty();
        }
        PolicyAssignments.Named policy = policies.policyFor(demand.taskClass(), demand.task());
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
