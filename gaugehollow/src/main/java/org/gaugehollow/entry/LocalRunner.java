/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TeamSpec;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.placement.Placement;
import org.gaugehollow.placement.PlacementEngine;
import org.gaugehollow.placement.TaskDemand;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.upstream.UpstreamRequest;

/**
 * Runs a request on a worker of this box or on a worker of a peer with free capacity, otherwise
 * waits for capacity. Retries only requests that certainly did not run, within the retry budget and
 * the deadline.
 */
final class LocalRunner
{
    private static final long INITIAL_WAIT_MILLIS = 20;
    private static final long MAX_WAIT_MILLIS = 320;
    private static final int MAX_PEERS_TRIED = 2;

    private final RequestSupport support;
    private final PlacementEngine engine;
    private final UpstreamManager upstreams;
    private final PeerForwarder forwarder;
    private final PlacementLog placements;

    LocalRunner(RequestSupport support, PlacementEngine engine, UpstreamManager upstreams,
            PeerForwarder forwarder, PlacementLog placements)
    {
        this.support = support;
        this.engine = engine;
        this.upstreams = upstreams;
        this.forwarder = forwarder;
        this.placements = placements;
    }

    /**
     * Runs a request on this box or on a peer.
     *
     * @return the answer; its outcome is answered, not run or unknown
     */
    Answer run(CallerRequest request, WorkloadSpec workload, TeamSpec team) throws InterruptedException
    {
        TaskDemand demand = toDemand(request, workload, team);
        long waitMillis = INITIAL_WAIT_MILLIS;
        while (true)
        {
            Optional<Answer> answer = tryLocalThenPeers(request, workload, demand);
            if (answer.isEmpty())
            {
                answer = waitForCapacity(request, workload, demand, waitMillis);
                waitMillis = Math.min(MAX_WAIT_MILLIS, waitMillis * 2);
            }
            if (answer.isPresent() && !tryAcquireRetry(answer.get(), request))
            {
                return answer.get();
            }
            if (request.isExpired())
            {
                return answer.orElseGet(() -> rejected(ResultCode.NO_ROOM,
                        "no worker had enough free capacity before the timeout", request));
            }
        }
    }

    /** Runs a request on a worker of this box at once, or rejects it. */
    Answer tryRunLocally(CallerRequest request, WorkloadSpec workload, TeamSpec team)
            throws InterruptedException
    {
        Optional<Placement> placement = tryPlace(toDemand(request, workload, team));
        if (placement.isEmpty())
        {
            return rejected(ResultCode.NO_ROOM, "no worker of this box has enough free capacity", request);
        }
        return dispatch(placement.get(), request, workload);
    }

    private Optional<Answer> tryLocalThenPeers(CallerRequest request, WorkloadSpec workload,
            TaskDemand demand) throws InterruptedException
    {
        Optional<Placement> placement = tryPlace(demand);
        if (placement.isPresent())
        {
            return Optional.of(dispatch(placement.get(), request, workload));
        }
        for (String address : peersWithCapacity(workload.needs()))
        {
            Answer answer = forwarder.forward(address, request, true);
            if (!Answers.isNotRun(answer))
            {
                return Optional.of(answer);
            }
        }
        return Optional.empty();
    }

    private Optional<Placement> tryPlace(TaskDemand demand)
    {
        return support.rights().isValid() ? engine.tryPlace(demand) : Optional.empty();
    }

    private Optional<Answer> waitForCapacity(CallerRequest request, WorkloadSpec workload, TaskDemand demand,
            long waitMillis) throws InterruptedException
    {
        if (!support.rights().isValid())
        {
            Thread.sleep(Math.min(waitMillis, request.remainingMillis()));
            return Optional.empty();
        }
        long waitEnd = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        long deadline = waitEnd - request.deadlineNanos() < 0 ? waitEnd : request.deadlineNanos();
        try
        {
            return Optional.of(dispatch(engine.place(demand, deadline), request, workload));
        }
        catch (GaugehollowException e)
        {
            if (e.code() == ResultCode.NO_ROOM)
            {
                return Optional.empty();
            }
            return Optional.of(Answers.rejected(e, request.task(), support.self().id()));
        }
    }

    private boolean tryAcquireRetry(Answer answer, CallerRequest request)
    {
        boolean retryable = switch (Answers.codeOf(answer))
        {
            case UPSTREAM_REFUSED, FENCED, NO_RIGHTS -> true;
            default -> false;
        };
        if (!retryable || request.isExpired())
        {
            return false;
        }
        boolean granted = support.retryBudget().tryAcquire();
        support.metrics().retries().labelValues(granted ? "granted" : "refused").inc();
        if (granted)
        {
            support.events().record(EventType.TASK_RETRIED, request.task(), answer.getMessage());
        }
        return granted;
    }

    private Answer dispatch(Placement placement, CallerRequest request, WorkloadSpec workload)
            throws InterruptedException
    {
        Optional<OwnedUpstream> upstream = upstreams.upstream(placement.worker());
        if (upstream.isEmpty())
        {
            engine.release(placement);
            return rejected(ResultCode.NO_RIGHTS, "the worker changed owner", request);
        }
        placements.add(placement);
        support.events().record(EventType.TASK_PLACED, request.task(), placement.worker());
        support.metrics().waiting().labelValues(placement.demand().taskClass().label(), placement.policy())
                .observe(placement.waitedNanos() / 1e9);
        UpstreamRequest upstreamRequest = new UpstreamRequest(request.task(), request.team(), request.key(),
                workload.path(), workload.needs(), request.contentType(), request.body());
        try
        {
            HttpReply reply = upstream.get().send(placement, upstreamRequest, request.deadlineNanos());
            return Answers.answered(reply, request.task(), support.self().id(), placement.worker());
        }
        catch (GaugehollowException e)
        {
            return Answers.rejected(e, request.task(), support.self().id()).toBuilder()
                    .setUpstream(placement.worker()).build();
        }
    }

    /**
     * Returns the addresses of the peers with enough free capacity in their last status, most free
     * slots first.
     */
    private List<String> peersWithCapacity(ComputeResources needs)
    {
        Map<String, BoxStatus> statuses = support.peers().reachableStatuses();
        Optional<AssignmentMap> map = support.assignmentMaps().map();
        if (map.isEmpty())
        {
            return List.of();
        }
        Set<String> mapMembers = new HashSet<>(map.get().boxes().keySet());
        return statuses.entrySet().stream()
                .filter(e -> mapMembers.contains(e.getKey()) && hasCapacity(e.getValue(), needs))
                .sorted(Comparator.comparing(e -> -e.getValue().getFreeSlots())).limit(MAX_PEERS_TRIED)
                .map(e -> map.get().boxes().get(e.getKey()).peerAddress()).toList();
    }

    private static boolean hasCapacity(BoxStatus status, ComputeResources needs)
    {
        ComputeResources free = new ComputeResources(status.getFreeSlots(), status.getFreeCpuMillis(),
                status.getFreeMemoryMib(), status.getFreeAccelerators());
        return !status.getLeaving() && free.fits(needs);
    }

    private static TaskDemand toDemand(CallerRequest request, WorkloadSpec workload, TeamSpec team)
    {
        return new TaskDemand(request.task(), workload.taskClass(), request.team(), team.weight(),
                team.maxRunning(), workload.needs(), request.deadlineNanos());
    }

    private Answer rejected(ResultCode code, String message, CallerRequest request)
    {
        return Answers.rejected(code, message, request.task(), support.self().id());
    }
}
