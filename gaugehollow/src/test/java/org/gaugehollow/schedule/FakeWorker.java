/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.CommandReply;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.HeartbeatRequest;
import org.gaugehollow.worker.RunEnd;
import org.gaugehollow.worker.StartCommand;
import org.gaugehollow.worker.WorkerPort;

/**
 * An in-memory worker that implements fencing, runs and run ends, and can lose or delay replies.
 */
final class FakeWorker implements WorkerPort
{
    private static final long FIRST_CLOCK_MILLIS = 1_000;

    private final long startNanos = SteadyClock.nanos();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> highestEndedRun = new HashMap<>();
    private final List<EndedRun> ends = new ArrayList<>();
    private final List<String> startedRuns = new ArrayList<>();
    private final List<String> stoppedTasks = new ArrayList<>();
    private long fence;
    private long lastEnd;
    private int startsToLose;
    private int startCount;
    private int stopsToLose;
    private int stopsToRefuse;
    private int heartbeatCount;
    private boolean delaysStartReplies;
    private boolean delaysStopReplies;
    private boolean delaysHeartbeatReplies;
    private StartCommand lostStart;
    private boolean isReplaced;
    private boolean unresponsive;
    private boolean losesAnswers;
    private boolean closed;
    private boolean unhealthy;
    private boolean delaysStarts;
    private int startsToHang;
    private StartCommand hungStart;
    private int stopsToHang;
    private int stopsToIgnore;
    private int heartbeatsToHang;
    private int throttlesToLose;
    private final List<Integer> speedLimits = new ArrayList<>();
    private long newestDeadline;
    private String newestTicket;
    private Predicate<String> poisonTasks = task -> false;
    private Runnable onCrash = () ->
    {
    };

