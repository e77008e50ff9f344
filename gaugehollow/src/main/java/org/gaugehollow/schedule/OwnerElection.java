/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.placement.WorkerScore;
import org.gaugehollow.platform.HedgedCall;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreChange;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoreWatch;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.urgency.StopCosts;

/**
 * Elects the cell's owner. This box acquires ownership when there is no owner or the owner is
 * suspected to be dead. The owner's key is tied to a lease, and the revision of its write is the
 * owner's fencing token.
 */
public final class OwnerElection implements SupervisedTask
{
    private static final int LEASE_MILLIS = 1_000;
    /** Interval at which the owner checks whether a higher-ranked box is available. */
    private static final int CHECK_MILLIS = 300;
    private static final int RETRY_MILLIS = 100;
    private static final int WATCH_POLL_MILLIS = 2_000;
    private static final long NO_OWNER_REVISION = 0;
    private static final String TERM_SEPARATOR = "/";
    private static final int MAX_JITTER_MILLIS = 30;
    /** Delay before an outranked box tries to acquire ownership. */
    private static final int OUTRANKED_DELAY_MILLIS = 400;
    /** Minimum duration of a term before ownership is released to a higher-ranked box. */
    private static final long MIN_TERM_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final String NO_BOX = "";

    /** Delay before a longer-running box tries to acquire ownership. */
    private static final int LONGER_RUNNING_DELAY_MILLIS = 60;

    private final String box;
    private final CellPlatform platform;
    private final Supplier<CellConfig> config;
    private final OwnerMonitor monitor;
    private final OtherBoxes otherBoxes;
    private final AdviceDispatcher adviceDispatcher;
    private final WorkerScore score;
    private final StopCosts stopCosts;
    private final StoppedWork stoppedWork;
    private final Supervisor supervisor;
    private final long retentionNanos;
    private final EventLog events;
    private final CopyStatistics copyStatistics = new CopyStatistics();
    private volatile OwnerLease currentLease;
    private volatile Optional<OwnerTerm> currentTerm = Optional.empty();
    private volatile String owner = NO_BOX;
    private volatile boolean resigned;

    /**
     * @param box id of this box
     * @param platform the platform
     * @param config supplier of the newest configuration
     * @param monitor detects an owner's failure before its lease ends
     * @param otherBoxes what this box knows of the others
     * @param adviceDispatcher dispatches calls to the advice service
     * @param score the placement policy
     * @param stopCosts what it costs to stop a run
     * @param supervisor parent of the owner's tasks
     * @param retentionSeconds time for which a finished job is kept, in seconds
     * @param events log for the events of terms
     */
    public OwnerElection(String box, CellPlatform platform, Supplier<CellConfig> config, OwnerMonitor monitor,
            OtherBoxes otherBoxes, AdviceDispatcher adviceDispatcher, WorkerScore score, StopCosts stopCosts,
            Supervisor supervisor, int retentionSeconds, EventLog events)
    {
        this.box = box;
        this.platform = platform;
        this.config = config;
        this.monitor = monitor;
        this.otherBoxes = otherBoxes;
        this.adviceDispatcher = adviceDispatcher;
        this.score = score;
        this.stopCosts = stopCosts;
        this.stoppedWork = new StoppedWork(stopCosts);
        this.supervisor = supervisor;
        this.retentionNanos = TimeUnit.SECONDS.toNanos(retentionSeconds);
        this.events = events;
    }

