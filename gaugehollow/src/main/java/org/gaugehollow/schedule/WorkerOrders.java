/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;

import org.gaugehollow.event.EventType;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.OrderAnswer;
import org.gaugehollow.worker.OrderResult;
import org.gaugehollow.worker.StartOrder;
import org.gaugehollow.worker.WorkerPort;

/**
 * The owner's starts and changes of pace on one life of a worker. Each start is sent until it is
 * known what became of it; one of which that cannot be known is stopped.
 */
final class WorkerOrders
{
    private static final int ORDER_MILLIS = 350;
    private static final int START_TRIES = 3;

    private final OwnerTerm term;
    private final WorkerSlot slot;
    private final WorkerPort port;
    private final StopOrders stops;

    WorkerOrders(OwnerTerm term, WorkerSlot slot, WorkerPort port)
    {
        this.term = term;
        this.slot = slot;
        this.port = port;
        this.stops = new StopOrders(term, slot, port);
    }

    /** The stops of runs on the worker. */
    StopOrders stops()
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
            StartOrder order = startOrder(start);
            if (order == null)
            {
                takeBack(start, mayCome);
                return;
            }
            OrderAnswer answer = port.start(order, ORDER_MILLIS);
            if (answer.result() == OrderResult.UNKNOWN)
            {
                mayCome = true;
                noteUnanswered(order);
            }
            else if (answer.result() != OrderResult.NOT_SENT)
            {
                settleStart(start, answer, mayCome);
                return;
            }
        }
        stopInstead(start);
    }

    private void noteUnanswered(StartOrder order)
    {
        synchronized (term.ledger())
        {
            term.ledger().slots().unansweredStarts().add(slot, order.task(), order.run(),
                    SteadyClock.nanos());
        }
        term.events().record(EventType.ORDER_UNANSWERED, order.task(), "start on " + slot.id());
    }

    /** The order for a start; null if it is no longer wanted or may not be sent. */
    private StartOrder startOrder(Planner.Start start)
    {
        synchronized (term.ledger())
        {
            if (!isWanted(start) || obstacle() != null)
            {
                return null;
            }
            Task task = start.task();
            task.sent();
            long deadline = slot.deadlineIn(WorkerSession.LEASE_MILLIS, SteadyClock.nanos());
            return new StartOrder(task.name(), start.run(), task.step().job().record().job().spec(), deadline,
                    term.lease().fence(), start.checkpoint(), newestTicket(start));
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
        return term.desk().ticket(start.task().step(), slot).orElse(start.ticket());
    }

    /**
     * Why no start may be sent to the worker now; null if one may. Called under the ledger's lock. The
     * room is looked at again, since it may have shrunk while the placement was being written: two
     * starts of four went over it.
     */
    private String obstacle()
    {
        if (!term.lease().mayOrder())
        {
            return "the term is not confirmed";
        }
        if (slot.isLapsing())
        {
            return "the worker is silent";
        }
        return slot.isOverfull() ? "the worker's room has shrunk" : null;
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
        synchronized (term.ledger())
        {
            return start.ticket() != null && term.desk().ticket(start.task().step(), slot).isEmpty();
        }
    }

    /**
     * Settles a start that may not be sent, or not once more. What stands against it may be over again,
     * and the task would stay placed for good.
     */
    private void takeBack(Planner.Start start, boolean mayCome) throws InterruptedException
    {
        String why;
        synchronized (term.ledger())
        {
            if (!isWanted(start) || term.lease().isOver())
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
        synchronized (term.ledger())
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
        Ledger.release(task, effects);
        if (task.step().spec().gang())
        {
            task.step().stopAll(effects);
        }
    }

    private void settleStart(Planner.Start start, OrderAnswer answer, boolean mayCome)
            throws InterruptedException
    {
        OrderResult result = answer.result();
        Task task = start.task();
        term.events().record(EventType.TASK_STARTED, task.name(),
                "run " + start.run() + " on " + slot.id() + ": " + result);
        if (result == OrderResult.FENCED)
        {
            term.fencedBy(slot);
            return;
        }
        if (result == OrderResult.OTHER_LIFE)
        {
            term.otherLife(slot);
            return;
        }
        if (result != OrderResult.DONE && mayCome)
        {
            stopInstead(start);
            return;
        }
        Effects effects = new Effects();
        synchronized (term.ledger())
        {
            long now = SteadyClock.nanos();
            slot.readClock(answer.clockMillis(), now);
            if (!task.isAt(slot, start.run()))
            {
                return;
            }
            if (result == OrderResult.DONE)
            {
                task.startAnswered(now);
                return;
            }
            refused(task, result, now, effects);
        }
        term.apply(effects);
        term.wake();
    }

    private void refused(Task task, OrderResult result, long now, Effects effects)
    {
        release(task, effects);
        if (result == OrderResult.BAD_TICKET)
        {
            term.desk().drop(task.step(), slot);
        }
        else
        {
            slot.health().refused(now);
        }
    }

    /** Makes sure that a start that may still arrive can do nothing. */
    private void stopInstead(Planner.Start start) throws InterruptedException
    {
        Effects effects = new Effects();
        synchronized (term.ledger())
        {
            slot.health().refused(SteadyClock.nanos());
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
    void adjustPaces()
    {
        List<PaceKeeper.Change> changes;
        synchronized (term.ledger())
        {
            changes = PaceKeeper.adjust(slot, SteadyClock.nanos());
        }
        for (PaceKeeper.Change change : changes)
        {
            term.events().record(EventType.TASK_PACED, change.task().name(),
                    "run " + change.run() + " on " + slot.id() + " to " + change.percent() + " %");
            OwnerTerm.inBackground("pace-" + change.task().name(), () -> pace(change));
        }
    }

    private void pace(PaceKeeper.Change change) throws InterruptedException
    {
        for (int i = 0; i < START_TRIES; i++)
        {
            OrderAnswer answer = port.pace(change.task().name(), change.run(), change.percent(),
                    term.lease().fence(), ORDER_MILLIS);
            if (answer.result().isSettled())
            {
                return;
            }
        }
    }
}
