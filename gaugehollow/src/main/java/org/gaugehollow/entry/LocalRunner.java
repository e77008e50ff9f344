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
 * Runs a request once: on a worker of this box, else on one of a peer that advertised room, else it
 * waits for room. Only a request that surely was not run is tried again, within budget and
 * deadline.
 */
final class LocalRunner
{
    private static final long FIRST_WAIT_MILLIS = 20;
    private static final long LONGEST_WAIT_MILLIS = 320;
    private static final int MOST_PEERS_ASKED = 2;

    private final RequestSupport support;
    private final PlacementEngine engine;
    private final WorkerKeeper workers;
    private final PeerForwarder forwarder;
    private final PlacementLog placements;

    LocalRunner(RequestSupport support, PlacementEngine engine, WorkerKeeper workers, PeerForwarder forwarder,
            PlacementLog placements)
    {
        this.support = support;
        this.engine = engine;
        this.workers = workers;
        this.forwarder = forwarder;
        this.placements = placements;
    }

    /**
     * Runs a request here or through a peer.
     *
     * @return the answer: answered, surely not run, or unknown
     */
    Answer run(CallerRequest request, WorkloadSpec workload, TeamSpec team) throws InterruptedException
    {
        TaskDemand demand = demandOf(request, workload, team);
        long wait = FIRST_WAIT_MILLIS;
        while (true)
        {
            Optional<Answer> answer = tryHereThenPeers(request, workload, demand);
            if (answer.isEmpty())
            {
                answer = waitForRoom(request, workload, demand, wait);
                wait = Math.min(LONGEST_WAIT_MILLIS, wait * 2);
            }
            if (answer.isPresent() && !mayRetry(answer.get(), request))
            {
                return answer.get();
            }
            if (request.expired())
            {
                return answer
                        .orElseGet(() -> refused(ResultCode.NO_ROOM, "no worker had room in time", request));
            }
        }
    }

    /** Runs a request on a worker of this box now, or says that it was not run. */
    Answer runNow(CallerRequest request, WorkloadSpec workload, TeamSpec team) throws InterruptedException
    {
        Optional<Placement> placement = placeNow(demandOf(request, workload, team));
        if (placement.isEmpty())
        {
            return refused(ResultCode.NO_ROOM, "no worker of this box has room", request);
        }
        return dispatch(placement.get(), request, workload);
    }

    private Optional<Answer> tryHereThenPeers(CallerRequest request, WorkloadSpec workload, TaskDemand demand)
            throws InterruptedException
    {
        Optional<Placement> placement = placeNow(demand);
        if (placement.isPresent())
        {
            return Optional.of(dispatch(placement.get(), request, workload));
        }
        for (String address : peersWithRoom(workload.needs()))
        {
            Answer answer = forwarder.forward(address, request, true);
            if (!Answers.notRun(answer))
            {
                return Optional.of(answer);
            }
        }
        return Optional.empty();
    }

    private Optional<Placement> placeNow(TaskDemand demand)
    {
        return support.rights().isValid() ? engine.tryPlace(demand) : Optional.empty();
    }

    private Optional<Answer> waitForRoom(CallerRequest request, WorkloadSpec workload, TaskDemand demand,
            long waitMillis) throws InterruptedException
    {
        if (!support.rights().isValid())
        {
            Thread.sleep(Math.min(waitMillis, request.remainingMillis()));
            return Optional.empty();
        }
        long wakeAt = SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        long until = wakeAt - request.deadlineNanos() < 0 ? wakeAt : request.deadlineNanos();
        try
        {
            return Optional.of(dispatch(engine.place(demand, until), request, workload));
        }
        catch (GaugehollowException e)
        {
            if (e.code() == ResultCode.NO_ROOM)
            {
                return Optional.empty();
            }
            return Optional.of(Answers.refused(e, request.task(), support.self().id()));
        }
    }

    private boolean mayRetry(Answer answer, CallerRequest request)
    {
        boolean worthIt = switch (Answers.codeOf(answer))
        {
            case UPSTREAM_REFUSED, FENCED, NO_RIGHTS -> true;
            default -> false;
        };
        if (!worthIt || request.expired())
        {
            return false;
        }
        boolean granted = support.retries().tryRetry();
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
        Optional<OwnedUpstream> upstream = workers.upstream(placement.worker());
        if (upstream.isEmpty())
        {
            engine.release(placement);
            return refused(ResultCode.NO_RIGHTS, "the worker has just changed owner", request);
        }
        placements.add(placement);
        support.events().record(EventType.TASK_PLACED, request.task(), placement.worker());
        support.metrics().waiting().labelValues(placement.demand().taskClass().label(), placement.policy())
                .observe(placement.waitedNanos() / 1e9);
        UpstreamRequest message = new UpstreamRequest(request.task(), request.team(), request.key(),
                workload.path(), workload.needs(), request.contentType(), request.body());
        try
        {
            HttpReply reply = upstream.get().send(placement, message, request.deadlineNanos());
            return Answers.answered(reply, request.task(), support.self().id(), placement.worker());
        }
        catch (GaugehollowException e)
        {
            return Answers.refused(e, request.task(), support.self().id()).toBuilder()
                    .setUpstream(placement.worker()).build();
        }
    }

    /** The peers that last said they have room, those with most first; two are asked at most. */
    private List<String> peersWithRoom(ComputeResources needs)
    {
        Map<String, BoxStatus> statuses = support.peers().reachableStatuses();
        Optional<AssignmentMap> map = support.halls().map();
        if (map.isEmpty())
        {
            return List.of();
        }
        Set<String> known = new HashSet<>(map.get().boxes().keySet());
        return statuses.entrySet().stream()
                .filter(e -> known.contains(e.getKey()) && hasRoom(e.getValue(), needs))
                .sorted(Comparator.comparing(e -> -e.getValue().getFreeSlots())).limit(MOST_PEERS_ASKED)
                .map(e -> map.get().boxes().get(e.getKey()).peerAddress()).toList();
    }

    private static boolean hasRoom(BoxStatus status, ComputeResources needs)
    {
        ComputeResources free = new ComputeResources(status.getFreeSlots(), status.getFreeCpuMillis(),
                status.getFreeMemoryMib(), status.getFreeAccelerators());
        return !status.getLeaving() && free.fits(needs);
    }

    private static TaskDemand demandOf(CallerRequest request, WorkloadSpec workload, TeamSpec team)
    {
        return new TaskDemand(request.task(), workload.taskClass(), request.team(), team.weight(),
                team.maxRunning(), workload.needs(), request.deadlineNanos());
    }

    private Answer refused(ResultCode code, String message, CallerRequest request)
    {
        return Answers.refused(code, message, request.task(), support.self().id());
    }
}