    /** @return the core-milliseconds lost by stops that this box decided, by label of the reason */
    public Map<String, Double> stoppedCoreMillis()
    {
        return stoppedWork.byLabel();
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!resigned)
        {
            try
            {
                StoreListing listing = HedgedCall.read(() -> platform.store().list(JobKeys.OWNER));
                if (!listing.values().isEmpty())
                {
                    StoredValue ownerKey = listing.values().getFirst();
                    owner = boxOf(ownerKey);
                    monitor.observe(owner, ownerKey.modRevision());
                    replaceSuspectedOwner(awaitOwnerChange(listing));
                }
                else if (config.get().version() > 0)
                {
                    acquireVacantOwnership();
                }
                else
                {
                    Thread.sleep(RETRY_MILLIS);
                }
            }
            catch (GaugehollowException e)
            {
                Thread.sleep(RETRY_MILLIS);
            }
        }
    }

    /**
     * Tries to acquire ownership while there is no owner. Lower-ranked boxes wait first; the condition
     * of the write decides between concurrent attempts.
     */
    private void acquireVacantOwnership() throws InterruptedException
    {
        int delayMillis = electionDelayMillis(NO_BOX);
        if (delayMillis > 0)
        {
            Thread.sleep(delayMillis);
            if (!platform.store().list(JobKeys.OWNER).values().isEmpty())
            {
                return;
            }
        }
        tryToAcquireOwnership(NO_OWNER_REVISION);
    }

    /** Returns the delay before this box tries to acquire ownership, in milliseconds. */
    private int electionDelayMillis(String excludedBox)
    {
        if (otherBoxes.isOutranked(excludedBox))
        {
            return OUTRANKED_DELAY_MILLIS;
        }
        return otherBoxes.isLongerRunning(excludedBox) ? LONGER_RUNNING_DELAY_MILLIS : 0;
    }

    /** Replaces a suspected owner. Has no effect if the owner's key has changed. */
    private void replaceSuspectedOwner(Optional<StoredValue> suspected) throws InterruptedException
    {
        Thread.sleep(ThreadLocalRandom.current().nextInt(MAX_JITTER_MILLIS));
        if (suspected.isPresent() && !resigned)
        {
            Thread.sleep(electionDelayMillis(boxOf(suspected.get())));
            tryToAcquireOwnership(suspected.get().modRevision());
        }
    }

    /**
     * Waits until the owner's key changes, or the owner is suspected to be dead. Returns the owner's
     * key only in the latter case.
     */
    private Optional<StoredValue> awaitOwnerChange(StoreListing listing) throws InterruptedException
    {
        StoredValue ownerKey = listing.values().getFirst();
        CompletableFuture<Boolean> isSuspected = new CompletableFuture<>();
        Thread keyWatcher = watchInBackground("owner-change", isSuspected,
                () -> awaitKeyChange(listing.revision(), isSuspected));
        Thread suspicionWatcher = watchInBackground("owner-suspicion", isSuspected,
                () -> awaitSuspicion(ownerKey, isSuspected));
        try
        {
            return isSuspected.get() ? Optional.of(ownerKey) : Optional.empty();
        }
        catch (ExecutionException e)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, e.getMessage(), e);
        }
        finally
        {
            keyWatcher.interrupt();
            suspicionWatcher.interrupt();
        }
    }

    /** Runs a watcher. Its failure ends the wait, so that the owner is not left unwatched. */
    private Thread watchInBackground(String name, CompletableFuture<Boolean> isSuspected,
            OwnerTerm.Interruptible watcher)
    {
        return OwnerTerm.inBackground(name, () ->
        {
            try
            {
                watcher.run();
            }
            catch (GaugehollowException e)
            {
                isSuspected.completeExceptionally(e);
            }
            catch (RuntimeException e)
            {
                events.record(EventType.SERVICE_FAILED, name, String.valueOf(e));
                isSuspected.completeExceptionally(e);
            }
        });
    }

    private void awaitKeyChange(long revision, CompletableFuture<Boolean> isSuspected)
            throws InterruptedException
    {
        try (StoreWatch watch = platform.store().watch(JobKeys.OWNER, revision + 1))
        {
            List<StoreChange> changes = List.of();
            while (changes.isEmpty() && !resigned)
            {
                changes = watch.poll(WATCH_POLL_MILLIS);
            }
            isSuspected.complete(false);
        }
    }

    private void awaitSuspicion(StoredValue ownerKey, CompletableFuture<Boolean> isSuspected)
            throws InterruptedException
    {
        String suspectedBox = boxOf(ownerKey);
        String reason = monitor.awaitSuspicion(suspectedBox, ownerKey.modRevision());
        events.record(EventType.OWNER_SUSPECTED, suspectedBox,
                "fence " + ownerKey.modRevision() + ": " + reason);
        isSuspected.complete(true);
    }

    private static String boxOf(StoredValue ownerKey)
    {
        return new String(ownerKey.value(), StandardCharsets.UTF_8).replaceFirst(TERM_SEPARATOR + ".*", "");
    }

    /**
     * Tries to acquire ownership and, on success, serves the term.
     *
     * @param replacedRevision revision of the replaced owner's key, or {@link #NO_OWNER_REVISION}
     */
    private void tryToAcquireOwnership(long replacedRevision) throws InterruptedException
    {
        PlatformStore store = platform.store();
        FutureTask<Long> leaseGrant = new FutureTask<>(() -> store.grantLease(LEASE_MILLIS));
        Thread.ofVirtual().name("owner-lease").start(leaseGrant);
        Optional<StoredValue> journal = HedgedCall.read(() -> store.get(JobKeys.JOURNAL));
        PreviousTerm previousTerm = PreviousTerm.read(journal, replacedRevision);
        long storeLease = await(leaseGrant);
        byte[] termId = (box + TERM_SEPARATOR + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
        StoreTransaction transaction = new StoreTransaction().require(JobKeys.OWNER, replacedRevision)
                .put(JobKeys.OWNER, termId, storeLease).put(JobKeys.JOURNAL,
                        Json.write(JournalMark.first(box, otherBoxes.ownAddress(), previousTerm.bounded())));
        if (replacedRevision == NO_OWNER_REVISION)
        {
            // Without an owner, only the journal ensures that no other term begins and ends before this one.
            transaction.require(JobKeys.JOURNAL, journal.map(StoredValue::modRevision).orElse(0L));
        }
        long sentNanos = SteadyClock.nanos();
        Optional<Long> revision;
        try
        {
            revision = HedgedCall.write(() -> store.commit(transaction));
        }
        catch (GaugehollowException e)
        {
            revision = Optional.empty();
        }
        if (revision.isEmpty())
        {
            sentNanos = SteadyClock.nanos();
            revision = findOwnRevision(termId);
        }
        if (revision.isPresent())
        {
            serveTerm(new OwnerLease(box, revision.get(), storeLease, previousTerm.fence(), sentNanos),
                    previousTerm);
        }
    }

    private static <T> T await(FutureTask<T> call) throws InterruptedException
    {
        try
        {
            return call.get();
        }
        catch (ExecutionException e)
        {
            throw e.getCause() instanceof GaugehollowException failure
                    ? failure
                    : new IllegalStateException(e.getCause());
        }
    }

    /**
     * Returns the revision of the owner's key if this term wrote it. Resolves writes whose outcome is
     * unknown.
     */
    private Optional<Long> findOwnRevision(byte[] termId) throws InterruptedException
    {
        Optional<StoredValue> ownerKey = HedgedCall.read(() -> platform.store().get(JobKeys.OWNER));
        boolean isOwn = ownerKey.isPresent() && Arrays.equals(ownerKey.get().value(), termId);
        return isOwn ? Optional.of(ownerKey.get().modRevision()) : Optional.empty();
    }

    private void serveTerm(OwnerLease lease, PreviousTerm previousTerm) throws InterruptedException
    {
        currentLease = lease;
        long startNanos = SteadyClock.nanos();
        events.record(EventType.OWNER_BEGAN, box, "fence " + lease.fence());
        Supervisor termSupervisor = supervisor.child("term-" + lease.fence());
        owner = box;
        EarlierLeases earlierLeases = new EarlierLeases(previousTerm, otherBoxes, lease.fence());
        events.record(EventType.EARLIER_TERM, box, earlierLeases.describe());
        try (OwnerTerm newTerm = new OwnerTerm(platform, lease, earlierLeases, otherBoxes.witnesses(), events,
                termSupervisor, config, adviceDispatcher, score, stopCosts, stoppedWork, copyStatistics,
                retentionNanos))
        {
            currentTerm = Optional.of(newTerm);
            TermKeepAlive keepAlive = new TermKeepAlive(platform.store(), lease, events);
            termSupervisor.start("lease", keepAlive::renewPeriodically);
            termSupervisor.start("ownership", keepAlive::confirmPeriodically);
            newTerm.begin();
            while (!lease.awaitEnd(CHECK_MILLIS))
            {
                if (SteadyClock.nanos() - startNanos > MIN_TERM_NANOS && otherBoxes.isOutranked(NO_BOX))
                {
                    releaseOwnership(lease, "a higher-ranked box is available");
                }
            }
        }
        finally
        {
            currentTerm = Optional.empty();
            lease.end("box is stopping");
            events.record(EventType.OWNER_ENDED, box, "fence " + lease.fence() + ": " + lease.endReason());
        }
    }

    /**
     * Releases ownership permanently, so that another box takes over at once.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void resign() throws InterruptedException
    {
        resigned = true;
        OwnerLease lease = currentLease;
        if (lease == null || lease.hasEnded())
        {
            return;
        }
        releaseOwnership(lease, "box is stopping");
    }

    /**
     * Ends a term of this box because another box has replaced it.
     *
     * @param fence fencing token of the term
     * @return whether this box certainly sends no more commands of that term; false if it doesn't know
     *         the term yet
     */
    public boolean endReplacedTerm(long fence)
    {
        OwnerLease lease = currentLease;
        if (lease == null || lease.fence() < fence)
        {
            return false;
        }
        if (lease.fence() == fence)
        {
            lease.end("another box replaced it");
        }
        return true;
    }

    /** Ends the term and deletes the owner's key, so that another box can acquire ownership at once. */
    private void releaseOwnership(OwnerLease lease, String reason) throws InterruptedException
    {
        lease.end(reason);
        try
        {
            platform.store().revokeLease(lease.storeLease());
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LEASE_NOT_RENEWED, box, "lease not revoked: " + e.getMessage());
        }
    }

    /**
     * Returns the last known owner.
     *
     * @return id of the box named by the owner's key when it was last read; empty if none was read
     */
    public String owner()
    {
        return owner;
    }

    /**
     * Notifies the current term, if this box is the owner, that a job record was written.
     *
     * @param job id of the job
     */
    public void onJobWritten(String job)
    {
        currentTerm.ifPresent(ownerTerm -> ownerTerm.onJobWritten(job));
    }

    /**
     * Notifies the current term, if this box is the owner, that a job was cancelled.
     *
     * @param job id of the job
     */
    public void onJobCancelled(String job)
    {
        currentTerm.ifPresent(ownerTerm -> ownerTerm.onJobCancelled(job));
    }

    /**
     * Returns the time since the last call was sent with which the store confirmed this box's newest
     * term.
     *
     * @return time in milliseconds, or 0 if this box was never the owner
     */
    public long unconfirmedMillis()
    {
        OwnerLease lease = currentLease;
        return lease == null ? 0 : lease.unconfirmedMillis();
    }

    /**
     * Returns the time since the store last answered a renewal of this box's newest term.
     *
     * @return time in milliseconds, or 0 if this box was never the owner
     */
    public long unrenewedMillis()
    {
        OwnerLease lease = currentLease;
        return lease == null ? 0 : lease.unrenewedMillis();
    }

    /** @return the counts of copies over all terms of this box */
    public CopyStatistics copyStatistics()
    {
        return copyStatistics;
    }

    /** @return what the current term knows of the cell; nothing if this box is not the owner */
    public TermStatus status()
    {
        return currentTerm.map(OwnerTerm::status).orElse(TermStatus.NONE);
    }

    /** @return whether this box is the owner, as far as it knows */
    public boolean isOwner()
    {
        OwnerLease lease = currentLease;
        return lease != null && !lease.hasEnded();
    }
}
