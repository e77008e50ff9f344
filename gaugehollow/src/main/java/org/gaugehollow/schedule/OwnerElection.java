/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
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

/**
 * Makes this box the cell's owner whenever there is none. The owner's key is tied to a lease, and
 * the revision of its write is the owner's fencing token.
 */
public final class OwnerElection implements SupervisedTask
{
    private static final int LEASE_MILLIS = 1_000;
    private static final int RENEW_MILLIS = 300;
    private static final int RETRY_MILLIS = 100;
    private static final int POLL_MILLIS = 2_000;
    private static final long NO_OWNER = 0;
    private static final String TERM_SEPARATOR = "/";
    private static final int MOST_JITTER_MILLIS = 30;
    /** How much longer a box waits that others outrank. */
    private static final int OUTRANKED_MILLIS = 400;
    /** How long a term lasts at least before it is handed to a box of higher rank. */
    private static final long SHORTEST_TERM_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final String NOBODY = "";

    /** How much longer a box waits than those that began later. */
    private static final int ELDER_MILLIS = 60;

    /** Compares this box with the others. */
    public interface Ranking
    {
        /**
         * @param except a box that does not count
         * @return whether another box is clearly more able to own the cell than this one
         */
        boolean isOutranked(String except);

        /**
         * While boxes are restarted one after the other, those that began last will stay longest.
         *
         * @param except a box that does not count
         * @return whether a box that can do about as much began later than this one
         */
        boolean isLongerRunning(String except);
    }

    private final String box;
    private final CellPlatform platform;
    private final Supplier<CellConfig> config;
    private final OwnerMonitor monitor;
    private final Ranking ranking;
    private final AdviceDispatcher lines;
    private final WorkerScore score;
    private final Supervisor supervisor;
    private final long retentionNanos;
    private final EventLog events;
    private volatile OwnerLease current;
    private volatile Optional<OwnerTerm> term = Optional.empty();
    private volatile String owner = NOBODY;
    private volatile boolean resigned;

