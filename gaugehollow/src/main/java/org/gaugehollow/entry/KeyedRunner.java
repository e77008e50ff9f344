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
    private static final int COPY_TRIES = 3;
    private static final long COPY_PAUSE_MILLIS = 50;
    private static final long BEYOND_DEADLINE_MILLIS = 2_000;

    private final RequestSupport support;
    private final KeyTable table;
    private final KeyReplicator copier;
    private final LocalRunner runner;

    KeyedRunner(RequestSupport support, KeyTable table, KeyReplicator copier, LocalRunner runner)
    {
        this.support = support;
        this.table = table;
        this.copier = copier;
        this.runner = runner;
    }

    /**
     * Answers one ask for a key of this box's slots.
     *
     * @return the answer of the one run, or a refusal that says what is known of it
     */
    Answer ask(CallerRequest request, WorkloadSpec workload, TeamSpec team) throws InterruptedException
    {
        if (!support.rights().isValid())
        {
            return refused(ResultCode.NO_RIGHTS, "this box may not decide on the key now", request);
        }
        KeyTable.Registration ask;
        try
        {
            ask = table.register(request.team(), request.key(), request.workload(), request.keyIssuedAt(),
                    request.task());
        }
        catch (GaugehollowException e)
        {
            boolean known = e.code() != ResultCode.KEY_MOVING;
            return Answers.refused(e, request.task(), support.self().id()).toBuilder().setEvidence(known)
                    .build();
        }
        if (ask.first())
        {
            Thread.ofVirtual().name("keyed-" + request.task())
                    .start(() -> runFirst(ask.entry(), request, workload, team));
        }
        return await(ask, request);
    }

    private Answer await(KeyTable.Registration ask, CallerRequest request) throws InterruptedException
    {
        try
        {
            Answer answer = ask.entry().answer().get(request.remainingMillis() + 1, TimeUnit.MILLISECONDS);
            boolean recorded = !ask.first() && Answers.codeOf(answer) == ResultCode.OK;
            Answer.Builder known = answer.toBuilder().setEvidence(!Answers.notRun(answer) || stillOwns());
            return recorded
                    ? known.setCode(ResultCode.RECORDED.number()).setRecorded(true).build()
                    : known.build();
        }
        catch (TimeoutException e)
        {
            return refused(ResultCode.STILL_RUNNING,
                    "the request still runs under task " + ask.entry().task(), request);
        }
        catch (ExecutionException e)
        {
            return refused(ResultCode.INTERNAL, "a fault inside the box", request);
        }
    }

    /** Without rights another box may own the key by now and have run an earlier ask. */
    private boolean stillOwns()
    {
        return support.rights().isValid();
    }

    private void runFirst(KeyEntry entry, CallerRequest request, WorkloadSpec workload, TeamSpec team)
    {
        Answer answer;
        try
        {
            answer = noteThenRun(entry, request, workload, team);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
            answer = refused(ResultCode.OUTCOME_UNKNOWN, "the box stopped", request);
        }
        catch (RuntimeException e)
        {
            support.events().record(EventType.INTERNAL_FAULT, request.task(), String.valueOf(e));
            answer = refused(ResultCode.INTERNAL, "a fault inside the box", request);
        }
        if (Answers.notRun(answer))
        {
            tell(entry.forgetRecord());
            table.recordNotRun(entry, answer);
        }
        else
        {
            table.recordAnswer(entry, answer);
            tell(entry.endedRecord());
        }
    }

    private Answer noteThenRun(KeyEntry entry, CallerRequest request, WorkloadSpec workload, TeamSpec team)
            throws InterruptedException
    {
        try
        {
            copyIntent(entry, request);
        }
        catch (GaugehollowException e)
        {
            return Answers.refused(e, request.task(), support.self().id());
        }
        if (!support.rights().isValid())
        {
            return refused(ResultCode.NO_RIGHTS, "this box's rights ended while it noted the key", request);
        }
        return runner.run(request.withDeadline(runDeadline(request, workload)), workload, team);
    }

    private void copyIntent(KeyEntry entry, CallerRequest request) throws InterruptedException
    {
        for (int attempt = 1;; attempt++)
        {
            try
            {
                copier.replicate(entry.intendedRecord());
                return;
            }
            catch (GaugehollowException e)
            {
                if (attempt == COPY_TRIES || request.expired())
                {
                    throw e;
                }
                Thread.sleep(COPY_PAUSE_MILLIS);
            }
        }
    }

    /**
     * A caller that gives up early may ask again and should then find the answer, so the run goes on a
     * little.
     */
    private static long runDeadline(CallerRequest request, WorkloadSpec workload)
    {
        long own = SteadyClock.nanos()
                + TimeUnit.MILLISECONDS.toNanos(Math.min(workload.timeoutMillis(), BEYOND_DEADLINE_MILLIS));
        return own - request.deadlineNanos() > 0 ? own : request.deadlineNanos();
    }

    /**
     * Copies a result. Without it a successor would know less, but nothing wrong, so a failure is let
     * pass.
     */
    private void tell(PeerProtocol.KeyRecord record)
    {
        try
        {
            copier.replicate(record);
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

    private Answer refused(ResultCode code, String message, CallerRequest request)
    {
        return Answers.refused(code, message, request.task(), support.self().id());
    }
}
