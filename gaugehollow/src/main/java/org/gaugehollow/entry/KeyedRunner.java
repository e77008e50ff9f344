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
 * Runs requests with an idempotency key on the box that owns the key slot. The key is recorded and
 * replicated to a second box before the request is dispatched; a repeated request joins the run or
 * gets its recorded answer.
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
     * Runs the request if its key is new, otherwise waits for the answer of the run that exists.
     *
     * @return the answer of the run, or an error that says what is known about it
     */
    Answer runOrJoin(CallerRequest request, WorkloadSpec workload, TeamSpec team) throws InterruptedException
    {
        if (!support.rights().isValid())
        {
            return rejected(ResultCode.NO_RIGHTS, "this box has no valid rights to the key", request);
        }
        KeyTable.Registration registration;
        try
        {
            registration = keyTable.register(request.team(), request.key(), request.workload(),
                    request.keyIssuedAt(), request.task());
        }
        catch (GaugehollowException e)
        {
            boolean conclusive = e.code() != ResultCode.KEY_MOVING;
            return Answers.rejected(e, request.task(), support.self().id()).toBuilder()
                    .setEvidence(conclusive).build();
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
                    "the request is still running as task " + registration.entry().task(), request);
        }
        catch (ExecutionException e)
        {
            return rejected(ResultCode.INTERNAL, "internal error", request);
        }
    }

    /**
     * Returns whether this box still has valid rights. Without them, another box may have become the
     * owner of the key and run an earlier attempt.
     */
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
            answer = rejected(ResultCode.OUTCOME_UNKNOWN, "the box is stopping", request);
        }
        catch (RuntimeException e)
        {
            support.events().record(EventType.INTERNAL_FAULT, request.task(), String.valueOf(e));
            answer = rejected(ResultCode.INTERNAL, "internal error", request);
        }
        if (Answers.isNotRun(answer))
        {
            replicateOutcome(entry.notRunRecord());
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
            return rejected(ResultCode.NO_RIGHTS, "the rights of this box ended while the key was replicated",
                    request);
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
     * Returns the deadline of the run, which may exceed the deadline of the caller so that a caller
     * that retries after a short timeout finds the answer.
     */
    private static long runDeadline(CallerRequest request, WorkloadSpec workload)
    {
        long minDeadline = SteadyClock.nanos()
                + TimeUnit.MILLISECONDS.toNanos(Math.min(workload.timeoutMillis(), MIN_RUN_MILLIS));
        return minDeadline - request.deadlineNanos() > 0 ? minDeadline : request.deadlineNanos();
    }

    /**
     * Replicates the outcome of a run. Failures are only recorded, because a successor without the
     * outcome still gives no wrong answer.
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
