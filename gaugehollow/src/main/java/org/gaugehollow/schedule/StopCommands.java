/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.CommandReply;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.WorkerPort;

/** The owner's stops of runs on one life of a worker, at most one for a task at a time. */
final class StopCommands
{
    private static final int ORDER_MILLIS = 350;
    private static final int RETRY_MILLIS = 150;
    private static final int TRIES_UNKNOWN = 3;

    private final OwnerTerm term;
    private final TrackedWorker slot;
    private final WorkerPort port;
    private final Set<String> active = ConcurrentHashMap.newKeySet();

    StopCommands(OwnerTerm term, TrackedWorker slot, WorkerPort port)
    {
        this.term = term;
        this.slot = slot;
        this.port = port;
    }

    /** Sends a stop until the worker has taken it or the run is known to be over. */
    void send(Effects.Stop stop) throws InterruptedException
    {
        if (!active.add(stop.taskName()))
        {
            return;
        }
        try
        {
            if (stop.task() == null)
            {
                stopUnknown(stop);
            }
            else
            {
                stopKnown(stop);
            }
        }
        finally
        {
            active.remove(stop.taskName());
        }
    }

    private void stopKnown(Effects.Stop stop) throws InterruptedException
    {
        while (isWanted(stop) && term.lease().maySendCommands())
        {
            CommandReply answer = port.stop(stop.taskName(), stop.run(), term.lease().fence(), ORDER_MILLIS);
            if (answer.result().isSettled())
            {
                settleStop(stop, answer);
                return;
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private boolean isWanted(Effects.Stop stop)
    {
        synchronized (term.cellState())
        {
            return stop.task().isAt(slot, stop.run()) && stop.task().phase() == Task.Phase.STOPPING;
        }
    }

    private void settleStop(Effects.Stop stop, CommandReply answer)
    {
        if (answer.result() == CommandResult.FENCED)
        {
            term.onFenced(slot);
        }
        else if (answer.result() == CommandResult.OTHER_LIFE)
        {
            term.onIncarnationChanged(slot);
        }
        else
        {
            synchronized (term.cellState())
            {
                stop.task().settleStop(slot, stop.run(), SteadyClock.nanos());
            }
        }
    }

    private void stopUnknown(Effects.Stop stop) throws InterruptedException
    {
        for (int i = 0; i < TRIES_UNKNOWN; i++)
        {
            CommandReply answer = port.stop(stop.taskName(), stop.run(), term.lease().fence(), ORDER_MILLIS);
            if (answer.result().isSettled())
            {
                return;
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    /** Stops that no one is sending, such as those decided before this session began, are sent now. */
    void sendOpen()
    {
        List<Effects.Stop> open = new ArrayList<>();
        synchronized (term.cellState())
        {
            for (Task task : slot.tasks())
            {
                boolean unanswered = task.phase() == Task.Phase.STOPPING
                        && task.settledNanos() == Task.UNSETTLED;
                if (unanswered && !active.contains(task.name()))
                {
                    open.add(new Effects.Stop(slot, task.name(), task.run(), task));
                }
            }
        }
        open.forEach(stop -> OwnerTerm.inBackground(stop.taskName(), () -> send(stop)));
    }

    /** Stops that let the life carry out no start that was sent to an earlier life of its worker. */
    void blockStartsForEarlierIncarnations()
    {
        Map<String, Integer> runs;
        synchronized (term.cellState())
        {
            runs = term.cellState().slots().unansweredStarts().forEarlierIncarnations(slot,
                    SteadyClock.nanos());
        }
        runs.forEach((task, run) -> OwnerTerm.inBackground(task,
                () -> send(new Effects.Stop(slot, task, run, null))));
    }
}
