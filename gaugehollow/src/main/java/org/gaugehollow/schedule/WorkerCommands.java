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
 * Sends start and throttle commands to one worker incarnation. A start is repeated until its
 * outcome is known; if the outcome remains unknown, the run is stopped.
 */
final class WorkerCommands
{
    private static final int COMMAND_TIMEOUT_MILLIS = 350;
    private static final int MAX_ATTEMPTS = 3;
    /** Time after which a start counts as unanswered even if an attempt has not returned. */
    private static final long START_TIMEOUT_NANOS = 3_000_000_000L;

    private final OwnerTerm term;
    private final TrackedWorker worker;
    private final WorkerPort port;
    private final StopCommands stopCommands;

    WorkerCommands(OwnerTerm term, TrackedWorker worker, WorkerPort port)
    {
        this.term = term;
        this.worker = worker;
        this.port = port;
        this.stopCommands = new StopCommands(term, worker, port);
    }

    /** Returns the stop commands for the worker. */
    StopCommands stopCommands()
    {
        return stopCommands;
    }

    /** Sends a start until its outcome is known or the attempts are exhausted. */
    void start(Planner.Start start) throws InterruptedException
    {
        if (hasTicketExpired(start))
        {
            revertStart(start, "its ticket has expired");
            return;
        }
        boolean mayArrive = false;
        for (int i = 0; i < MAX_ATTEMPTS; i++)
        {
            StartCommand command = createCommand(start);
            if (command == null)
            {
                handleUnsendableStart(start, mayArrive);
                return;
            }
            CommandReply reply = port.start(command, COMMAND_TIMEOUT_MILLIS);
            if (reply.result() == CommandResult.UNKNOWN)
            {
                mayArrive = true;
                recordUnanswered(command.task(), command.run(), "");
            }
            else if (reply.result() != CommandResult.NOT_SENT)
            {
                handleReply(start, reply, mayArrive);
                return;
            }
        }
        stopUncertainStart(start);
    }

    private void recordUnanswered(String task, int run, String details)
    {
        synchronized (term.cellState())
        {
            term.cellState().trackedWorkers().unansweredStarts().add(worker, task, run, SteadyClock.nanos());
        }
        term.events().record(EventType.ORDER_UNANSWERED, task, "start on " + worker.id() + details);
    }

    /**
     * Creates the command for a start, or returns null if the start is no longer pending or must not be
     * sent.
     */
    private StartCommand createCommand(Planner.Start start)
    {
        synchronized (term.cellState())
        {
            if (!isPending(start) || blockingReason() != null)
            {
                return null;
            }
            Task task = start.task();
            long nowNanos = SteadyClock.nanos();
            task.markSent(nowNanos);
            long deadlineMillis = worker.extendDeadline(WorkerSession.LEASE_MILLIS,
                    term.lease().leaseBaseNanos());
            return new StartCommand(task.name(), start.run(), task.step().job().record().job().spec(),
                    deadlineMillis, term.lease().fence(), start.checkpoint(), newestTicket(start));
        }
    }

    /**
     * Returns the newest ticket for a start. The one with which the start was decided may have expired
     * while its placement was written. Requires the lock of the cell state.
     */
    private String newestTicket(Planner.Start start)
    {
        if (start.ticket() == null)
        {
            return null;
        }
        return term.adviceCache().ticket(start.task().step(), worker).orElse(start.ticket());
    }

    /**
     * Returns the reason why no start may be sent to the worker now, or null if there is none. The
     * capacity is checked again because it may have shrunk while the placement was written. Requires
     * the lock of the cell state.
     */
    private String blockingReason()
    {
        if (!term.lease().maySendCommands())
        {
            return "the term is not confirmed";
        }
        if (worker.isLeaseExpiring())
        {
            return "the lease of the worker is not renewed";
        }
        return worker.isOvercommitted() ? "the capacity of the worker has shrunk" : null;
    }

    /** Returns whether the task is still to be started here. Requires the lock of the cell state. */
    private boolean isPending(Planner.Start start)
    {
        Task task = start.task();
        return task.isAt(worker, start.run()) && task.phase() == Task.Phase.ORDERED;
    }

    /** Returns whether the ticket of a start expired while its placement was written. */
    private boolean hasTicketExpired(Planner.Start start)
    {
        synchronized (term.cellState())
        {
            return start.ticket() != null && term.adviceCache().ticket(start.task().step(), worker).isEmpty();
        }
    }

    /**
     * Handles a start that must not be sent, or not be sent again. The reason may no longer hold, but
     * the start must be settled in any case or the task would stay placed.
     */
    private void handleUnsendableStart(Planner.Start start, boolean mayArrive) throws InterruptedException
    {
        String reason;
        synchronized (term.cellState())
        {
            if (!isPending(start) || term.lease().hasEnded())
            {
                return;
            }
            reason = blockingReason();
        }
        if (mayArrive)
        {
            stopUncertainStart(start);
            return;
        }
        revertStart(start, reason == null ? "temporarily blocked" : reason);
    }

    /** Reverts a start that was never sent, so that the task is placed again. */
    private void revertStart(Planner.Start start, String reason)
    {
        Effects effects = new Effects();
        synchronized (term.cellState())
        {
            if (!isPending(start))
            {
                return;
            }
            release(start.task(), effects);
        }
        term.events().record(EventType.TASK_STARTED, start.task().name(),
                "run " + start.run() + " on " + worker.id() + ": not sent, " + reason);
        term.apply(effects);
        term.wake();
    }

