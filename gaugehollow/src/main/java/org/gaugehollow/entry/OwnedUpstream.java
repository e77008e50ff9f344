/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.Worker;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.placement.Placement;
import org.gaugehollow.placement.PlacementEngine;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.upstream.UpstreamClaim;
import org.gaugehollow.upstream.UpstreamClient;
import org.gaugehollow.upstream.UpstreamHealth;
import org.gaugehollow.upstream.UpstreamReport;
import org.gaugehollow.upstream.UpstreamRequest;
import org.gaugehollow.upstream.UpstreamTask;

/**
 * A worker that the assignment map assigns to this box. The worker is claimed and its running tasks
 * are counted before it gets work; afterwards it is probed periodically.
 */
final class OwnedUpstream implements SupervisedTask, AutoCloseable
{
    private static final long PROBE_INTERVAL_MILLIS = 1_000;
    private static final long FAST_PROBE_INTERVAL_MILLIS = 250;
    private static final long RIGHTS_POLL_MILLIS = 50;

    private final Worker worker;
    private final long epoch;
    private final String box;
    private final UpstreamClient client;
    private final UpstreamHealth health;
    private final PlacementEngine engine;
    private final Rights rights;
    private final EventLog events;
    /**
     * Placements with an unknown outcome and the time of their failure. They keep their resources
     * reserved until the worker no longer reports the task.
     */
    private final Map<Placement, Long> unresolved = new ConcurrentHashMap<>();
    private volatile boolean claimed;
    /**
     * Tasks that were already running when this box claimed the worker, possibly under the same epoch.
     */
    private volatile Set<String> inheritedTasks = Set.of();
    private volatile boolean closed;
    private volatile boolean cordoned;
    private boolean reachable = true;
    private volatile boolean leaving;
    private volatile boolean listedAsLeaving;
    /** Whether the last report of the worker allows new work; guarded by this. */
    private boolean accepting;

    OwnedUpstream(Worker worker, long epoch, String box, UpstreamClient client, PlacementEngine engine,
            Rights rights, EventLog events)
    {
        this.worker = worker;
        this.epoch = epoch;
        this.box = box;
        this.client = client;
        this.health = new UpstreamHealth(worker.capacity().slots());
        this.engine = engine;
        this.rights = rights;
        this.events = events;
        this.listedAsLeaving = worker.leaving();
    }

    Worker worker()
    {
        return worker;
    }

    long epoch()
    {
        return epoch;
    }

    /**
     * Sets whether the roster lists the worker as leaving. The worker is also leaving if it reports so
     * itself.
     */
    void setListedAsLeaving(boolean value)
    {
        listedAsLeaving = value;
        if (value)
        {
            setAccepting(false);
        }
    }

    /** Stops or resumes placing tasks. Running tasks keep their resources reserved. */
    synchronized void setCordoned(boolean value)
    {
        cordoned = value;
        engine.setAccepting(worker.id(), accepting && !cordoned);
    }

