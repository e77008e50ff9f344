/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.gaugehollow.event.EventType;
import org.gaugehollow.keys.KeyEntry;
import org.gaugehollow.keys.KeyReplicator;
import org.gaugehollow.keys.KeyTable;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TeamSpec;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.peer.generated.PeerProtocol;
import org.gaugehollow.peer.generated.PeerProtocol.Answer;
import org.gaugehollow.time.SteadyClock;

/**
 * Runs requests that carry a key, on the box that owns the key's slot: the intent is noted and
 * copied to a second box before anything is dispatched; a second ask joins the run or gets its
 * recorded answer.
 */
final class KeyedRunner
{
    private static final int MAX_REPLICATION_ATTEMPTS = 3;
    private static final long REPLICATION_RETRY_MILLIS = 50;
    private static final long MIN_RUN_MILLIS = 2_000;

    private final RequestSupport support;
    private final KeyTable keyTable;
    private final KeyReplicator replicator;
    private final LocalRunner runner;

    KeyedRunner(RequestSupport support, KeyTable keyTable, KeyReplicator replicator, LocalRunner runner)
    {
        this.support = support;
        this.keyTable = keyTable;
        this.replicator = replicator;
        this.runner = runner;
    }

    /**
     * Answers one ask for a key of this box's slots.
     *
     * @return the answer of the one run, or a refusal that says what is known of it
     */
    Answer runOrJoin(CallerRequest request, WorkloadSpec workload, TeamSpec team) throws InterruptedException
    {
        if (!support.rights().isValid())
        {
            return rejected(ResultCode.NO_RIGHTS, "this box may not decide on the key now", request);
        }
        KeyTable.Registration registration;
        try
        {
            registration = keyTable.register(request.team(), request.key(), request.workload(),
                    request.keyIssuedAt(), request.task());
        }
        catch (GaugehollowException e)
        {
            boolean notRunIsCertain = e.code() != ResultCode.KEY_MOVING;
            return Answers.rejected(e, request.task(), support.self().id()).toBuilder()
                    .setEvidence(notRunIsCertain).build();
        }
        if (registration.first())
        {
            Thread.ofVirtual().name("keyed-" + request.task())
                    .start(() -> runFirst(registration.entry(), request, workload, team));
        }
        return awaitAnswer(registration, request);
    }

    private Answer awaitAnswer(KeyTable.Registration registration, CallerRequest request)
            throws InterruptedException
    {
        try
        {
            Answer answer = registration.entry().answer().get(request.remainingMillis() + 1,
                    TimeUnit.MILLISECONDS);
            boolean recorded = !registration.first() && Answers.codeOf(answer) == ResultCode.OK;
            Answer.Builder builder = answer.toBuilder()
                    .setEvidence(!Answers.isNotRun(answer) || hasValidRights());
            return recorded
                    ? builder.setCode(ResultCode.RECORDED.number()).setRecorded(true).build()
                    : builder.build();
        }
        catch (TimeoutException e)
        {
            return rejected(ResultCode.STILL_RUNNING,
                    "the request still runs under task " + registration.entry().task(), request);
        }
        catch (ExecutionException e)
        {
            return rejected(ResultCode.INTERNAL, "a fault inside the box", request);
        }
    }

    /** Without rights another box may own the key by now and have run an earlier ask. */
    private boolean hasValidRights()
    {
        return support.rights().isValid();
    }

    private void runFirst(KeyEntry entry, CallerRequest request, WorkloadSpec workload, TeamSpec team)
    {
        Answer answer;
        try
        {
            answer = replicateThenRun(entry, request, workload, team);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
            answer = rejected(ResultCode.OUTCOME_UNKNOWN, "the box stopped", request);
        }
        catch (RuntimeException e)
        {
            support.events().record(EventType.INTERNAL_FAULT, request.task(), String.valueOf(e));
            answer = rejected(ResultCode.INTERNAL, "a fault inside the box", request);
        }
        if (Answers.isNotRun(answer))
        {
            replicateOutcome(entry.forgetRecord());
            keyTable.recordNotRun(entry, answer);
        }
        else
        {
            keyTable.recordAnswer(entry, answer);
            replicateOutcome(entry.endedRecord());
        }
    }

    private Answer replicateThenRun(KeyEntry entry, CallerRequest request, WorkloadSpec workload,
            TeamSpec team) throws InterruptedException
    {
        try
        {
            replicateIntent(entry, request);
        }
        catch (GaugehollowException e)
        {
            return Answers.rejected(e, request.task(), support.self().id());
        }
        if (!support.rights().isValid())
        {
            return rejected(ResultCode.NO_RIGHTS, "this box's rights ended while it noted the key", request);
        }
        return runner.run(request.withDeadline(runDeadline(request, workload)), workload, team);
    }

    private void replicateIntent(KeyEntry entry, CallerRequest request) throws InterruptedException
    {
        for (int attempt = 1;; attempt++)
        {
            try
            {
                replicator.replicate(entry.intendedRecord());
                return;
            }
            catch (GaugehollowException e)
            {
                if (attempt == MAX_REPLICATION_ATTEMPTS || request.isExpired())
                {
                    throw e;
                }
                Thread.sleep(REPLICATION_RETRY_MILLIS);
            }
        }
    }

    /**
     * A caller that gives up early may ask again and should then find the answer, so the run goes on a
     * little.
     */
    private static long runDeadline(CallerRequest request, WorkloadSpec workload)
    {
        long minDeadline = SteadyClock.nanos()
                + TimeUnit.MILLISECONDS.toNanos(Math.min(workload.timeoutMillis(), MIN_RUN_MILLIS));
        return minDeadline - request.deadlineNanos() > 0 ? minDeadline : request.deadlineNanos();
    }

    /**
     * Copies a result. Without it a successor would know less, but nothing wrong, so a failure is let
     * pass.
     */
    private void replicateOutcome(PeerProtocol.KeyRecord record)
    {
        try
        {
            replicator.replicate(record);
        }
        catch (GaugehollowException e)
        {
            support.events().record(EventType.PEER_LOST, record.getTask(), e.getMessage());
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
    }

    private Answer rejected(ResultCode code, String message, CallerRequest request)
    {
        return Answers.rejected(code, message, request.task(), support.self().id());
    }
}
