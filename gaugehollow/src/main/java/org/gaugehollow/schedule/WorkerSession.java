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
 * The owner's session with one worker incarnation. Sends heartbeats, which renew the lease of the
 * worker and acknowledge run ends after they have been stored.
 */
final class WorkerSession implements SupervisedTask, AutoCloseable
{
    /** Time for which runs continue without contact to the owner. */
    static final long LEASE_MILLIS = 6_000;

    /** Deadline in a heartbeat that leaves the lease unchanged. */
    private static final long KEEP_LEASE = 0;

    private static final int BUSY_WAIT_MILLIS = 700;
    private static final int IDLE_WAIT_MILLIS = 2_000;
    private static final int SHORT_WAIT_MILLIS = 500;
    private static final int HEARTBEAT_SLACK_MILLIS = 400;
    private static final int RETRY_DELAY_MILLIS = 150;
    private static final int WRITE_TIMEOUT_MILLIS = 400;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /**
     * Time after which a heartbeat counts as hung, far above its timeout and a short pause of the
     * process.
     */
    private static final long HUNG_HEARTBEAT_NANOS = 8_000 * NANOS_PER_MILLI;
    /** Value of {@link #openSinceNanos} while no heartbeat is open. */
    private static final long NOT_OPEN = Long.MIN_VALUE;

    private final OwnerTerm term;
    private final TrackedWorker worker;
    private final WorkerPort port;
    private final WorkerCommands commands;
    private CompletableFuture<Void> pendingWrites = CompletableFuture.completedFuture(null);
    private long lastAckedEnd;
    private long lastReadEnd;
    private boolean reachable = true;
    private boolean hasAnswered;
    /** Time at which the heartbeat was sent whose reply is awaited or being handled. */
    private volatile long openSinceNanos = NOT_OPEN;

    WorkerSession(OwnerTerm term, TrackedWorker worker, WorkerPort port)
    {
        this.term = term;
        this.worker = worker;
        this.port = port;
        this.commands = new WorkerCommands(term, worker, port);
    }

    /** Returns the commands for the worker. */
    WorkerCommands commands()
    {
        return commands;
    }

    @Override
    public void run() throws InterruptedException
    {
        // a restarted session must not renew the lease as if its last heartbeat had been answered
        if (openSinceNanos != NOT_OPEN)
        {
            recordUnanswered("unknown, since the session was restarted", false);
        }
        boolean hasEnded = false;
        while (!hasEnded && !term.lease().hasEnded())
        {
            hasEnded = sendHeartbeatIfConfirmed();
        }
    }

    /**
     * Sends one heartbeat if the term is confirmed; otherwise waits, since an unconfirmed term may be
     * confirmed again, for example after the process was paused.
     *
     * @return whether the session has ended
     */
    private boolean sendHeartbeatIfConfirmed() throws InterruptedException
    {
        if (term.lease().maySendCommands())
        {
            return sendHeartbeat();
        }
        Thread.sleep(RETRY_DELAY_MILLIS);
        return false;
    }

    /**
     * Sends one heartbeat.
     *
     * @return whether the session has ended
     */
    private boolean sendHeartbeat() throws InterruptedException
    {
        boolean hasPendingWrites = awaitWrites();
        HeartbeatRequest request = createRequest(hasPendingWrites);
        long sentNanos = SteadyClock.nanos();
        int timeoutMillis = request.waitMillis() + HEARTBEAT_SLACK_MILLIS;
        openSinceNanos = sentNanos;
        HeartbeatReply reply = port.heartbeat(request, timeoutMillis);
        boolean hasEnded = handleResult(reply, sentNanos, timeoutMillis);
        openSinceNanos = NOT_OPEN;
        return hasEnded;
    }

    /** Returns whether a heartbeat has been open for much longer than its timeout. */
    boolean isHung()
    {
        long openSince = openSinceNanos;
        return openSince != NOT_OPEN && SteadyClock.nanos() - openSince >= HUNG_HEARTBEAT_NANOS;
    }

    /** Handles the result of a heartbeat and returns whether the session has ended. */
    private boolean handleResult(HeartbeatReply reply, long sentNanos, int timeoutMillis)
            throws InterruptedException
    {
        switch (reply.result())
        {
            case DONE -> handleReply(reply, sentNanos);
            case FENCED -> {
                term.onFenced(worker);
                return true;
            }
            case OTHER_LIFE -> {
                term.onIncarnationChanged(worker);
                return true;
            }
            case NOT_SENT -> Thread.sleep(RETRY_DELAY_MILLIS);
            default -> {
                recordUnanswered(reply.result().toString(),
                        SteadyClock.nanos() - sentNanos < timeoutMillis * NANOS_PER_MILLI);
                if (isUnlistedAndIdle())
                {
                    term.onSessionEnded(worker);
                    return true;
                }
                Thread.sleep(RETRY_DELAY_MILLIS);
            }
        }
        return false;
    }

