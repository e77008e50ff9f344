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
 * Keeps the advice service's answers. Which workers may run a step never changes, so only those are
 * asked for again when tickets run out. Guarded by the ledger's monitor.
 */
final class AdviceCache implements Planner.Tickets
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** How much before its end a ticket is no longer used, so that a start arrives in time. */
    private static final long MARGIN_MILLIS = 150;
    private static final long PAUSE_AFTER_FAULT_NANOS = 100_000_000L;

    /** A ticket and when it ends. */
    private record HeldTicket(String text, long endNanos)
    {
    }

    /** What is known of one step. */
    private static final class StepAdvice
    {
        /** By life of a worker. */
        private final Map<String, HeldTicket> healthy = new HashMap<>();
        private final Set<String> asked = new HashSet<>();
        private boolean asking;
        private long notBeforeNanos = Long.MIN_VALUE;
        /** When the newest tickets end. */
        private long endNanos = SteadyClock.nanos();
    }

    private final CellState ledger;
    private final AdviceDispatcher lines;
    private final Runnable onAnswer;
    private final Map<String, StepAdvice> steps = new HashMap<>();

    private volatile boolean closed;

    AdviceCache(CellState ledger, AdviceDispatcher lines, Runnable onAnswer)
    {
        this.ledger = ledger;
        this.lines = lines;
        this.onAnswer = onAnswer;
    }

    @Override
    public Optional<String> ticket(Step step, TrackedWorker slot)
    {
        StepAdvice advice = steps.get(step.name());
        HeldTicket held = advice == null ? null : advice.healthy.get(slot.id());
        boolean valid = held != null && SteadyClock.nanos() - held.endNanos < 0;
        return valid ? Optional.of(held.text) : Optional.empty();
    }

    @Override
    public boolean isDenied(Step step, TrackedWorker slot)
    {
        StepAdvice advice = steps.get(step.name());
        return advice != null && advice.asked.contains(slot.id()) && !advice.healthy.containsKey(slot.id());
    }

    @Override
    public boolean isAllowed(Step step, TrackedWorker slot)
    {
        StepAdvice advice = steps.get(step.name());
        boolean free = step.job().queue().adviceIfNeeded().isEmpty();
        return free || advice != null && advice.healthy.containsKey(slot.id());
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
                .expectedMillis(advice.healthy.size());
        return advice.endNanos - SteadyClock.nanos() > (long) (callMillis * NANOS_PER_MILLI);
    }

    /** A worker turned a ticket down. */
    void drop(Step step, TrackedWorker slot)
    {
        StepAdvice advice = steps.get(step.name());
        if (advice != null && advice.healthy.containsKey(slot.id()))
        {
            advice.healthy.put(slot.id(), new HeldTicket("", Long.MIN_VALUE / 2));
        }
    }

    /**
     * Asks nothing more: the term is over, and the service answers a box's calls in turn. Beside calls
     * of terms that were over 66 of a day's 400 jobs never began, for want of advice.
     */
    void close()
    {
        closed = true;
    }

    /** Forgets what is known of a job's steps. */
    void forget(Job job)
    {
        job.steps().forEach(step -> steps.remove(step.name()));
    }

    /** Asks for a step's tickets, unless that is under way. */
    void request(Step step)
    {
        StepAdvice advice = steps.computeIfAbsent(step.name(), key -> new StepAdvice());
        boolean early = advice.notBeforeNanos != Long.MIN_VALUE
                && SteadyClock.nanos() - advice.notBeforeNanos < 0;
        if (advice.asking || early)
        {
            return;
        }
        List<TrackedWorker> workers = workersToAsk(step, advice);
        if (workers.isEmpty())
        {
            return;
        }
        advice.asking = true;
        AdviceSpec spec = step.job().queue().adviceIfNeeded().orElseThrow();
        Thread.ofVirtual().name("advice-" + step.name()).start(() -> ask(step, advice, workers, spec));
    }

    private List<TrackedWorker> workersToAsk(Step step, StepAdvice advice)
    {
        List<TrackedWorker> workers = new ArrayList<>();
        for (TrackedWorker slot : ledger.workers())
        {
            boolean service = slot.acceptsStarts()
                    && slot.entry().service().equals(step.job().queue().service());
            if (service && step.hasLabel(slot.entry()) && !isDenied(step, slot))
            {
                workers.add(slot);
            }
        }
        return new AdviceCandidates(step, advice.healthy.keySet()).choose(workers);
    }

    private void ask(Step step, StepAdvice advice, List<TrackedWorker> workers, AdviceSpec spec)
    {
        List<String> ids = workers.stream().map(TrackedWorker::worker).toList();
        AdviceDispatcher.Call call = new AdviceDispatcher.Call(step.name(), ids,
                spec.expectedMillis(workers.size()), step.job().queue().priority(),
                step.job().acceptedRevision());
        Optional<Advice> answer = Optional.empty();
        try
        {
            answer = lines.advise(call, () -> isWanted(step));
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        synchronized (ledger)
        {
            take(advice, workers, answer, spec);
        }
        onAnswer.run();
    }

    private boolean isWanted(Step step)
    {
        synchronized (ledger)
        {
            return !closed && !step.job().state().isFinal() && step.hasWaiting();
        }
    }

    /** What the service says of a worker holds for its present life alone. */
    private static void take(StepAdvice advice, List<TrackedWorker> workers, Optional<Advice> answer,
            AdviceSpec spec)
    {
        long now = SteadyClock.nanos();
        advice.asking = false;
        if (answer.isEmpty())
        {
            advice.notBeforeNanos = now + PAUSE_AFTER_FAULT_NANOS;
            return;
        }
        Map<String, String> livesByWorker = new HashMap<>();
        workers.forEach(slot -> livesByWorker.put(slot.worker(), slot.id()));
        advice.asked.addAll(livesByWorker.values());
        long valid = answer.get().validMillis() > 0 ? answer.get().validMillis() : spec.validMillis();
        long end = now + (valid - MARGIN_MILLIS) * NANOS_PER_MILLI;
        advice.endNanos = end;
        for (Advice.Ticket ticket : answer.get().tickets())
        {
            String life = livesByWorker.get(ticket.worker());
            if (life != null)
            {
                advice.healthy.put(life, new HeldTicket(ticket.text(), end));
            }
        }
    }
}
