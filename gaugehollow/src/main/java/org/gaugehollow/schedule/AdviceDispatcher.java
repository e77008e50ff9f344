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
 * Dispatches calls to the advice service over the channels of the boxes. The service handles the
 * calls of one box one at a time, so each channel carries one call and the others are queued by
 * priority. The channel of the owner is reserved for short calls, so that urgent work does not wait
 * behind a long one, and for long calls that have failed on another channel. Calls for jobs that
 * are too late leave some channels free for urgent ones, and calls for steps that begin later don't
 * wait for a channel at all.
 */
public final class AdviceDispatcher
{
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long FAULT_BACKOFF_MILLIS = 1_000;
    private static final int TIMEOUT_SLACK_MILLIS = 400;
    private static final int MAX_ATTEMPTS = 4;
    private static final double MAX_SHORT_CALL_MILLIS = 120;
    /** Calls that can wait leave one in this many channels free. */
    private static final int CHANNELS_PER_SPARE = 4;
    /**
     * Wait after which one call at a time for a job that is too late takes any free channel, so that it
     * isn't passed over for ever.
     */
    private static final long MAX_PASSED_OVER_NANOS = 1_000 * NANOS_PER_MILLI;

    /** How urgently a call is needed; the most urgent first. */
    enum Need
    {
        /** The step could start and its job can be in time. */
        NOW,
        /** The step could start and its job is late. */
        LATE,
        /** The step begins later. */
        AHEAD,
        /** The step could start and its job is too late. */
        TOO_LATE;

        boolean canWait()
        {
            return this == AHEAD || this == TOO_LATE;
        }
    }

    /**
     * A call that waits for a channel.
     *
     * @param step the full name of the step
     * @param workers the ids of the workers to evaluate
     * @param expectedMillis expected duration in milliseconds
     * @param priority 0 is the most urgent
     * @param rank rank among calls of the same priority, lowest first
     * @param need how urgently the call is needed; decides before the priority
     * @param isRetry whether the call has failed on a channel
     */
    record Call(String step, List<String> workers, double expectedMillis, int priority, long rank, Need need,
            boolean isRetry)
    {
        Call(String step, List<String> workers, double expectedMillis, int priority, long rank, Need need)
        {
            this(step, workers, expectedMillis, priority, rank, need, false);
        }

        Call retry()
        {
            return new Call(step, workers, expectedMillis, priority, rank, need, true);
        }

        boolean mayUseOwnChannel()
        {
            return expectedMillis <= MAX_SHORT_CALL_MILLIS && !need.canWait() || isRetry;
        }
    }

    /** The channel of one box. */
    private static final class Channel
    {
        private final AdvicePort port;
        private final boolean isOwn;
        private boolean busy;
        private boolean lastCallFailed;
        /** Whether it carries a call that was passed over for long. */
        private boolean carriesPassedOver;
        private long unusableUntilNanos = SteadyClock.nanos();

        Channel(AdvicePort port, boolean isOwn)
        {
            this.port = port;
            this.isOwn = isOwn;
        }

        boolean isFree(Call call, int channelCount)
        {
            boolean isAllowed = !isOwn || call.mayUseOwnChannel() || channelCount == 1;
            return isAllowed && !busy && SteadyClock.nanos() - unusableUntilNanos >= 0;
        }

        /** Returns whether the channel is used only if no other one is free. */
        boolean isLastChoice()
        {
            return lastCallFailed && !isOwn;
        }
    }

    private final Map<String, Channel> channels = new LinkedHashMap<>();
    private final TreeSet<Call> waiting = new TreeSet<>(Comparator.comparing(Call::need)
            .thenComparingInt(Call::priority).thenComparingLong(Call::rank).thenComparing(Call::step));
    private final EventLog events;

    /**
     * @param ownPort the port of this box
     * @param events records failed calls
     */
    public AdviceDispatcher(AdvicePort ownPort, EventLog events)
    {
        this.events = events;
        channels.put("", new Channel(ownPort, true));
    }

    /**
     * @param box the id of another box
     * @param port its port
     */
    public synchronized void add(String box, AdvicePort port)
    {
        channels.putIfAbsent(box, new Channel(port, false));
        notifyAll();
    }

    /** @param box the id of the box to remove */
    public synchronized void remove(String box)
    {
        channels.remove(box);
    }

