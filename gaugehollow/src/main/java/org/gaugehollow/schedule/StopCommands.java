/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.CommandReply;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.WorkerPort;

/** Sends stop commands to one worker incarnation, at most one per task at a time. */
final class StopCommands
{
    private static final int COMMAND_TIMEOUT_MILLIS = 350;
    private static final int RETRY_DELAY_MILLIS = 150;
    private static final int MAX_ORPHAN_ATTEMPTS = 3;
    /** Time after which another sender may take over from one whose attempt has not returned. */
    private static final long ATTEMPT_TIMEOUT_NANOS = 2_000_000_000L;

    private final OwnerTerm term;
    private final TrackedWorker worker;
    private final WorkerPort port;
    /** The sender of the stop by task name. */
    private final Map<String, Sender> senders = new ConcurrentHashMap<>();

    /** A thread that sends the stop of a task. */
    private static final class Sender
    {
        private volatile long attemptNanos = SteadyClock.nanos();

        void beginAttempt()
        {
            attemptNanos = SteadyClock.nanos();
        }

        boolean isOverdue()
        {
            return SteadyClock.nanos() - attemptNanos >= ATTEMPT_TIMEOUT_NANOS;
        }
    }

    StopCommands(OwnerTerm term, TrackedWorker worker, WorkerPort port)
    {
        this.term = term;
        this.worker = worker;
        this.port = port;
    }

    /** Sends a stop until the worker has accepted it or the run is known to have ended. */
    void send(Effects.Stop stop) throws InterruptedException
    {
        Sender sender = new Sender();
        if (!register(stop.taskName(), sender))
        {
            return;
        }
        try
        {
            if (stop.task() == null)
            {
                stopOrphanRun(stop, sender);
            }
            else
            {
                stopTask(stop, sender);
            }
        }
        finally
        {
            senders.remove(stop.taskName(), sender);
        }
    }

    /** Registers a sender unless another one is active. */
    private boolean register(String task, Sender sender)
    {
        return senders.compute(task,
                (name, current) -> current == null || current.isOverdue() ? sender : current) == sender;
    }

    private boolean isBeingSent(String task)
    {
        Sender sender = senders.get(task);
        return sender != null && !sender.isOverdue();
    }

    private void stopTask(Effects.Stop stop, Sender sender) throws InterruptedException
    {
        while (isPending(stop) && term.lease().maySendCommands())
        {
            sender.beginAttempt();
            CommandReply reply = port.stop(stop.taskName(), stop.run(), term.lease().fence(),
                    COMMAND_TIMEOUT_MILLIS);
            if (reply.result().isSettled())
            {
                handleReply(stop, reply);
                return;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    private boolean isPending(Effects.Stop stop)
    {
        synchronized (term.cellState())
        {
            return stop.task().isAt(worker, stop.run()) && stop.task().phase() == Task.Phase.STOPPING;
        }
    }

    private void handleReply(Effects.Stop stop, CommandReply reply)
    {
        if (reply.result() == CommandResult.FENCED)
        {
            term.onFenced(worker);
        }
        else if (reply.result() == CommandResult.OTHER_LIFE)
        {
            term.onIncarnationChanged(worker);
        }
        else
        {
            synchronized (term.cellState())
            {
                stop.task().onStopAnswered(worker, stop.run(), SteadyClock.nanos());
            }
        }
    }

    private void stopOrphanRun(Effects.Stop stop, Sender sender) throws InterruptedException
    {
        for (int i = 0; i < MAX_ORPHAN_ATTEMPTS; i++)
        {
            sender.beginAttempt();
            CommandReply reply = port.stop(stop.taskName(), stop.run(), term.lease().fence(),
                    COMMAND_TIMEOUT_MILLIS);
            if (reply.result().isSettled())
            {
                return;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Sends the pending stops that are not being sent yet, such as those decided before this session
     * began.
     */
    void sendPending()
    {
        List<Effects.Stop> pending = new ArrayList<>();
        synchronized (term.cellState())
        {
            for (Task task : worker.tasks())
            {
                boolean isUnanswered = task.phase() == Task.Phase.STOPPING
                        && task.settledNanos() == Task.UNSETTLED;
                if (isUnanswered && !isBeingSent(task.name()))
                {
                    pending.add(new Effects.Stop(worker, task.name(), task.run(), task));
                }
            }
        }
        pending.forEach(stop -> OwnerTerm.inBackground(stop.taskName(), () -> send(stop)));
    }

    /**
     * Stops the unanswered starts that were sent to earlier incarnations of the worker, so that this
     * incarnation does not execute them.
     */
    void blockStartsForEarlierIncarnations()
    {
        Map<String, Integer> runs;
        synchronized (term.cellState())
        {
            runs = term.cellState().trackedWorkers().unansweredStarts().forEarlierIncarnations(worker,
                    SteadyClock.nanos());
        }
        runs.forEach((task, run) -> OwnerTerm.inBackground(task,
                () -> send(new Effects.Stop(worker, task, run, null))));
    }
}