    private boolean isUnlistedAndIdle()
    {
        synchronized (term.cellState())
        {
            return worker.entry() == null && worker.isIdle();
        }
    }

    /**
     * Creates the next heartbeat. It renews the lease only if the previous heartbeat was answered.
     * Otherwise the end of the lease of a crashed worker would never be known, since any unanswered
     * heartbeat may have arrived.
     */
    private HeartbeatRequest createRequest(boolean hasPendingWrites)
    {
        synchronized (term.cellState())
        {
            long deadlineMillis = reachable
                    ? worker.extendDeadline(LEASE_MILLIS, term.lease().leaseBaseNanos())
                    : KEEP_LEASE;
            boolean isFirst = !worker.isLeaseHeld();
            return new HeartbeatRequest(term.lease().fence(), lastAckedEnd, deadlineMillis,
                    hasPendingWrites || isFirst ? 0 : waitMillis());
        }
    }

    /**
     * Returns how long the worker may delay its reply until a run ends. The wait is short while the
     * worker has orphan runs, whose stops may have been lost, or an isolated suspect, since nothing
     * else may start there.
     */
    private int waitMillis()
    {
        if (worker.hasOrphanRuns() || term.cellState().crashGuard().isolationWorkers().contains(worker)
                || ThrottleController.isShared(worker))
        {
            return SHORT_WAIT_MILLIS;
        }
        return worker.isIdle() ? IDLE_WAIT_MILLIS : BUSY_WAIT_MILLIS;
    }

    private void handleReply(HeartbeatReply reply, long sentNanos)
    {
        if (!hasAnswered)
        {
            hasAnswered = true;
            term.endOtherIncarnations(worker, sentNanos);
            commands.stopCommands().blockStartsForEarlierIncarnations();
        }
        boolean hasRecovered = !reachable;
        updateReachable(true, () -> "heartbeat result " + reply.result() + "; " + describeDifference(reply));
        long newestEnd = lastReadEnd;
        for (EndedRun end : reply.ended())
        {
            newestEnd = Math.max(newestEnd, end.number());
        }
        Effects effects;
        synchronized (term.cellState())
        {
            // Run ends that this session has read before are already being written.
            effects = term.cellState().applyHeartbeat(worker, reply, lastReadEnd, sentNanos);
        }
        if (hasRecovered)
        {
            term.onWorkerRecovered();
        }
        term.recordEnds(worker, reply, lastReadEnd);
        commands.adjustSpeedLimits();
        commands.stopOverdueStarts(sentNanos);
        commands.stopCommands().sendPending();
        CompletableFuture<Void> written = new CompletableFuture<>();
        term.apply(effects, () -> written.complete(null));
        pendingWrites = CompletableFuture.allOf(pendingWrites, written);
        lastReadEnd = newestEnd;
    }

    /**
     * Waits until the run ends that were read are stored.
     *
     * @return whether the wait timed out
     */
    private boolean awaitWrites() throws InterruptedException
    {
        try
        {
            pendingWrites.get(WRITE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            lastAckedEnd = lastReadEnd;
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

    private void updateReachable(boolean isReachable, Supplier<String> details)
    {
        if (isReachable != reachable)
        {
            reachable = isReachable;
            EventType type = isReachable ? EventType.WORKER_BACK : EventType.WORKER_OUT;
            term.events().record(type, worker.id(), details.get());
        }
    }

    /** Compares the state that a recovered worker reports with the tracked state. */
    private String describeDifference(HeartbeatReply reply)
    {
        String ends = reply.ended().isEmpty() ? "no ends" : "ends from " + reply.ended().getFirst().number();
        synchronized (term.cellState())
        {
            return "reported " + reply.running().size() + " runs and " + ends + " at " + reply.clockMillis()
                    + " by its clock; tracked " + worker.tasks().size() + " runs and ends up to "
                    + lastReadEnd + " at " + worker.clockMillis();
        }
    }

    private String describeLease()
    {
        synchronized (term.cellState())
        {
            long remainingMillis = (worker.leaseEndNanos() - SteadyClock.nanos()) / NANOS_PER_MILLI;
            return "the lease of its " + worker.tasks().size() + " runs expires in " + remainingMillis
                    + " ms";
        }
    }

    private void recordUnanswered(String result, boolean connectionBroken)
    {
        updateReachable(false, () -> "heartbeat result " + result + "; " + describeLease());
        synchronized (term.cellState())
        {
            worker.recordMissedHeartbeat(SteadyClock.nanos(), connectionBroken);
        }
    }

    @Override
    public void close()
    {
        port.close();
    }
}
