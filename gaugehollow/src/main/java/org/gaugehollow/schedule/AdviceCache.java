/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gaugehollow.job.AdviceSpec;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;

/**
 * Caches the replies of the advice service. The set of workers that may run a step never changes,
 * so only allowed workers are queried again when their tickets expire. Guarded by the lock of the
 * cell state.
 */
final class AdviceCache implements Tickets
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Tickets are not used within this time of their expiry, so that a start arrives in time. */
    private static final long EXPIRY_MARGIN_MILLIS = 150;
    private static final long RETRY_DELAY_NANOS = 100_000_000L;

    /** A ticket and the monotonic time of its expiry. */
    private record CachedTicket(String text, long endNanos)
    {
    }

    /** The advice for one step. */
    private static final class StepAdvice
    {
        /** Newest ticket of each allowed worker, by incarnation. */
        private final Map<String, CachedTicket> allowed = new HashMap<>();
        private final Set<String> evaluatedIds = new HashSet<>();
        private boolean isRequestPending;
        private long requestedNanos;
        /** Number of failed requests since the last answer. */
        private int failedRequests;
        /** Time of the first request since the last answer. */
        private long unansweredSinceNanos;
        private long retryNotBeforeNanos = Long.MIN_VALUE;
        /** Expiry of the newest tickets. */
        private long ticketsEndNanos = SteadyClock.nanos();
    }

    private final CellState cellState;
    private final AdviceDispatcher dispatcher;
    private final Runnable onReply;
    private final Map<String, StepAdvice> steps = new HashMap<>();

    private volatile boolean closed;

    AdviceCache(CellState cellState, AdviceDispatcher dispatcher, Runnable onReply)
    {
        this.cellState = cellState;
        this.dispatcher = dispatcher;
        this.onReply = onReply;
    }

    @Override
    public Optional<String> ticket(Step step, TrackedWorker worker)
    {
        StepAdvice advice = steps.get(step.name());
        CachedTicket cached = advice == null ? null : advice.allowed.get(worker.id());
        boolean isValid = cached != null && SteadyClock.nanos() - cached.endNanos < 0;
        return isValid ? Optional.of(cached.text) : Optional.empty();
    }

    @Override
    public boolean isDenied(Step step, TrackedWorker worker)
    {
        StepAdvice advice = steps.get(step.name());
        return advice != null && advice.evaluatedIds.contains(worker.id())
                && !advice.allowed.containsKey(worker.id());
    }

    @Override
    public boolean isAllowed(Step step, TrackedWorker worker)
    {
        StepAdvice advice = steps.get(step.name());
        boolean needsNoAdvice = step.job().queue().adviceIfNeeded().isEmpty();
        return needsNoAdvice || advice != null && advice.allowed.containsKey(worker.id());
    }

    @Override
    public boolean isFresh(Step step)
    {
        StepAdvice advice = steps.get(step.name());
        if (advice == null)
        {
            return false;
        }
        double callMillis = step.job().queue().adviceIfNeeded().orElseThrow()
                .expectedMillis(advice.allowed.size());
        return advice.ticketsEndNanos - SteadyClock.nanos() > (long) (callMillis * NANOS_PER_MILLI);
    }

    @Override
    public Optional<UnansweredAdvice> unanswered(Step step)
    {
        StepAdvice advice = steps.get(step.name());
        boolean isUnanswered = advice != null && (advice.isRequestPending || advice.failedRequests > 0);
        return isUnanswered
                ? Optional.of(new UnansweredAdvice(advice.failedRequests, advice.unansweredSinceNanos,
                        advice.isRequestPending, advice.requestedNanos))
                : Optional.empty();
    }

    /** Discards a ticket that a worker rejected. The worker remains allowed. */
    void discardTicket(Step step, TrackedWorker worker)
    {
        StepAdvice advice = steps.get(step.name());
        if (advice != null && advice.allowed.containsKey(worker.id()))
        {
            advice.allowed.put(worker.id(), new CachedTicket("", Long.MIN_VALUE / 2));
        }
    }

    /**
     * Stops further requests when the term ends. The service handles the calls of a box one at a time,
     * so calls of an ended term would delay those of the current one.
     */
    void close()
    {
        closed = true;
    }

    /** Evicts the advice for the steps of a job. */
    void evict(Job job)
    {
        job.steps().forEach(step -> steps.remove(step.name()));
    }

    /** Requests tickets for a step unless a request is pending. */
    void request(Step step)
    {
        StepAdvice advice = steps.computeIfAbsent(step.name(), key -> new StepAdvice());
        boolean isTooEarly = advice.retryNotBeforeNanos != Long.MIN_VALUE
                && SteadyClock.nanos() - advice.retryNotBeforeNanos < 0;
        if (advice.isRequestPending || isTooEarly)
        {
            return;
        }
        List<TrackedWorker> workers = candidates(step, advice);
        if (workers.isEmpty())
        {
            return;
        }
        advice.isRequestPending = true;
        advice.requestedNanos = SteadyClock.nanos();
        if (advice.failedRequests == 0)
        {
            advice.unansweredSinceNanos = advice.requestedNanos;
        }
        AdviceSpec spec = step.job().queue().adviceIfNeeded().orElseThrow();
        AdviceDispatcher.Call call = new AdviceDispatcher.Call(step.name(),
                workers.stream().map(TrackedWorker::workerId).toList(), spec.expectedMillis(workers.size()),
                step.job().queue().priority(), step.job().acceptedRevision(), needOf(step));
        Thread.ofVirtual().name("advice-" + step.name())
                .start(() -> requestAdvice(step, advice, workers, call));
    }

    private static AdviceDispatcher.Need needOf(Step step)
    {
        if (!step.job().isReady(step) || !step.hasWaiting())
        {
            return AdviceDispatcher.Need.AHEAD;
        }
        return switch (step.job().latestOutlook())
        {
            case IN_TIME, UNCERTAIN -> AdviceDispatcher.Need.NOW;
            case LATE -> AdviceDispatcher.Need.LATE;
            case TOO_LATE -> AdviceDispatcher.Need.TOO_LATE;
        };
    }

    private List<TrackedWorker> candidates(Step step, StepAdvice advice)
    {
        List<TrackedWorker> workers = new ArrayList<>();
        for (TrackedWorker worker : cellState.workers())
        {
            if (worker.acceptsStarts() && step.suits(worker.entry()) && !isDenied(step, worker))
            {
                workers.add(worker);
            }
        }
        int taskCount = AdviceDemand.countTasks(step, SteadyClock.nanos());
        return new AdviceCandidates(step, taskCount, advice.allowed.keySet()).choose(workers);
    }

    private void requestAdvice(Step step, StepAdvice advice, List<TrackedWorker> workers,
            AdviceDispatcher.Call call)
    {
        Optional<Advice> reply = Optional.empty();
        try
        {
            reply = dispatcher.advise(call, () -> isWanted(step));
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        finally
        {
            // also after an unexpected exception, or the step could never request advice again
            endRequest(step, advice, workers, call, reply);
        }
    }

    private void endRequest(Step step, StepAdvice advice, List<TrackedWorker> workers,
            AdviceDispatcher.Call call, Optional<Advice> reply)
    {
        boolean isAhead = call.need() == AdviceDispatcher.Need.AHEAD;
        AdviceSpec spec = step.job().queue().adviceIfNeeded().orElseThrow();
        synchronized (cellState)
        {
            boolean hasFailed = reply.isEmpty() && !isAhead && isWanted(step);
            advice.failedRequests = hasFailed ? advice.failedRequests + 1 : 0;
            recordReply(advice, workers, reply, spec);
        }
        if (!isAhead || reply.isPresent())
        {
            onReply.run();
        }
    }

    private boolean isWanted(Step step)
    {
        synchronized (cellState)
        {
            return !closed && !step.job().state().isFinal()
                    && AdviceDemand.countTasks(step, SteadyClock.nanos()) > 0;
        }
    }

    /** Stores the reply of the service. It applies only to the current incarnations of the workers. */
    private static void recordReply(StepAdvice advice, List<TrackedWorker> workers, Optional<Advice> reply,
            AdviceSpec spec)
    {
        long nowNanos = SteadyClock.nanos();
        advice.isRequestPending = false;
        if (reply.isEmpty())
        {
            advice.retryNotBeforeNanos = nowNanos + RETRY_DELAY_NANOS;
            return;
        }
        Map<String, String> incarnationsByWorker = new HashMap<>();
        workers.forEach(worker -> incarnationsByWorker.put(worker.workerId(), worker.id()));
        advice.evaluatedIds.addAll(incarnationsByWorker.values());
        long validMillis = reply.get().validMillis() > 0 ? reply.get().validMillis() : spec.validMillis();
        long endNanos = nowNanos + (validMillis - EXPIRY_MARGIN_MILLIS) * NANOS_PER_MILLI;
        advice.ticketsEndNanos = endNanos;
        for (Advice.Ticket ticket : reply.get().tickets())
        {
            String incarnation = incarnationsByWorker.get(ticket.worker());
            if (incarnation != null)
            {
                advice.allowed.put(incarnation, new CachedTicket(ticket.text(), endNanos));
            }
        }
    }
}
