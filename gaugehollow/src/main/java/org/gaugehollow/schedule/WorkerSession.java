/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.gaugehollow.event.EventType;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatRequest;
import org.gaugehollow.worker.WorkerPort;

/**
 * The owner's session with one life of a worker: it looks at the worker again and again, which
 * renews the worker's lease and takes note of ends once they are written.
 */
final class WorkerSession implements SupervisedTask, AutoCloseable
{
    /** How long the runs on a worker live on when nothing is heard from the owner, in milliseconds. */
    static final long LEASE_MILLIS = 6_000;

    /** In a look: leave the lease as it is. */
    private static final long LEAVE_LEASE = 0;

    private static final int BUSY_WAIT_MILLIS = 700;
    private static final int IDLE_WAIT_MILLIS = 2_000;
    private static final int SHORT_WAIT_MILLIS = 500;
    private static final int HOLD_SLACK_MILLIS = 400;
    private static final int RETRY_MILLIS = 150;
    private static final int RECORD_MILLIS = 400;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final OwnerTerm term;
    private final TrackedWorker slot;
    private final WorkerPort port;
    private final WorkerCommands orders;
    private CompletableFuture<Void> recording = CompletableFuture.completedFuture(null);
    private long lastSeen;
    private long recordingUpTo;
    private boolean reachable = true;
    private boolean answered;

    WorkerSession(OwnerTerm term, TrackedWorker slot, WorkerPort port)
    {
        this.term = term;
        this.slot = slot;
        this.port = port;
        this.orders = new WorkerCommands(term, slot, port);
    }

    /** The orders to the worker. */
    WorkerCommands orders()
    {
        return orders;
    }

    @Override
    public void run() throws InterruptedException
    {
        boolean ended = false;
        while (!ended && !term.lease().hasEnded())
        {
            ended = lookIfConfirmed();
        }
    }

    /**
     * Looks at the worker once; true when the session is over. A term that is not confirmed may be
     * confirmed again, as after a pause of the whole process, and then goes on with its workers.
     */
    private boolean lookIfConfirmed() throws InterruptedException
    {
        if (term.lease().maySendCommands())
        {
            return lookOnce();
        }
        Thread.sleep(RETRY_MILLIS);
        return false;
    }

    /** Looks at the worker once; true when the session is over. */
    private boolean lookOnce() throws InterruptedException
    {
        boolean blocked = awaitRecords();
        HeartbeatRequest order = holdOrder(blocked);
        long sentNanos = SteadyClock.nanos();
        int timeoutMillis = order.waitMillis() + HOLD_SLACK_MILLIS;
        HeartbeatReply answer = port.heartbeat(order, timeoutMillis);
        switch (answer.result())
        {
            case DONE -> took(answer, sentNanos);
            case FENCED -> {
                term.onFenced(slot);
                return true;
            }
            case OTHER_LIFE -> {
                term.onIncarnationChanged(slot);
                return true;
            }
            case NOT_SENT -> Thread.sleep(RETRY_MILLIS);
            default -> {
                noteReach(false, () -> "a look ended as " + answer.result() + "; " + leaseLeft());
                noteMiss(SteadyClock.nanos() - sentNanos < timeoutMillis * NANOS_PER_MILLI);
                if (isUnlistedAndIdle())
                {
                    term.onSessionEnded(slot);
                    return true;
                }
                Thread.sleep(RETRY_MILLIS);
            }
        }
        return false;
    }

    private boolean isUnlistedAndIdle()
    {
        synchronized (term.cellState())
        {
            return slot.entry() == null && slot.isIdle();
        }
    }

    /**
     * A look renews the worker's lease only if the one before was answered. Else the lease of a worker
     * that is gone would never be known to be over: each look may have arrived.
     */
    private HeartbeatRequest holdOrder(boolean blocked)
    {
        synchronized (term.cellState())
        {
            long deadline = reachable ? slot.deadlineIn(LEASE_MILLIS, SteadyClock.nanos()) : LEAVE_LEASE;
            boolean first = !slot.isLeaseHeld();
            return new HeartbeatRequest(term.lease().fence(), lastSeen, deadline,
                    blocked || first ? 0 : waitMillis());
        }
    }

    /**
     * How long a look may wait for an end. Runs that the owner does not know are looked for soon again:
     * where their stops got lost, they would go on for the long wait of an idle worker. Nothing else
     * begins on a worker while a suspect is on trial there, so that is looked at soon, too.
     */
    private int waitMillis()
    {
        if (slot.hasOrphanRuns() || term.cellState().crashGuard().isolationWorkers().contains(slot)
                || ThrottleController.isShared(slot))
        {
            return SHORT_WAIT_MILLIS;
        }
        return slot.isIdle() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    }

    private void took(HeartbeatReply answer, long sentNanos)
    {
        if (!answered)
        {
            answered = true;
            term.endOtherIncarnations(slot, sentNanos);
            orders.stops().blockStartsForEarlierIncarnations();
        }
        boolean isBack = !reachable;
        noteReach(true, () -> "a look ended as " + answer.result() + "; " + account(answer));
        long newest = recordingUpTo;
        for (EndedRun end : answer.ended())
        {
            newest = Math.max(newest, end.number());
        }
        Effects effects;
        synchronized (term.cellState())
        {
            // Ends that this session has read before are in its recording already.
            effects = term.cellState().applyHeartbeat(slot, answer, recordingUpTo, sentNanos);
        }
        if (isBack)
        {
            term.onWorkerRecovered();
        }
        term.logEnds(slot, answer, recordingUpTo);
        orders.adjustSpeedLimits();
        orders.stops().sendOpen();
        CompletableFuture<Void> written = new CompletableFuture<>();
        term.apply(effects, () -> written.complete(null));
        recording = CompletableFuture.allOf(recording, written);
        recordingUpTo = newest;
    }

    /** Waits until the ends are written; true if they still are not. */
    private boolean awaitRecords() throws InterruptedException
    {
        try
        {
            recording.get(RECORD_MILLIS, TimeUnit.MILLISECONDS);
            lastSeen = recordingUpTo;
            return false;
        }
        catch (TimeoutException e)
        {
            return true;
        }
        catch (ExecutionException e)
        {
            throw new IllegalStateException(e);
        }
    }

    private void noteReach(boolean now, Supplier<String> text)
    {
        if (now != reachable)
        {
            reachable = now;
            EventType type = now ? EventType.WORKER_BACK : EventType.WORKER_OUT;
            term.events().record(type, slot.id(), text.get());
        }
    }

    /** What a worker that is back shows beside what was known of it. */
    private String account(HeartbeatReply answer)
    {
        String ends = answer.ended().isEmpty()
                ? "no ends"
                : "ends from " + answer.ended().getFirst().number();
        synchronized (term.cellState())
        {
            return "it shows " + answer.running().size() + " runs and " + ends + " at " + answer.clockMillis()
                    + " of its clock, " + slot.tasks().size() + " runs and ends up to " + recordingUpTo
                    + " at " + slot.clockMillis() + " were known";
        }
    }

    private String leaseLeft()
    {
        synchronized (term.cellState())
        {
            long left = (slot.leaseEndNanos() - SteadyClock.nanos()) / NANOS_PER_MILLI;
            return "the lease of its " + slot.tasks().size() + " runs is over in " + left + " ms";
        }
    }

    private void noteMiss(boolean broken)
    {
        synchronized (term.cellState())
        {
            slot.recordMissedHeartbeat(SteadyClock.nanos(), broken);
        }
    }

    @Override
    public void close()
    {
        port.close();
    }
}
