/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;

/**
 * The boxes' lines to the advice service. The service handles the calls of one box in turn, so each
 * call goes to the line on which it would wait least.
 */
public final class AdviceLines
{
    private static final long FAULT_NANOS = 2_000_000_000L;
    private static final int SLACK_MILLIS = 700;
    private static final int TRIES = 3;

    /** One box's line. */
    private static final class Line
    {
        private final AdvicePort port;
        private double queuedMillis;
        private long faultUntilNanos = Long.MIN_VALUE;

        Line(AdvicePort port)
        {
            this.port = port;
        }
    }

    private final Map<String, Line> lines = new ConcurrentHashMap<>();

    /**
     * @param box the box's id
     * @param port its line
     */
    public void add(String box, AdvicePort port)
    {
        lines.putIfAbsent(box, new Line(port));
    }

    /** @param box a box that is gone */
    public void remove(String box)
    {
        lines.remove(box);
    }

    /**
     * Asks over the line with the shortest queue; a line that fails is left out for a while.
     *
     * @param step the step's full name
     * @param workers the workers to judge
     * @param expectedMillis how long the service needs for the call
     * @return the advice
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException if no line gave an answer
     */
    public Advice advise(String step, List<String> workers, double expectedMillis) throws InterruptedException
    {
        GaugehollowException last = new GaugehollowException(ResultCode.PEER_UNREACHABLE,
                "no line for advice");
        for (int i = 0; i < TRIES; i++)
        {
            Line line = take(expectedMillis);
            if (line == null)
            {
                throw last;
            }
            try
            {
                return line.port.advise(step, workers, (int) (line.queuedMillis * 2) + SLACK_MILLIS);
            }
            catch (GaugehollowException e)
            {
                last = e;
                fault(line);
            }
            finally
            {
                giveBack(line, expectedMillis);
            }
        }
        throw last;
    }

    private synchronized Line take(double expectedMillis)
    {
        long now = System.nanoTime();
        Line best = null;
        for (Line line : lines.values())
        {
            boolean usable = now - line.faultUntilNanos > 0 || line.faultUntilNanos == Long.MIN_VALUE;
            if (usable && (best == null || line.queuedMillis < best.queuedMillis))
            {
                best = line;
            }
        }
        if (best != null)
        {
            best.queuedMillis += expectedMillis;
        }
        return best;
    }

    private synchronized void giveBack(Line line, double expectedMillis)
    {
        line.queuedMillis = Math.max(0, line.queuedMillis - expectedMillis);
    }

    private synchronized void fault(Line line)
    {
        line.faultUntilNanos = System.nanoTime() + FAULT_NANOS;
    }
}
