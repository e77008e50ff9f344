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
 * A worker in memory that keeps the rules of fences, runs and ends, and loses answers on demand.
 */
final class FakeWorker implements WorkerPort
{
    private static final long FIRST_CLOCK_MILLIS = 1_000;

    private final long begunNanos = SteadyClock.nanos();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> highestOver = new HashMap<>();
    private final List<EndedRun> ends = new ArrayList<>();
    private final List<String> begun = new ArrayList<>();
    private final List<String> stopped = new ArrayList<>();
    private long fence;
    private long lastEnd;
    private int startsToLose;
    private int startsAsked;
    private int stopsToLose;
    private int stopsToTurnAway;
    private int looks;
    private boolean holdsStartAnswers;
    private boolean holdsStopAnswers;
    private boolean holdsLookAnswers;
    private StartCommand lostStart;
    private boolean otherLife;
    private boolean silent;
    private boolean closed;
    private boolean unhealthy;
    private boolean startsHeld;
    private long newestDeadline;
    private String newestTicket;
    private Predicate<String> harmful = task -> false;
    private Runnable onCrash = () ->
    {
    };

    /** Its clock. */
    long clockMillis()
    {
        return TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - begunNanos) + FIRST_CLOCK_MILLIS;
    }

    /** The next starts are not carried out and not answered; the last of them can arrive late. */
    synchronized void loseStarts(int count)
    {
        startsToLose = count;
    }

    /** The next stops are not carried out and not answered. */
    synchronized void loseStops(int count)
    {
        stopsToLose = count;
    }

    /** The next stops are turned away and not carried out. */
    synchronized void turnAwayStops(int count)
    {
        stopsToTurnAway = count;
    }

    /** Whether starts are carried out at once but answered only once this is over. */
    synchronized void holdStartAnswers(boolean value)
    {
        holdsStartAnswers = value;
        notifyAll();
    }

    /** Whether stops are carried out at once but answered only once this is over. */
    synchronized void holdStopAnswers(boolean value)
    {
        holdsStopAnswers = value;
        notifyAll();
    }

    /** Whether looks are answered only once this is over, as they would have been before. */
    synchronized void holdLookAnswers(boolean value)
    {
        holdsLookAnswers = value;
        notifyAll();
    }

    /** How many looks at it have begun. */
    synchronized int looks()
    {
        return looks;
    }

    /** Whether it has a run of the task at work. */
    synchronized boolean isRunning(String task)
    {
        return running.containsKey(task);
    }

    /** The lost start arrives now; returns what becomes of it. */
    synchronized CommandResult arriveLate()
    {
        return arrive(lostStart);
    }

    /** The newest start that was lost. */
    synchronized StartCommand lostStart()
    {
        return lostStart;
    }

    /** A start that was sent before arrives now; returns what becomes of it. */
    synchronized CommandResult arrive(StartCommand order)
    {
        return carryOut(order);
    }

    /** It turns orders away, starts only once they are let go. */
    synchronized void turnAwayAndHoldStarts()
    {
        unhealthy = true;
        startsHeld = true;
    }

    /** The starts that are held are turned away now. */
    synchronized void letStartsGo()
    {
        startsHeld = false;
        notifyAll();
    }

    /** Another life answers from now on. */
    synchronized void endLife()
    {
        otherLife = true;
        silent = false;
        running.clear();
    }

    /**
     * A run of any of these tasks ends its life as soon as it has begun; the start is answered before.
     */
    synchronized void crashOn(Predicate<String> tasks, Runnable whenCrashed)
    {
        harmful = tasks;
        onCrash = whenCrashed;
    }

    /** It answers nothing any more, and nothing runs on it. */
    synchronized void crash()
    {
        silent = true;
        running.clear();
        notifyAll();
    }

    /** Answers nothing from now on and runs on. */
    synchronized void setSilent(boolean value)
    {
        silent = value;
    }

    /** A run as an earlier owner left it. */
    synchronized void runs(String task, int run)
    {
        running.put(task, run);
    }

    synchronized void end(String task, RunEnd how)
    {
        int run = running.remove(task);
        highestOver.merge(task, run, Math::max);
        lastEnd++;
        ends.add(new EndedRun(lastEnd, task, run, how, ""));
        notifyAll();
    }

    /** Tasks and runs that began here, in order. */
    synchronized List<String> begun()
    {
        return List.copyOf(begun);
    }

    synchronized List<String> stopped()
    {
        return List.copyOf(stopped);
    }

    /** How many starts were sent here, whatever became of them. */
    synchronized int startsAsked()
    {
        return startsAsked;
    }

    /** The latest time that a look was to set for its lease, answered or not, on its clock. */
    synchronized long newestDeadline()
    {
        return newestDeadline;
    }

    /** The ticket of the newest start that was sent here. */
    synchronized String newestTicket()
    {
        return newestTicket;
    }

    /** Whether a session with it was closed. */
    synchronized boolean isClosed()
    {
        return closed;
    }

    synchronized int unnoted()
    {
        return ends.size();
    }

    private CommandResult check(long token)
    {
        if (silent)
        {
            return CommandResult.UNKNOWN;
        }
        if (otherLife)
        {
            return CommandResult.OTHER_LIFE;
        }
        if (token < fence)
        {
            return CommandResult.FENCED;
        }
        fence = token;
        return CommandResult.DONE;
    }

    private CommandResult carryOut(StartCommand order)
    {
        CommandResult checked = check(order.fence());
        if (checked != CommandResult.DONE)
        {
            return checked;
        }
        if (highestOver.getOrDefault(order.task(), 0) >= order.run())
        {
            return CommandResult.OLD_RUN;
        }
        if (running.put(order.task(), order.run()) == null)
        {
            begun.add(order.task() + '/' + order.run());
            if (harmful.test(order.task()))
            {
                crash();
                onCrash.run();
            }
        }
        return CommandResult.DONE;
    }

    @Override
    public synchronized CommandReply start(StartCommand order, int timeoutMillis) throws InterruptedException
    {
        startsAsked++;
        newestTicket = order.ticket();
        while (startsHeld)
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
            lostStart = order;
            return new CommandReply(CommandResult.UNKNOWN, 0);
        }
        CommandResult result = carryOut(order);
        while (holdsStartAnswers)
        {
            wait();
        }
        return new CommandReply(result, clockMillis());
    }

    @Override
    public synchronized CommandReply stop(String task, int run, long token, int timeoutMillis)
            throws InterruptedException
    {
        if (unhealthy)
        {
            return new CommandReply(CommandResult.UNHEALTHY, clockMillis());
        }
        if (stopsToTurnAway > 0)
        {
            stopsToTurnAway--;
            return new CommandReply(CommandResult.UNHEALTHY, clockMillis());
        }
        if (stopsToLose > 0)
        {
            stopsToLose--;
            return new CommandReply(CommandResult.UNKNOWN, 0);
        }
        CommandResult checked = check(token);
        if (checked == CommandResult.DONE)
        {
            stopped.add(task);
            highestOver.merge(task, run, Math::max);
            if (running.getOrDefault(task, 0) == run)
            {
                end(task, RunEnd.STOPPED);
            }
        }
        while (holdsStopAnswers)
        {
            wait();
        }
        return new CommandReply(checked, clockMillis());
    }

    @Override
    public synchronized CommandReply throttle(String task, int run, int percent, long token,
            int timeoutMillis)
    {
        return new CommandReply(check(token), clockMillis());
    }

    @Override
    public synchronized HeartbeatReply heartbeat(HeartbeatRequest order, int timeoutMillis)
            throws InterruptedException
    {
        looks++;
        newestDeadline = Math.max(newestDeadline, order.deadline());
        if (silent)
        {
            wait(timeoutMillis);
            return HeartbeatReply.refused(CommandResult.UNKNOWN);
        }
        CommandResult checked = check(order.fence());
        if (checked != CommandResult.DONE)
        {
            return HeartbeatReply.refused(checked);
        }
        ends.removeIf(end -> end.number() <= order.lastAckedEnd());
        if (ends.isEmpty() && order.waitMillis() > 0)
        {
            wait(order.waitMillis());
        }
        List<RunningRun> rows = new ArrayList<>();
        running.forEach((task, run) -> rows.add(new RunningRun(task, run, "", 1, 0)));
        while (holdsLookAnswers)
        {
            wait();
        }
        return new HeartbeatReply(CommandResult.DONE, clockMillis(), rows, List.copyOf(ends));
    }

    @Override
    public synchronized void close()
    {
        closed = true;
    }
}
