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
 * Brings a request to where it is decided: one with a key to the box that owns the key's slot in
 * the team's home hall, any other one to this box's own runner.
 */
final class RequestRouter
{
    private static final int MAX_HOPS = 3;
    private static final int MAX_BOXES_TRIED = 2;
    private static final long INITIAL_BACKOFF_MILLIS = 25;
    private static final long MAX_BACKOFF_MILLIS = 400;
    /**
     * Hand-overs take less; a take-over takes longer, and its callers are better told when to come
     * back.
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
     * Answers a caller's request.
     *
     * @param request the request
     * @return the answer
     * @throws InterruptedException if the process stops
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
     * Answers a request that a peer passed on.
     *
     * @param request the request
     * @param placeOnly whether it is to run on this box's own workers at once or not at all
     * @return the answer
     * @throws InterruptedException if the process stops
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
     * Asks the owner until it says what became of the key. Asking again is safe whatever happened to an
     * earlier ask, because the owner runs a key once; but "not run" is true only if no earlier ask is
     * open.
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
     * "Not run" speaks of the key, not only of this ask. So it is said only if the key's owner knows
     * it, or the caller says that this is its first ask; and never while an earlier ask of this box may
     * still arrive.
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
                .setMessage("ask again with the same key: " + answer.getMessage()).build();
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
            return rejected(ResultCode.KEY_MOVING, "the hall has no map yet", request);
        }
        String owner = map.get().slotOwners().get(KeySlots.slotOf(request.team(), request.key())).box();
        if (owner.equals(support.self().id()))
        {
            return keyedRunner.runOrJoin(request, workload, team);
        }
        if (request.hops() >= MAX_HOPS)
        {
            return rejected(ResultCode.KEY_MOVING, "the key's owner is changing", request);
        }
        return forwarder.forward(map.get().boxes().get(owner).peerAddress(), request, false);
    }

    /** Any box of the hall passes the request on to the owner; two are tried. */
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
                        "no workload \"" + request.workload() + "\" is in force"));
    }

    private static TeamSpec requireTeam(CallerRequest request, ActiveConfig config)
    {
        return config.team(request.team()).orElseThrow(() -> new GaugehollowException(ResultCode.UNKNOWN_TEAM,
                "no team \"" + request.team() + "\" is in force"));
    }

    private static void validate(CallerRequest request, WorkloadSpec workload)
    {
        if (request.body().length > workload.maxBodyBytes())
        {
            throw new GaugehollowException(ResultCode.BODY_TOO_LARGE,
                    "the workload takes bodies of at most " + workload.maxBodyBytes() + " bytes");
        }
        if (!workload.repeatable() && !request.hasKey())
        {
            throw new GaugehollowException(ResultCode.KEY_REQUIRED,
                    "requests of this workload may not be repeated and need an Idempotency-Key");
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
