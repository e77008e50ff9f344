/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.config.ActiveConfig;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.KeySlots;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TeamSpec;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.time.SteadyClock;

/**
 * Routes requests: one with an idempotency key to the box that owns the key slot in the home hall
 * of the team, any other to the local runner of this box.
 */
final class RequestRouter
{
    private static final int MAX_HOPS = 3;
    private static final int MAX_BOXES_TRIED = 2;
    private static final long INITIAL_BACKOFF_MILLIS = 25;
    private static final long MAX_BACKOFF_MILLIS = 400;
    /**
     * Maximum time of retries for a keyed request. Long enough for a planned transfer of a key slot;
     * after the failure of an owner the caller is told when to retry instead.
     */
    private static final long MAX_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RequestSupport support;
    private final LocalRunner runner;
    private final KeyedRunner keyedRunner;
    private final PeerForwarder forwarder;
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create();

    RequestRouter(RequestSupport support, LocalRunner runner, KeyedRunner keyedRunner,
            PeerForwarder forwarder)
    {
        this.support = support;
        this.runner = runner;
        this.keyedRunner = keyedRunner;
        this.forwarder = forwarder;
    }

    /**
     * Routes a request of a caller.
     *
     * @param request the request
     * @return the answer
     * @throws InterruptedException if the thread is interrupted
     */
    Answer route(CallerRequest request) throws InterruptedException
    {
        support.retryBudget().recordRequest();
        try
        {
            ActiveConfig config = requireConfig();
            WorkloadSpec workload = requireWorkload(request, config);
            TeamSpec team = requireTeam(request, config);
            validate(request, workload);
            return request.hasKey()
                    ? routeKeyed(request, workload, team)
                    : runner.run(request, workload, team);
        }
        catch (GaugehollowException e)
        {
            return Answers.rejected(e, request.task(), support.self().id());
        }
    }

    /**
     * Routes a request that a peer forwarded.
     *
     * @param request the request
     * @param placeOnly whether the request may only run at once on a worker of this box
     * @return the answer
     * @throws InterruptedException if the thread is interrupted
     */
    Answer routeForwarded(CallerRequest request, boolean placeOnly) throws InterruptedException
    {
        if (!placeOnly)
        {
            return route(request);
        }
        try
        {
            ActiveConfig config = requireConfig();
            return runner.tryRunLocally(request, requireWorkload(request, config),
                    requireTeam(request, config));
        }
        catch (GaugehollowException e)
        {
            return Answers.rejected(e, request.task(), support.self().id());
        }
    }

    /**
     * Sends the request to the owner of the key and retries while the key slot may be changing owner.
     * Retries are safe because the owner runs a key only once, but a "not run" answer is reliable only
     * if no earlier attempt is still open.
     */
    private Answer routeKeyed(CallerRequest request, WorkloadSpec workload, TeamSpec team)
            throws InterruptedException
    {
        long backoff = INITIAL_BACKOFF_MILLIS;
        boolean earlierAttemptOpen = false;
        long retryDeadline = SteadyClock.nanos() + MAX_RETRY_NANOS;
        while (true)
        {
            Answer answer = sendToOwner(request, workload, team);
            boolean outOfTime = request.remainingMillis() <= backoff
                    || SteadyClock.nanos() - retryDeadline > 0;
            if (!isRetryable(answer) || request.hops() > 0 || outOfTime)
            {
                return request.hops() > 0
                        ? answer
                        : replaceUncertainNotRun(answer, request, earlierAttemptOpen);
            }
            earlierAttemptOpen |= !Answers.isNotRun(answer);
            Thread.sleep(backoff);
            backoff = Math.min(MAX_BACKOFF_MILLIS, backoff * 2);
        }
    }

    /**
     * Replaces a "not run" answer by {@code KEY_UNCERTAIN} unless it is certain for the key. It is
     * certain if the owner of the key confirmed it or the caller declared its first attempt, and no
     * earlier attempt of this box may still arrive.
     */
    private static Answer replaceUncertainNotRun(Answer answer, CallerRequest request,
            boolean earlierAttemptOpen)
    {
        boolean certain = !earlierAttemptOpen && (answer.getEvidence() || request.firstAttempt());
        if (!Answers.isNotRun(answer) || certain)
        {
            return answer;
        }
        ResultCode code = ResultCode.KEY_UNCERTAIN;
        return answer.toBuilder().setCode(code.number()).setStatus(code.httpStatus())
                .setRetryAfterMillis(Math.max(code.retryAfterMillis(), answer.getRetryAfterMillis()))
                .setMessage("retry with the same key: " + answer.getMessage()).build();
    }

