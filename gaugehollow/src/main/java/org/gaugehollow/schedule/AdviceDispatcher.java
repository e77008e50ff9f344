/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;

/**
 * The boxes' lines to the advice service. The service handles the calls of one box in turn, so each
 * line carries one call at a time and the others wait here, the most urgent first. The owner's own
 * line is kept for short calls, so that urgent work never waits behind a long one.
 */
public final class AdviceDispatcher
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long FAULT_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 400;
    private static final int TRIES = 4;
    private static final double SHORT_MILLIS = 120;

    /**
     * A call that waits for a line.
     *
     * @param step the step's full name
     * @param workers the workers to judge
     * @param expectedMillis how long the service needs for it
     * @param priority 0 goes first
     * @param order among calls of one priority, the lower goes first
     */
    record Call(String step, List<String> workers, double expectedMillis, int priority, long order)
    {
        boolean isShort()
        {
            return expectedMillis <= SHORT_MILLIS;
        }
    }

    /** One box's line. */
    private static final class Line
    {
        private final AdvicePort port;
        private final boolean own;
        private boolean busy;
        private long faultUntilNanos = SteadyClock.nanos();

        Line(AdvicePort port, boolean own)
        {
            this.port = port;
            this.own = own;
        }

        boolean isFree(Call call, int lines)
        {
            boolean allowed = !own || call.isShort() || lines == 1;
            return allowed && !busy && SteadyClock.nanos() - faultUntilNanos >= 0;
        }
    }

    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final TreeSet<Call> waiting = new TreeSet<>(
            Comparator.comparingInt(Call::priority).thenComparingLong(Call::order).thenComparing(Call::step));
    private final EventLog events;

    /**
     * @param own this box's line
     * @param events where faults of lines are recorded
     */
    public AdviceDispatcher(AdvicePort own, EventLog events)
    {
        this.events = events;
        lines.put("", new Line(own, true));
    }

    /**
     * @param box another box's id
     * @param port its line
     */
    public synchronized void add(String box, AdvicePort port)
    {
        lines.putIfAbsent(box, new Line(port, false));
        notifyAll();
    }

    /** @param box a box that is gone */
    public synchronized void remove(String box)
    {
        lines.remove(box);
    }

    /**
     * Waits for a line and asks; a line that fails is left out for a while and the call goes to
     * another.
     *
     * @param call what to ask
     * @param isWanted whether the answer is still of use, asked when the call's turn comes
     * @return the advice, or empty if it was no longer wanted or no line gave an answer
     * @throws InterruptedException if the process stops
     */
    Optional<Advice> advise(Call call, BooleanSupplier isWanted) throws InterruptedException
    {
        for (int i = 0; i < TRIES; i++)
        {
            Line line = take(call);
            try
            {
                if (!isWanted.getAsBoolean())
                {
                    return Optional.empty();
                }
                int timeout = (int) (call.expectedMillis() * 2) + SLACK_MILLIS;
                return Optional.of(line.port.advise(call.step(), call.workers(), timeout));
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.ADVICE_MISSING, call.step(), e.getMessage());
                fault(line);
            }
            finally
            {
                giveBack(line);
            }
        }
        return Optional.empty();
    }

    private synchronized Line take(Call call) throws InterruptedException
    {
        waiting.add(call);
        try
        {
            while (true)
            {
                Line line = freeLine(call);
                if (line != null && !isBehindAnother(call, line))
                {
                    line.busy = true;
                    return line;
                }
                wait(FAULT_MILLIS / 2);
            }
        }
        finally
        {
            waiting.remove(call);
            notifyAll();
        }
    }

    private Line freeLine(Call call)
    {
        for (Line line : lines.values())
        {
            if (line.isFree(call, lines.size()))
            {
                return line;
            }
        }
        return null;
    }

    private boolean isBehindAnother(Call call, Line line)
    {
        for (Call other : waiting.headSet(call))
        {
            if (line.isFree(other, lines.size()))
            {
                return true;
            }
        }
        return false;
    }

    private synchronized void giveBack(Line line)
    {
        line.busy = false;
        notifyAll();
    }

    private synchronized void fault(Line line)
    {
        line.faultUntilNanos = SteadyClock.nanos() + FAULT_MILLIS * NANOS_PER_MILLI;
    }
}
