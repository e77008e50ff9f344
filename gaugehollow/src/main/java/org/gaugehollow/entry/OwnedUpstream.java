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
 * A worker that the map gives to this box. It is claimed first, what still runs there is counted,
 * and only then does it get work; afterwards it is asked every second what runs.
 */
final class OwnedUpstream implements SupervisedTask, AutoCloseable
{
    private static final long PROBE_MILLIS = 1_000;
    private static final long QUICK_PROBE_MILLIS = 250;
    private static final long NO_RIGHTS_MILLIS = 50;

    private final Worker worker;
    private final long epoch;
    private final String box;
    private final UpstreamClient client;
    private final UpstreamHealth health;
    private final PlacementEngine engine;
    private final Rights rights;
    private final EventLog events;
    /** Tasks whose outcome is unknown: they hold their room until the worker no longer names them. */
    private final Map<Placement, Long> lingering = new ConcurrentHashMap<>();
    private volatile boolean claimed;
    /** Tasks that ran here before this claim, possibly under the same epoch. */
    private volatile Set<String> inherited = Set.of();
    private volatile boolean closed;
    private volatile boolean withheld;
    private boolean reachable = true;
    private volatile boolean leaving;
    private volatile boolean listedAsLeaving;
    /** Whether the worker's last answer lets it have work; guarded by this. */
    private boolean fit;

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

    /** The platform's list says whether the worker is leaving; its own word counts beside that. */
    void setListedAsLeaving(boolean value)
    {
        listedAsLeaving = value;
        if (value)
        {
            setFit(false);
        }
    }

    /**
     * Stops or resumes new work. What runs is counted all along, so that it still is when the worker is
     * used again.
     */
    synchronized void setWithheld(boolean value)
    {
        withheld = value;
        engine.setAccepting(worker.id(), fit && !withheld);
    }

    private synchronized void setFit(boolean value)
    {
        fit = value;
        engine.setAccepting(worker.id(), fit && !withheld);
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            if (!rights.isValid())
            {
                setFit(false);
                Thread.sleep(NO_RIGHTS_MILLIS);
                continue;
            }
            probeOnce();
            boolean settled = claimed && health.allowedSlots() == worker.capacity().slots()
                    && lingering.isEmpty();
            Thread.sleep(settled ? PROBE_MILLIS : QUICK_PROBE_MILLIS);
        }
    }

    /**
     * Sends a request to the worker. Whether this box still may is checked directly before.
     *
     * @return the worker's whole answer
     * @throws GaugehollowException with a code whose outcome says whether the request may have run
     */
    HttpReply send(Placement placement, UpstreamRequest request, long deadlineNanos)
            throws InterruptedException
    {
        boolean keepRoom = false;
        try
        {
            HttpReply reply = client.run(request, epoch, deadlineNanos, this::maySend);
            health.recordSuccess();
            return reply;
        }
        catch (GaugehollowException e)
        {
            keepRoom = e.code().outcome() != Outcome.NOT_RUN && !closed;
            noteFailure(e);
            throw e;
        }
        finally
        {
            if (keepRoom)
            {
                lingering.put(placement, SteadyClock.nanos());
            }
            else
            {
                engine.release(placement);
            }
        }
    }

    private boolean maySend()
    {
        return rights.isValid() && !withheld && !closed;
    }

    private void noteFailure(GaugehollowException e)
    {
        if (e.code() == ResultCode.FENCED)
        {
            claimed = false;
        }
        boolean out = switch (e.code())
        {
            case UPSTREAM_REFUSED, FENCED -> health.recordUnreachable();
            case OUTCOME_UNKNOWN, UPSTREAM_TIMEOUT -> health.recordFailure();
            default -> false;
        };
        if (out)
        {
            setFit(false);
            events.record(EventType.WORKER_OUT, worker.id(), e.getMessage());
        }
    }

    private void probeOnce() throws InterruptedException
    {
        long askedAt = SteadyClock.nanos();
        try
        {
            UpstreamReport report = claimed ? client.report() : client.claim(new UpstreamClaim(box, epoch));
            if (!claimed)
            {
                claimed = true;
                inherited = taskIds(report);
                events.record(EventType.WORKER_CLAIMED, worker.id(),
                        "epoch " + epoch + ", " + report.tasks().size() + " tasks running");
            }
            apply(report, askedAt);
            reachable = true;
        }
        catch (GaugehollowException e)
        {
            setFit(false);
            boolean out = health.recordUnreachable();
            if (out || reachable)
            {
                events.record(claimed ? EventType.WORKER_OUT : EventType.WORKER_CLAIM_FAILED, worker.id(),
                        e.getMessage());
            }
            reachable = false;
            claimed = claimed && e.code() != ResultCode.FENCED;
        }
    }

    private void apply(UpstreamReport report, long askedAt)
    {
        releaseLingering(report, askedAt);
        if (report.leaving() && !leaving)
        {
            events.record(EventType.WORKER_LEAVING, worker.id(), "by its own word");
        }
        leaving = report.leaving();
        if (health.recordProbe())
        {
            events.record(EventType.WORKER_BACK, worker.id(), "");
        }
        int slots = Math.min(worker.capacity().slots(), health.allowedSlots());
        ComputeResources usable = new ComputeResources(slots, worker.capacity().cpuMillis(),
                worker.capacity().memoryMib(), worker.capacity().accelerators());
        tellEngine(usable, foreign(report));
    }

    private synchronized void tellEngine(ComputeResources usable, ComputeResources foreign)
    {
        fit = !leaving && !listedAsLeaving && rights.isValid();
        engine.putWorker(worker.id(), epoch, usable, foreign, fit && !withheld);
    }

    /** What runs there and was started before this claim, by an earlier owner or by this box. */
    private ComputeResources foreign(UpstreamReport report)
    {
        ComputeResources sum = ComputeResources.NONE;
        for (UpstreamTask task : report.tasks())
        {
            if (task.epoch() != epoch || inherited.contains(task.task()))
            {
                sum = sum.plus(task.needs());
            }
        }
        return sum;
    }

    private static Set<String> taskIds(UpstreamReport report)
    {
        return report.tasks().stream().map(UpstreamTask::task).collect(Collectors.toSet());
    }

    private void releaseLingering(UpstreamReport report, long askedAt)
    {
        Set<String> running = taskIds(report);
        lingering.forEach((placement, since) ->
        {
            boolean over = since - askedAt < 0 && !running.contains(placement.demand().task());
            if (over && lingering.remove(placement) != null)
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
        lingering.keySet().forEach(engine::release);
        lingering.clear();
        client.close();
    }
}
