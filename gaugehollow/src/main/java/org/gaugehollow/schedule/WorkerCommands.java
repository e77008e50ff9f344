/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;

import org.gaugehollow.event.EventType;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.CommandReply;
import org.gaugehollow.worker.CommandResult;
import org.gaugehollow.worker.StartCommand;
import org.gaugehollow.worker.WorkerPort;

/**
 * The owner's starts and changes of pace on one life of a worker. Each start is sent until it is
 * known what became of it; one of which that cannot be known is stopped.
 */
final class WorkerCommands
{
    private static final int ORDER_MILLIS = 350;
    private static final int START_TRIES = 3;

    private final OwnerTerm term;
    private final TrackedWorker slot;
    private final WorkerPort port;
    private final StopCommands stops;

    WorkerCommands(OwnerTerm term, TrackedWorker slot, WorkerPort port)
    {
        this.term = term;
        this.slot = slot;
        this.port = port;
        this.stops = new StopCommands(term, slot, port);
    }

    /** The stops of runs on the worker. */
    StopCommands stops()
    {
        return stops;
    }

    /** Sends a start until its outcome is known. */
    void start(Planner.Start start) throws InterruptedException
    {
        if (hasTicketLapsed(start))
        {
            decideAnew(start, "its ticket has lapsed");
            return;
        }
        boolean mayCome = false;
        for (int i = 0; i < START_TRIES; i++)
        {
            StartCommand order = startOrder(start);
            if (order == null)
            {
                takeBack(start, mayCome);
                return;
            }
            CommandReply answer = port.start(order, ORDER_MILLIS);
            if (answer.result() == CommandResult.UNKNOWN)
            {
                mayCome = true;
                noteUnanswered(order);
            }
            else if (answer.result() != CommandResult.NOT_SENT)
            {
                settleStart(start, answer, mayCome);
                return;
            }
        }
        stopInstead(start);
    }

    private void noteUnanswered(StartCommand order)
    {
        synchronized (term.cellState())
        {
            term.cellState().slots().unansweredStarts().add(slot, order.task(), order.run(),
                    SteadyClock.nanos());
        }
        term.events().record(EventType.ORDER_UNANSWERED, order.task(), "start on " + slot.id());
    }

    /** The order for a start; null if it is no longer wanted or may not be sent. */
    private StartCommand startOrder(Planner.Start start)
    {
        synchronized (term.cellState())
        {
            if (!isWanted(start) || obstacle() != null)
            {
                return null;
            }
            Task task = start.task();
            task.sent();
            long deadline = slot.deadlineIn(WorkerSession.LEASE_MILLIS, SteadyClock.nanos());
            return new StartCommand(task.name(), start.run(), task.step().job().record().job().spec(),
                    deadline, term.lease().fence(), start.checkpoint(), newestTicket(start));
        }
    }

    /**
     * The ticket with which a start was decided may have lapsed while its placement was being written;
     * the step may have a newer one by then. Called under the ledger's lock.
     */
    private String newestTicket(Planner.Start start)
    {
        if (start.ticket() == null)
        {
            return null;
        }
        return term.adviceCache().ticket(start.task().step(), slot).orElse(start.ticket());
    }

    /**
     * Why no start may be sent to the worker now; null if one may. Called under the ledger's lock. The
     * room is looked at again, since it may have shrunk while the placement was being written: two
     * starts of four went over it.
     */
    private String obstacle()
    {
        if (!term.lease().maySendCommands())
        {
            return "the term is not confirmed";
        }
        if (slot.isLeaseExpiring())
        {
            return "the worker is silent";
        }
        return slot.isOvercommitted() ? "the worker's room has shrunk" : null;
    }

    /** Whether the task still is to be started here; called under the ledger's lock. */
    private boolean isWanted(Planner.Start start)
    {
        Task task = start.task();
        return task.isAt(slot, start.run()) && task.phase() == Task.Phase.ORDERED;
    }

    /** Whether a start's ticket lapsed while its placement was being written. */
    private boolean hasTicketLapsed(Planner.Start start)
    {
        synchronized (term.cellState())
        {
            return start.ticket() != null && term.adviceCache().ticket(start.task().step(), slot).isEmpty();
        }
    }