    /**
     * @param box this box's id
     * @param platform the platform
     * @param config the newest configuration
     * @param monitor finds out early that an owner is dead
     * @param ranking tells whether other boxes should go first
     * @param lines the boxes' lines to the advice service
     * @param score the placement policy
     * @param supervisor parent of the owner's tasks
     * @param retentionSeconds how long a job is shown after it is over, in seconds
     * @param events where terms are recorded
     */
    public OwnerElection(String box, CellPlatform platform, Supplier<CellConfig> config, OwnerMonitor monitor,
            Ranking ranking, AdviceDispatcher lines, WorkerScore score, Supervisor supervisor,
            int retentionSeconds, EventLog events)
    {
        this.box = box;
        this.platform = platform;
        this.config = config;
        this.monitor = monitor;
        this.ranking = ranking;
        this.lines = lines;
        this.score = score;
        this.supervisor = supervisor;
        this.retentionNanos = TimeUnit.SECONDS.toNanos(retentionSeconds);
        this.events = events;
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
                    owner = boxOf(listing.values().getFirst());
                    takeOver(awaitEnd(listing));
                }
                else if (config.get().version() > 0)
                {
                    standWhereThereIsNoOwner();
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
     * Boxes that are not the first choice leave others some time; the condition of the write decides.
     */
    private void standWhereThereIsNoOwner() throws InterruptedException
    {
        int wait = headStartMillis(NOBODY);
        if (wait > 0)
        {
            Thread.sleep(wait);
            if (!platform.store().list(JobKeys.OWNER).values().isEmpty())
            {
                return;
            }
        }
        tryToOwn(NO_OWNER);
    }

    /** How long this box leaves to others that should go first. */
    private int headStartMillis(String except)
    {
        if (ranking.isOutranked(except))
        {
            return OUTRANKED_MILLIS;
        }
        return ranking.isLongerRunning(except) ? ELDER_MILLIS : 0;
    }

    /** Takes the cell from an owner that looks dead; nothing is to be done where its key changed. */
    private void takeOver(Optional<StoredValue> suspected) throws InterruptedException
    {
        Thread.sleep(ThreadLocalRandom.current().nextInt(MOST_JITTER_MILLIS));
        if (suspected.isPresent() && !resigned)
        {
            Thread.sleep(headStartMillis(boxOf(suspected.get())));
            tryToOwn(suspected.get().modRevision());
        }
    }

    /**
     * Waits until the owner's key changes or is gone, or until its owner looks dead; brings the key
     * only in the latter case.
     */
    private Optional<StoredValue> awaitEnd(StoreListing listing) throws InterruptedException
    {
        StoredValue key = listing.values().getFirst();
        CompletableFuture<Boolean> end = new CompletableFuture<>();
        Thread change = OwnerTerm.inBackground("owner-change", () -> awaitChange(listing.revision(), end));
        Thread suspicion = OwnerTerm.inBackground("owner-suspicion", () -> awaitSuspicion(key, end));
        try
        {
            return end.get() ? Optional.of(key) : Optional.empty();
        }
        catch (ExecutionException e)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, e.getMessage(), e);
        }
        finally
        {
            change.interrupt();
            suspicion.interrupt();
        }
    }

    private void awaitChange(long revision, CompletableFuture<Boolean> end) throws InterruptedException
    {
        try (StoreWatch watch = platform.store().watch(JobKeys.OWNER, revision + 1))
        {
            List<StoreChange> changes = List.of();
            while (changes.isEmpty() && !resigned)
            {
                changes = watch.poll(POLL_MILLIS);
            }
            end.complete(false);
        }
        catch (GaugehollowException e)
        {
            end.completeExceptionally(e);
        }
    }

    private void awaitSuspicion(StoredValue key, CompletableFuture<Boolean> end) throws InterruptedException
    {
        String owner = boxOf(key);
        String why = monitor.awaitSuspicion(owner, key.modRevision());
        events.record(EventType.OWNER_SUSPECTED, owner, "fence " + key.modRevision() + ": " + why);
        end.complete(true);
    }

    private static String boxOf(StoredValue ownerKey)
    {
        return new String(ownerKey.value(), StandardCharsets.UTF_8).replaceFirst(TERM_SEPARATOR + ".*", "");
    }

    /**
     * Tries to become the owner.
     *
     * @param replaced the revision of the key that is taken over, or {@link #NO_OWNER}
     */
    private void tryToOwn(long replaced) throws InterruptedException
    {
        PlatformStore store = platform.store();
        long storeLease = store.grantLease(LEASE_MILLIS);
        byte[] term = (box + TERM_SEPARATOR + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
        StoreTransaction write = new StoreTransaction().require(JobKeys.OWNER, replaced)
                .put(JobKeys.OWNER, term, storeLease).put(JobKeys.JOURNAL, term);
        long previousFence = replaced == NO_OWNER ? requireJournalAsItIs(write) : replaced;
        Optional<Long> revision;
        try
        {
            revision = HedgedCall.write(() -> store.commit(write));
        }
        catch (GaugehollowException e)
        {
            revision = Optional.empty();
        }
        if (revision.isEmpty())
        {
            revision = settle(term);
        }
        if (revision.isPresent())
        {
            serve(new OwnerLease(box, revision.get(), storeLease, previousFence));
        }
    }

    /**
     * Where there is no owner, the journal still names the term that ended last. The condition makes
     * sure that no other term begins and ends before this one.
     *
     * @param write the write that is to begin a term
     * @return the fencing token of the term that ended last
     */
    private long requireJournalAsItIs(StoreTransaction write) throws InterruptedException
    {
        Optional<StoredValue> journal = HedgedCall.read(() -> platform.store().get(JobKeys.JOURNAL));
        write.require(JobKeys.JOURNAL, journal.map(StoredValue::modRevision).orElse(0L));
        return journal.map(Journal::fenceOf).orElse(OwnerLease.UNKNOWN_FENCE);
    }

    /** Finds out whether a write without an answer, or one of two, made this box the owner. */
    private Optional<Long> settle(byte[] term) throws InterruptedException
    {
        Optional<StoredValue> owner = HedgedCall.read(() -> platform.store().get(JobKeys.OWNER));
        boolean mine = owner.isPresent() && Arrays.equals(owner.get().value(), term);
        return mine ? Optional.of(owner.get().modRevision()) : Optional.empty();
    }

    private void serve(OwnerLease lease) throws InterruptedException
    {
        current = lease;
        long begunNanos = SteadyClock.nanos();
        events.record(EventType.OWNER_BEGAN, box, "fence " + lease.fence());
        Supervisor tasks = supervisor.child("term-" + lease.fence());
        owner = box;
        try (OwnerTerm begun = new OwnerTerm(platform, lease, events, tasks, config, lines, score,
                retentionNanos))
        {
            term = Optional.of(begun);
            tasks.start("lease", () -> renewForever(lease));
            begun.begin();
            while (!lease.awaitEnd(RENEW_MILLIS))
            {
                if (!lease.maySendCommands())
                {
                    lease.end("the store has not confirmed the term for too long");
                }
                else if (SteadyClock.nanos() - begunNanos > SHORTEST_TERM_NANOS
                        && ranking.isOutranked(NOBODY))
                {
                    giveBack(lease, "a box of higher rank is there");
                }
            }
        }
        finally
        {
            term = Optional.empty();
            lease.end("the box stops");
            events.record(EventType.OWNER_ENDED, box, "fence " + lease.fence() + ": " + lease.reason());
        }
    }

    /** Renewals do not wait for each other, so that one lost or slow answer does not cost the lease. */
    private void renewForever(OwnerLease lease) throws InterruptedException
    {
        while (!lease.hasEnded())
        {
            OwnerTerm.inBackground("renew-" + lease.fence(), () -> renew(lease));
            Thread.sleep(RENEW_MILLIS);
        }
    }

    private void renew(OwnerLease lease) throws InterruptedException
    {
        try
        {
            if (platform.store().renewLease(lease.storeLease()))
            {
                lease.recordConfirmation();
            }
            else
            {
                lease.end("the store no longer knows the lease");
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LEASE_NOT_RENEWED, box, e.getMessage());
        }
    }

    /**
     * Gives ownership up at once and for good, so that another box takes over.
     *
     * @throws InterruptedException if the process stops
     */
    public void resign() throws InterruptedException
    {
        resigned = true;
        OwnerLease lease = current;
        if (lease == null || lease.hasEnded())
        {
            return;
        }
        giveBack(lease, "the box stops");
    }

    /** Ends the term and frees the owner's key, so that another box owns the cell at once. */
    private void giveBack(OwnerLease lease, String why) throws InterruptedException
    {
        lease.end(why);
        try
        {
            platform.store().revokeLease(lease.storeLease());
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.LEASE_NOT_RENEWED, box, "not given back: " + e.getMessage());
        }
    }

    /**
     * @return the box that owned the cell when this one last saw the owner's key; empty if none was
     *         seen
     */
    public String owner()
    {
        return owner;
    }

    /**
     * The record of a job was written; as the owner, this box makes sure that it hears of it.
     *
     * @param job the job's id
     */
    public void onJobWritten(String job)
    {
        term.ifPresent(begun -> begun.onJobWritten(job));
    }

    /**
     * A job was cancelled; as the owner, this box makes sure that it hears of it.
     *
     * @param job the job's id
     */
    public void onJobCancelled(String job)
    {
        term.ifPresent(begun -> begun.onJobCancelled(job));
    }

    /** @return how long ago the store confirmed this box's newest term, in milliseconds */
    public long unconfirmedMillis()
    {
        OwnerLease lease = current;
        return lease == null ? 0 : lease.unconfirmedMillis();
    }

    /** @return whether this box is the owner, as far as it knows */
    public boolean isOwner()
    {
        OwnerLease lease = current;
        return lease != null && !lease.hasEnded();
    }
}