    /**
     * Releases a task that has no run. If one member of a gang is missing, the whole gang is stopped.
     */
    private static void release(Task task, Effects effects)
    {
        CellState.release(task, effects);
        effects.applyToState(task.step().job(), task.step().job()::requeueIfNotStarted);
        if (task.step().spec().gang())
        {
            task.step().stopAll(effects);
        }
    }

    private void handleReply(Planner.Start start, CommandReply reply, boolean mayArrive)
            throws InterruptedException
    {
        CommandResult result = reply.result();
        Task task = start.task();
        term.events().record(EventType.TASK_STARTED, task.name(),
                "run " + start.run() + " on " + worker.id() + ": " + result);
        if (result == CommandResult.FENCED)
        {
            term.onFenced(worker);
            return;
        }
        if (result == CommandResult.OTHER_LIFE)
        {
            term.onIncarnationChanged(worker);
            return;
        }
        if (result != CommandResult.DONE && mayArrive)
        {
            stopUncertainStart(start);
            return;
        }
        Effects effects = new Effects();
        synchronized (term.cellState())
        {
            long nowNanos = SteadyClock.nanos();
            worker.updateClock(reply.clockMillis(), nowNanos);
            if (!task.isAt(worker, start.run()))
            {
                return;
            }
            if (result == CommandResult.DONE)
            {
                effects.applyToState(task.step().job(), () -> task.onStartAnswered(nowNanos));
            }
            else
            {
                handleRefusal(task, result, nowNanos, effects);
            }
        }
        term.apply(effects);
        if (result != CommandResult.DONE)
        {
            term.wake();
        }
    }

    private void handleRefusal(Task task, CommandResult result, long nowNanos, Effects effects)
    {
        release(task, effects);
        if (result == CommandResult.BAD_TICKET)
        {
            term.adviceCache().discardTicket(task.step(), worker);
        }
        else
        {
            worker.health().recordRefusal(nowNanos);
        }
    }

    /** Stops a run whose start may still arrive. */
    private void stopUncertainStart(Planner.Start start) throws InterruptedException
    {
        Effects effects = new Effects();
        synchronized (term.cellState())
        {
            worker.health().recordRefusal(SteadyClock.nanos());
            if (isPending(start))
            {
                effects.stop(start.task());
            }
        }
        for (Effects.Stop stop : effects.stops())
        {
            stopCommands.send(stop);
        }
    }

    /**
     * Stops the starts whose attempts neither returned nor failed in time. Such a task would otherwise
     * stay placed for as long as the worker answers heartbeats.
     *
     * @param heartbeatNanos time at which the heartbeat was sent that did not list their runs
     */
    void stopOverdueStarts(long heartbeatNanos)
    {
        List<Task> overdue;
        synchronized (term.cellState())
        {
            overdue = worker.tasks().stream()
                    .filter(task -> task.isStartUnansweredFor(START_TIMEOUT_NANOS, heartbeatNanos)).toList();
            // StopCommands sends the stops that are pending after each heartbeat
            overdue.forEach(Task::markStopping);
        }
        overdue.forEach(task -> recordUnanswered(task.name(), task.run(), ": the call did not return"));
    }

    /** Adjusts the speed limits of best-effort tasks. */
    void adjustSpeedLimits()
    {
        List<ThrottleController.SpeedLimitChange> changes;
        synchronized (term.cellState())
        {
            changes = ThrottleController.adjust(worker, SteadyClock.nanos());
        }
        for (ThrottleController.SpeedLimitChange change : changes)
        {
            term.events().record(EventType.TASK_PACED, change.task().name(), "run " + change.run() + " on "
                    + worker.id() + ": speed limit " + change.percent() + " %");
            OwnerTerm.inBackground("pace-" + change.task().name(), () -> sendSpeedLimit(change));
        }
    }

    private void sendSpeedLimit(ThrottleController.SpeedLimitChange change) throws InterruptedException
    {
        for (int i = 0; i < MAX_ATTEMPTS && isCurrent(change); i++)
        {
            CommandReply reply = port.throttle(change.task().name(), change.run(), change.percent(),
                    term.lease().fence(), COMMAND_TIMEOUT_MILLIS);
            recordSpeedLimitReply(change, reply.result());
            if (reply.result().isSettled())
            {
                return;
            }
        }
    }

    /** Returns whether the limit is still wanted; an older one must not be sent after a newer one. */
    private boolean isCurrent(ThrottleController.SpeedLimitChange change)
    {
        synchronized (term.cellState())
        {
            return change.task().isAt(worker, change.run())
                    && change.task().speedLimitPercent() == change.percent();
        }
    }

    private void recordSpeedLimitReply(ThrottleController.SpeedLimitChange change, CommandResult result)
    {
        synchronized (term.cellState())
        {
            if (!change.task().isAt(worker, change.run()))
            {
                return;
            }
            SpeedLimitDelivery delivery = change.task().speedLimitDelivery();
            if (result == CommandResult.UNKNOWN)
            {
                delivery.onUnanswered(SteadyClock.nanos());
            }
            else if (result == CommandResult.DONE && isCurrent(change))
            {
                delivery.onAnswered();
            }
        }
    }
}