    private static boolean isRetryable(Answer answer)
    {
        return switch (Answers.codeOf(answer))
        {
            case PEER_LOST, PEER_UNREACHABLE, KEY_MOVING, NO_RIGHTS, NO_COPY -> true;
            default -> false;
        };
    }

    private Answer sendToOwner(CallerRequest request, WorkloadSpec workload, TeamSpec team)
            throws InterruptedException
    {
        if (!team.homeHall().equals(support.self().hall()))
        {
            return forwardToHall(team.homeHall(), request);
        }
        Optional<AssignmentMap> map = support.assignmentMaps().map();
        if (map.isEmpty())
        {
            return rejected(ResultCode.KEY_MOVING, "the hall has no assignment map yet", request);
        }
        String owner = map.get().slotOwners().get(KeySlots.slotOf(request.team(), request.key())).box();
        if (owner.equals(support.self().id()))
        {
            return keyedRunner.runOrJoin(request, workload, team);
        }
        if (request.hops() >= MAX_HOPS)
        {
            return rejected(ResultCode.KEY_MOVING, "the owner of the key is changing", request);
        }
        return forwarder.forward(map.get().boxes().get(owner).peerAddress(), request, false);
    }

    /** Forwards a request to a box of the home hall, which forwards it to the owner of the key. */
    private Answer forwardToHall(String hall, CallerRequest request) throws InterruptedException
    {
        List<AssignmentMap.Member> boxes = support.assignmentMaps().mapOf(hall)
                .map(map -> List.copyOf(map.boxes().values())).orElse(List.of());
        if (request.hops() < MAX_HOPS)
        {
            int first = boxes.isEmpty() ? 0 : random.nextInt(boxes.size());
            for (int i = 0; i < Math.min(MAX_BOXES_TRIED, boxes.size()); i++)
            {
                AssignmentMap.Member box = boxes.get((first + i) % boxes.size());
                Answer answer = forwarder.forward(box.peerAddress(), request, false);
                if (Answers.codeOf(answer) != ResultCode.PEER_UNREACHABLE)
                {
                    return answer;
                }
            }
        }
        return rejected(ResultCode.HALL_UNREACHABLE, "hall " + hall + " cannot be reached", request);
    }

    private ActiveConfig requireConfig()
    {
        ActiveConfig config = support.activeConfig().get();
        if (config == null)
        {
            throw new GaugehollowException(ResultCode.CONFIG_NOT_READY, "this box has no configuration yet");
        }
        return config;
    }

    private static WorkloadSpec requireWorkload(CallerRequest request, ActiveConfig config)
    {
        return config.workload(request.workload())
                .orElseThrow(() -> new GaugehollowException(ResultCode.UNKNOWN_WORKLOAD,
                        "workload \"" + request.workload() + "\" is not in the active configuration"));
    }

    private static TeamSpec requireTeam(CallerRequest request, ActiveConfig config)
    {
        return config.team(request.team()).orElseThrow(() -> new GaugehollowException(ResultCode.UNKNOWN_TEAM,
                "team \"" + request.team() + "\" is not in the active configuration"));
    }

    private static void validate(CallerRequest request, WorkloadSpec workload)
    {
        if (request.body().length > workload.maxBodyBytes())
        {
            throw new GaugehollowException(ResultCode.BODY_TOO_LARGE,
                    "the maximum body size of the workload is " + workload.maxBodyBytes() + " bytes");
        }
        if (!workload.repeatable() && !request.hasKey())
        {
            throw new GaugehollowException(ResultCode.KEY_REQUIRED,
                    "requests of this workload are not repeatable and require an Idempotency-Key");
        }
        if (request.isExpired())
        {
            throw new GaugehollowException(ResultCode.DEADLINE_PASSED, "the deadline has passed");
        }
    }

    private Answer rejected(ResultCode code, String message, CallerRequest request)
    {
        return Answers.rejected(code, message, request.task(), support.self().id());
    }
}