    /** Returns the clock of the worker in milliseconds. */
    long clockMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos) + FIRST_CLOCK_MILLIS;
    }

    /**
     * Loses the given number of starts: they are neither executed nor answered. The last one can be
     * delivered later.
     */
    synchronized void loseStarts(int count)
    {
        startsToLose = count;
    }

    /** Loses the given number of stops: they are neither executed nor answered. */
    synchronized void loseStops(int count)
    {
        stopsToLose = count;
    }

    /** Lets the given number of starts hang: they are not executed, and the calls never return. */
    synchronized void hangStarts(int count)
    {
        startsToHang = count;
    }

    /** Returns the newest start that hangs. */
    synchronized StartCommand hungStart()
    {
        return hungStart;
    }

    /** Lets the given number of heartbeats hang: the calls never return. */
    synchronized void hangHeartbeats(int count)
    {
        heartbeatsToHang = count;
    }

    /** Ignores the given number of stops: they are answered but not executed. */
    synchronized void ignoreStops(int count)
    {
        stopsToIgnore = count;
    }

    /** Lets the given number of stops hang: they are not executed, and the calls never return. */
    synchronized void hangStops(int count)
    {
        stopsToHang = count;
    }

    /** Loses the given number of throttle commands: they are neither executed nor answered. */
    synchronized void loseThrottles(int count)
    {
        throttlesToLose = count;
    }

    /** Returns the speed limits that were executed, in percent and in order. */
    synchronized List<Integer> speedLimits()
    {
        return List.copyOf(speedLimits);
    }

    /** Refuses the given number of stops. */
    synchronized void refuseStops(int count)
    {
        stopsToRefuse = count;
    }

    /** Sets whether starts are executed without being answered until the delay is ended. */
    synchronized void delayStartReplies(boolean value)
    {
        delaysStartReplies = value;
        notifyAll();
    }

    /** Sets whether stops are executed without being answered until the delay is ended. */
    synchronized void delayStopReplies(boolean value)
    {
        delaysStopReplies = value;
        notifyAll();
    }

    /** Sets whether the replies to heartbeats are delayed. Their contents do not change meanwhile. */
    synchronized void delayHeartbeatReplies(boolean value)
    {
        delaysHeartbeatReplies = value;
        notifyAll();
    }

    /** Returns the number of heartbeats received. */
    synchronized int heartbeatCount()
    {
        return heartbeatCount;
    }

    /** Returns whether the task has a run on this worker. */
    synchronized boolean isRunning(String task)
    {
        return running.containsKey(task);
    }

    /** Delivers the newest lost start and returns its result. */
    synchronized CommandResult deliverLostStart()
    {
        return deliver(lostStart);
    }

    /** Returns the newest lost start. */
    synchronized StartCommand lostStart()
    {
        return lostStart;
    }

    /** Delivers a start that was sent earlier and returns its result. */
    synchronized CommandResult deliver(StartCommand command)
    {
        return execute(command);
    }

    /** Refuses all starts and stops, and delays the refusal of starts. */
    synchronized void refuseAndDelayStarts()
    {
        unhealthy = true;
        delaysStarts = true;
    }

    /** Sets whether all starts and stops are refused. */
    synchronized void setUnhealthy(boolean value)
    {
        unhealthy = value;
    }

    /** Ends the delay of starts. */
    synchronized void releaseStarts()
    {
        delaysStarts = false;
        notifyAll();
    }

    /** Ends this incarnation: all later calls are answered by another one. */
    synchronized void endIncarnation()
    {
        isReplaced = true;
        unresponsive = false;
        running.clear();
    }

    /** Crashes the worker when a run of any of these tasks starts. The start is still answered. */
    synchronized void crashOn(Predicate<String> tasks, Runnable whenCrashed)
    {
        poisonTasks = tasks;
        onCrash = whenCrashed;
    }

    /** Ends all runs and stops answering. */
    synchronized void crash()
    {
        unresponsive = true;
        running.clear();
        notifyAll();
    }

    /** Sets whether the worker leaves calls unanswered; its runs continue. */
    synchronized void setUnresponsive(boolean value)
    {
        unresponsive = value;
    }

    /** Sets whether the worker executes calls but none of its answers arrives. */
    synchronized void loseAnswers(boolean value)
    {
        losesAnswers = value;
    }

    /** Adds a run that an earlier owner started. */
    synchronized void addRun(String task, int run)
    {
        running.put(task, run);
    }

    synchronized void endRun(String task, RunEnd outcome)
    {
        int run = running.remove(task);
        highestEndedRun.merge(task, run, Math::max);
        lastEnd++;
        ends.add(new EndedRun(lastEnd, task, run, outcome, ""));
        notifyAll();
    }

    /** Returns the started runs as TASK/RUN in the order of their starts. */
    synchronized List<String> startedRuns()
    {
        return List.copyOf(startedRuns);
    }

    synchronized List<String> stoppedTasks()
    {
        return List.copyOf(stoppedTasks);
    }

    /** Returns the number of starts received, whatever their result. */
    synchronized int startCount()
    {
        return startCount;
    }

    /** Returns the latest lease deadline of all heartbeats, by the clock of the worker. */
    synchronized long newestDeadline()
    {
        return newestDeadline;
    }

    /** Returns the ticket of the newest start. */
    synchronized String newestTicket()
    {
        return newestTicket;
    }

    /** Returns whether a session with the worker was closed. */
    synchronized boolean isClosed()
    {
        return closed;
    }

    synchronized int unacknowledgedEndCount()
    {
        return ends.size();
    }

    private void hang() throws InterruptedException
    {
        while (true)
        {
            wait();
        }
    }

    private CommandResult checkCall(long fencingToken)
    {
        if (unresponsive)
        {
            return CommandResult.UNKNOWN;
        }
        if (isReplaced)
        {
            return CommandResult.OTHER_LIFE;
        }
        if (fencingToken < fence)
        {
            return CommandResult.FENCED;
        }
        fence = fencingToken;
        return CommandResult.DONE;
    }

    private CommandResult execute(StartCommand command)
    {
        CommandResult checked = checkCall(command.fence());
        if (checked != CommandResult.DONE)
        {
            return checked;
        }
        if (highestEndedRun.getOrDefault(command.task(), 0) >= command.run())
        {
            return CommandResult.OLD_RUN;
        }
        if (running.put(command.task(), command.run()) == null)
        {
            startedRuns.add(command.task() + '/' + command.run());
            if (poisonTasks.test(command.task()))
            {
                crash();
                onCrash.run();
            }
        }
        return CommandResult.DONE;
    }

    @Override
    public synchronized CommandReply start(StartCommand command, int timeoutMillis)
            throws InterruptedException
    {
        startCount++;
        newestTicket = command.ticket();
        if (startsToHang > 0)
        {
            startsToHang--;
            hungStart = command;
            hang();
        }
        while (delaysStarts)
        {
            wait();
        }
        if (unhealthy)
        {
            return new CommandReply(CommandResult.UNHEALTHY, clockMillis());
        }
        if (startsToLose > 0)
        {
            startsToLose--;
            lostStart = command;
            return new CommandReply(CommandResult.UNKNOWN, 0);
        }
        CommandResult result = execute(command);
        while (delaysStartReplies)
        {
            wait();
        }
        return reply(result);
    }

    @Override
    public synchronized CommandReply stop(String task, int run, long fencingToken, int timeoutMillis)
            throws InterruptedException
    {
        if (stopsToHang > 0)
        {
            stopsToHang--;
            hang();
        }
        if (unhealthy)
        {
            return new CommandReply(CommandResult.UNHEALTHY, clockMillis());
        }
        if (stopsToRefuse > 0)
        {
            stopsToRefuse--;
            return new CommandReply(CommandResult.UNHEALTHY, clockMillis());
        }
        if (stopsToLose > 0)
        {
            stopsToLose--;
            return new CommandReply(CommandResult.UNKNOWN, 0);
        }
        CommandResult checked = checkCall(fencingToken);
        if (checked == CommandResult.DONE && stopsToIgnore > 0)
        {
            stopsToIgnore--;
        }
        else if (checked == CommandResult.DONE)
        {
            stoppedTasks.add(task);
            highestEndedRun.merge(task, run, Math::max);
            if (running.getOrDefault(task, 0) == run)
            {
                endRun(task, RunEnd.STOPPED);
            }
        }
        while (delaysStopReplies)
        {
            wait();
        }
        return reply(checked);
    }

    @Override
    public synchronized CommandReply throttle(String task, int run, int percent, long fencingToken,
            int timeoutMillis)
    {
        if (throttlesToLose > 0)
        {
            throttlesToLose--;
            return new CommandReply(CommandResult.UNKNOWN, 0);
        }
        CommandResult checked = checkCall(fencingToken);
        if (checked == CommandResult.DONE)
        {
            speedLimits.add(percent);
        }
        return reply(checked);
    }

    private CommandReply reply(CommandResult result)
    {
        return losesAnswers
                ? new CommandReply(CommandResult.UNKNOWN, 0)
                : new CommandReply(result, clockMillis());
    }

    @Override
    public synchronized HeartbeatReply heartbeat(HeartbeatRequest request, int timeoutMillis)
            throws InterruptedException
    {
        heartbeatCount++;
        newestDeadline = Math.max(newestDeadline, request.deadlineMillis());
        if (heartbeatsToHang > 0)
        {
            heartbeatsToHang--;
            hang();
        }
        if (unresponsive)
        {
            wait(timeoutMillis);
            return HeartbeatReply.rejected(CommandResult.UNKNOWN);
        }
        CommandResult checked = checkCall(request.fence());
        if (checked != CommandResult.DONE)
        {
            return HeartbeatReply.rejected(checked);
        }
        ends.removeIf(end -> end.number() <= request.lastAckedEnd());
        if (ends.isEmpty() && request.waitMillis() > 0)
        {
            wait(request.waitMillis());
        }
        List<RunningRun> runs = new ArrayList<>();
        running.forEach((task, run) -> runs.add(new RunningRun(task, run, "", 1, 0)));
        while (delaysHeartbeatReplies)
        {
            wait();
        }
        return losesAnswers
                ? HeartbeatReply.rejected(CommandResult.UNKNOWN)
                : new HeartbeatReply(CommandResult.DONE, clockMillis(), runs, List.copyOf(ends));
    }

    @Override
    public synchronized void close()
    {
        closed = true;
    }
}