    private synchronized void setAccepting(boolean value)
    {
        accepting = value;
        engine.setAccepting(worker.id(), accepting && !cordoned);
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            if (!rights.isValid())
            {
                setAccepting(false);
                Thread.sleep(RIGHTS_POLL_MILLIS);
                continue;
            }
            probeOnce();
            boolean stable = claimed && health.allowedSlots() == worker.capacity().slots()
                    && unresolved.isEmpty();
            Thread.sleep(stable ? PROBE_INTERVAL_MILLIS : FAST_PROBE_INTERVAL_MILLIS);
        }
    }

    /**
     * Sends a request to the worker. The rights of this box are checked immediately before the request
     * is written.
     *
     * @return the complete answer of the worker
     * @throws GaugehollowException if the request failed; the outcome of its code says whether the
     *             request may have run
     */
    HttpReply send(Placement placement, UpstreamRequest request, long deadlineNanos)
            throws InterruptedException
    {
        boolean keepReserved = false;
        try
        {
            HttpReply reply = client.run(request, epoch, deadlineNanos, this::maySend);
            health.recordSuccess();
            return reply;
        }
        catch (GaugehollowException e)
        {
            keepReserved = e.code().outcome() != Outcome.NOT_RUN && !closed;
            recordFailure(e);
            throw e;
        }
        finally
        {
            if (keepReserved)
            {
                unresolved.put(placement, SteadyClock.nanos());
            }
            else
            {
                engine.release(placement);
            }
        }
    }

    private boolean maySend()
    {
        return rights.isValid() && !cordoned && !closed;
    }

    private void recordFailure(GaugehollowException e)
    {
        if (e.code() == ResultCode.FENCED)
        {
            claimed = false;
        }
        boolean takenOut = switch (e.code())
        {
            case UPSTREAM_REFUSED, FENCED -> health.recordUnreachable();
            case OUTCOME_UNKNOWN, UPSTREAM_TIMEOUT -> health.recordFailure();
            default -> false;
        };
        if (takenOut)
        {
            setAccepting(false);
            events.record(EventType.WORKER_OUT, worker.id(), e.getMessage());
        }
    }

    private void probeOnce() throws InterruptedException
    {
        long requestedAt = SteadyClock.nanos();
        try
        {
            UpstreamReport report = claimed ? client.report() : client.claim(new UpstreamClaim(box, epoch));
            if (!claimed)
            {
                claimed = true;
                inheritedTasks = taskIds(report);
                events.record(EventType.WORKER_CLAIMED, worker.id(),
                        "epoch " + epoch + ", " + report.tasks().size() + " tasks running");
            }
            applyReport(report, requestedAt);
            reachable = true;
        }
        catch (GaugehollowException e)
        {
            setAccepting(false);
            boolean takenOut = health.recordUnreachable();
            if (takenOut || reachable)
            {
                events.record(claimed ? EventType.WORKER_OUT : EventType.WORKER_CLAIM_FAILED, worker.id(),
                        e.getMessage());
            }
            reachable = false;
            claimed = claimed && e.code() != ResultCode.FENCED;
        }
    }

    private void applyReport(UpstreamReport report, long requestedAt)
    {
        releaseResolved(report, requestedAt);
        if (report.leaving() && !leaving)
        {
            events.record(EventType.WORKER_LEAVING, worker.id(), "reported by the worker");
        }
        leaving = report.leaving();
        if (health.recordProbe())
        {
            events.record(EventType.WORKER_BACK, worker.id(), "");
        }
        int slots = Math.min(worker.capacity().slots(), health.allowedSlots());
        ComputeResources usable = new ComputeResources(slots, worker.capacity().cpuMillis(),
                worker.capacity().memoryMib(), worker.capacity().accelerators());
        updateEngine(usable, orphanUsage(report));
    }

    private synchronized void updateEngine(ComputeResources usable, ComputeResources orphanUsage)
    {
        accepting = !leaving && !listedAsLeaving && rights.isValid();
        engine.putWorker(worker.id(), epoch, usable, orphanUsage, accepting && !cordoned);
    }

    /**
     * Returns the resources of tasks that were started before this claim, by an earlier owner or by
     * this box.
     */
    private ComputeResources orphanUsage(UpstreamReport report)
    {
        ComputeResources total = ComputeResources.NONE;
        for (UpstreamTask task : report.tasks())
        {
            if (task.epoch() != epoch || inheritedTasks.contains(task.task()))
            {
                total = total.plus(task.needs());
            }
        }
        return total;
    }

    private static Set<String> taskIds(UpstreamReport report)
    {
        return report.tasks().stream().map(UpstreamTask::task).collect(Collectors.toSet());
    }

    private void releaseResolved(UpstreamReport report, long requestedAt)
    {
        Set<String> running = taskIds(report);
        unresolved.forEach((placement, failedAt) ->
        {
            boolean ended = failedAt - requestedAt < 0 && !running.contains(placement.demand().task());
            if (ended && unresolved.remove(placement) != null)
            {
                engine.release(placement);
            }
        });
    }

    @Override
    public void close()
    {
        closed = true;
        engine.removeWorker(worker.id());
        unresolved.keySet().forEach(engine::release);
        unresolved.clear();
        client.close();
    }
}