    /**
     * Waits for a channel and sends the call. After a failure the channel is not used for a while, and
     * then only if no other one is free; the call is repeated on another one, which may be the owner's.
     *
     * @param call the call to send
     * @param isWanted whether the advice is still needed, evaluated when a channel is available
     * @return the advice, or empty if it is no longer needed, if no channel returned a reply, or if the
     *         call is made ahead and no channel can be spared
     * @throws InterruptedException if the process stops
     */
    Optional<Advice> advise(Call call, BooleanSupplier isWanted) throws InterruptedException
    {
        Call attempt = call;
        for (int i = 0; i < MAX_ATTEMPTS; i++)
        {
            Channel channel = attempt.need() == Need.AHEAD ? tryAcquire(attempt) : acquire(attempt);
            if (channel == null)
            {
                return Optional.empty();
            }
            try
            {
                if (!isWanted.getAsBoolean())
                {
                    return Optional.empty();
                }
                int timeoutMillis = (int) (call.expectedMillis() * 2) + TIMEOUT_SLACK_MILLIS;
                Advice advice = channel.port.advise(call.step(), call.workers(), timeoutMillis);
                markWorking(channel);
                return Optional.of(advice);
            }
            catch (GaugehollowException e)
            {
                events.record(EventType.ADVICE_MISSING, call.step(), e.getMessage());
                markFaulty(channel);
                attempt = call.retry();
            }
            finally
            {
                release(channel);
            }
        }
        return Optional.empty();
    }

    /** Returns a channel that can be spared now, or null. */
    private synchronized Channel tryAcquire(Call call)
    {
        Channel channel = findFreeChannel(call);
        boolean isSpare = channel != null && hasSpareChannels(call) && !hasPrecedingCall(call, channel);
        if (!isSpare)
        {
            return null;
        }
        channel.busy = true;
        return channel;
    }

    private synchronized Channel acquire(Call call) throws InterruptedException
    {
        long startNanos = SteadyClock.nanos();
        waiting.add(call);
        try
        {
            while (true)
            {
                Channel channel = findFreeChannel(call);
                boolean passedOver = call.need().canWait()
                        && SteadyClock.nanos() - startNanos >= MAX_PASSED_OVER_NANOS
                        && channels.values().stream().noneMatch(other -> other.carriesPassedOver);
                boolean isNext = channel != null && !hasPrecedingCall(call, channel)
                        && (!call.need().canWait() || hasSpareChannels(call));
                if (isNext || channel != null && passedOver)
                {
                    channel.busy = true;
                    channel.carriesPassedOver = !isNext;
                    return channel;
                }
                wait(FAULT_BACKOFF_MILLIS / 2);
            }
        }
        finally
        {
            waiting.remove(call);
            notifyAll();
        }
    }

    /** Returns the first free channel whose last call succeeded, else the first free one, or null. */
    private Channel findFreeChannel(Call call)
    {
        Channel lastChoice = null;
        for (Channel channel : channels.values())
        {
            if (!channel.isFree(call, channels.size()))
            {
                continue;
            }
            if (!channel.isLastChoice())
            {
                return channel;
            }
            lastChoice = lastChoice == null ? channel : lastChoice;
        }
        return lastChoice;
    }

    /** Returns whether enough channels stay free for urgent calls if a call that can wait takes one. */
    private boolean hasSpareChannels(Call call)
    {
        long free = channels.values().stream().filter(channel -> channel.isFree(call, channels.size()))
                .count();
        return free > channels.size() / CHANNELS_PER_SPARE;
    }

    private boolean hasPrecedingCall(Call call, Channel channel)
    {
        for (Call other : waiting.headSet(call))
        {
            if (channel.isFree(other, channels.size()))
            {
                return true;
            }
        }
        return false;
    }

    private synchronized void release(Channel channel)
    {
        channel.busy = false;
        channel.carriesPassedOver = false;
        notifyAll();
    }

    private synchronized void markWorking(Channel channel)
    {
        channel.lastCallFailed = false;
    }

    private synchronized void markFaulty(Channel channel)
    {
        channel.lastCallFailed = true;
        channel.unusableUntilNanos = SteadyClock.nanos() + FAULT_BACKOFF_MILLIS * NANOS_PER_MILLI;
    }
}