    /**
     * Settles a start that may not be sent, or not once more. What stands against it may be over again,
     * and the task would stay placed for good.
     */
    private void takeBack(Planner.Start start, boolean mayCome) throws InterruptedException
    {
        String why;
        synchronized (term.cellState())
        {
            if (!isWanted(start) || term.lease().hasEnded())
            {
                return;
            }
            why = obstacle();
        }
        if (mayCome)
        {
            stopInstead(start);
            return;
        }
        decideAnew(start, why == null ? "an obstacle that is over again" : why);
    }

    /** Takes a start back that was never sent, so that the task is placed again. */
    private void decideAnew(Planner.Start start, String why)
    {
        Effects effects = new Effects();
        synchronized (term.cellState())
        {
            if (!isWanted(start))
            {
                return;
            }
            release(start.task(), effects);
        }
        term.events().record(EventType.TASK_STARTED, start.task().name(),
                "run " + start.run() + " on " + slot.id() + ": not sent, " + why);
        term.apply(effects);
        term.wake();
    }

    /** Nothing of the task runs; a gang of which one member is missing is stopped. */
    private static void release(Task task, Effects effects)
    {
        CellState.release(task, effects);
        if (task.step().spec().gang())
        {
            task.step().stopAll(effects);
        }
    }

    private void settleStart(Planner.Start start, CommandReply answer, boolean mayCome)
            throws InterruptedException
    {
        CommandResult result = answer.result();
        Task task = start.task();
        term.events().record(EventType.TASK_STARTED, task.name(),
                "run " + start.run() + " on " + slot.id() + ": " + result);
        if (result == CommandResult.FENCED)
        {
            term.onFenced(slot);
            return;
        }
        if (result == CommandResult.OTHER_LIFE)
        {
            term.onIncarnationChanged(slot);
            return;
        }
        if (result != CommandResult.DONE && mayCome)
        {
            stopInstead(start);
            return;
        }
        Effects effects = new Effects();
        synchronized (term.cellState())
        {
            long now = SteadyClock.nanos();
            slot.readClock(answer.clockMillis(), now);
            if (!task.isAt(slot, start.run()))
            {
                return;
            }
            if (result == CommandResult.DONE)
            {
                task.startAnswered(now);
                return;
            }
            refused(task, result, now, effects);
        }
        term.apply(effects);
        term.wake();
    }

    private void refused(Task task, CommandResult result, long now, Effects effects)
    {
        release(task, effects);
        if (result == CommandResult.BAD_TICKET)
        {
            term.adviceCache().drop(task.step(), slot);
        }
        else
        {
            slot.health().recordRefusal(now);
        }
    }

    /** Makes sure that a start that may still arrive can do nothing. */
    private void stopInstead(Planner.Start start) throws InterruptedException
    {
        Effects effects = new Effects();
        synchronized (term.cellState())
        {
            slot.health().recordRefusal(SteadyClock.nanos());
            if (isWanted(start))
            {
                effects.stop(start.task());
            }
        }
        for (Effects.Stop stop : effects.stops())
        {
            stops.send(stop);
        }
    }

    /** Lets tasks that fill the room of others work less or more. */
    void adjustSpeedLimits()
    {
        List<ThrottleController.Change> changes;
        synchronized (term.cellState())
        {
            changes = ThrottleController.adjust(slot, SteadyClock.nanos());
        }
        for (ThrottleController.Change change : changes)
        {
            term.events().record(EventType.TASK_PACED, change.task().name(),
                    "run " + change.run() + " on " + slot.id() + " to " + change.percent() + " %");
            OwnerTerm.inBackground("pace-" + change.task().name(), () -> pace(change));
        }
    }

    private void pace(ThrottleController.Change change) throws InterruptedException
    {
        for (int i = 0; i < START_TRIES; i++)
        {
            CommandReply answer = port.throttle(change.task().name(), change.run(), change.percent(),
                    term.lease().fence(), ORDER_MILLIS);
            if (answer.result().isSettled())
            {
                return;
            }
        }
    }
}
