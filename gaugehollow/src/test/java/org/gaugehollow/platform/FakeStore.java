/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** In-memory store with leases and watches that can lose answers or writes on demand. */
public class FakeStore implements PlatformStore
{
    /** Action that runs directly after a commit. */
    public interface Hook
    {
        void run() throws InterruptedException;
    }

    private final TreeMap<String, StoredValue> keys = new TreeMap<>();
    private final Map<String, Long> leases = new HashMap<>();
    private final Set<Long> revokedLeases = new HashSet<>();
    private final List<StoreChange> history = new ArrayList<>();
    private long lastLease;
    private long revision = 1;
    private int answersToLose;
    private int writesToLose;
    private int writesToHold;
    private int heldTimeoutMillis;
    private final List<StoreTransaction> heldWrites = new ArrayList<>();
    private int commits;
    private int largestTransaction;
    private boolean down;
    private boolean readsFail;
    private boolean watchesSuppressed;
    private Hook commitHook;
    private String hookPrefix = "";
    private String downAfterPrefix;
    private String rejectedPrefix;

    /** @param count number of following commits that are applied but fail */
    public void loseAnswers(int count)
    {
        answersToLose = count;
    }

    /** @param count number of following commits that fail without being applied */
    public void loseWrites(int count)
    {
        writesToLose = count;
    }

    /**
     * Holds back commits, which fail with an unknown outcome until {@link #deliverHeldWrites} applies
     * them.
     *
     * @param count number of following commits to hold back
     * @param millis time in milliseconds after which a held commit fails
     */
    public synchronized void holdWrites(int count, int millis)
    {
        writesToHold = count;
        heldTimeoutMillis = millis;
    }

    /** @return whether a commit is held back */
    public synchronized boolean hasHeldWrites()
    {
        return !heldWrites.isEmpty();
    }

    /** Applies the held writes whose conditions hold. */
    public synchronized void deliverHeldWrites() throws InterruptedException
    {
        List<StoreTransaction> arriving = List.copyOf(heldWrites);
        heldWrites.clear();
        for (StoreTransaction transaction : arriving)
        {
            if (conditionsHold(transaction))
            {
                apply(transaction.writes());
            }
        }
    }

    /** @param value whether watches report no changes although the store responds */
    public synchronized void suppressWatches(boolean value)
    {
        watchesSuppressed = value;
        notifyAll();
    }

    /** @param value whether reads fail while writes succeed */
    public synchronized void failReads(boolean value)
    {
        readsFail = value;
    }

    public void setDown(boolean value)
    {
        down = value;
    }

    /** @param prefix the store goes down after a key with this prefix was written */
    public synchronized void goDownAfterWriting(String prefix)
    {
        downAfterPrefix = prefix;
    }

    /**
     * @param prefix commits that write a key with this prefix fail without being applied; null for none
     */
    public synchronized void loseWritesTo(String prefix)
    {
        rejectedPrefix = prefix;
    }

    public void afterNextCommit(Hook hook)
    {
        afterNextCommitTo("", hook);
    }

    /**
     * @param prefix the prefix of a key
     * @param hook runs directly after the next commit that writes such a key
     */
    public synchronized void afterNextCommitTo(String prefix, Hook hook)
    {
        hookPrefix = prefix;
        commitHook = hook;
    }

    /** @return the number of conditions and writes of the largest transaction */
    public synchronized int largestTransaction()
    {
        return largestTransaction;
    }

    /** @return the number of applied commits */
    public int commits()
    {
        return commits;
    }

    private void checkAvailable()
    {
        if (down)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "the store is down");
        }
    }

    private void checkReadable()
    {
        checkAvailable();
        if (readsFail)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "reads fail");
        }
    }

    @Override
    public synchronized Optional<StoredValue> get(String key)
    {
        checkReadable();
        return Optional.ofNullable(keys.get(key));
    }

    @Override
    public synchronized StoreListing list(String prefix)
    {
        checkReadable();
        return new StoreListing(revision,
                new ArrayList<>(keys.values().stream().filter(v -> v.key().startsWith(prefix)).toList()));
    }

    @Override
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        if (holdWrite(transaction))
        {
            Thread.sleep(heldTimeoutMillis);
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN,
                    "timed out waiting for the answer");
        }
        return commitImmediately(transaction);
    }

    private synchronized boolean holdWrite(StoreTransaction transaction)
    {
        if (writesToHold == 0)
        {
            return false;
        }
        writesToHold--;
        heldWrites.add(transaction);
        return true;
    }

    private synchronized Optional<Long> commitImmediately(StoreTransaction transaction)
            throws InterruptedException
    {
        checkAvailable();
        largestTransaction = Math.max(largestTransaction,
                transaction.conditions().size() + transaction.writes().size());
        if (writesToLose > 0 || isRejected(transaction))
        {
            writesToLose = Math.max(0, writesToLose - 1);
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "the write was lost");
        }
        boolean satisfied = conditionsHold(transaction);
        if (satisfied)
        {
            apply(transaction.writes());
        }
        if (answersToLose > 0)
        {
            answersToLose--;
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "the answer was lost");
        }
        return satisfied ? Optional.of(revision) : Optional.empty();
    }

    private boolean conditionsHold(StoreTransaction transaction)
    {
        return transaction.conditions().stream().allMatch(
                c -> (keys.containsKey(c.key()) ? keys.get(c.key()).modRevision() : 0) == c.modRevision());
    }

    private boolean isRejected(StoreTransaction transaction)
    {
        return rejectedPrefix != null
                && transaction.writes().stream().anyMatch(w -> w.key().startsWith(rejectedPrefix));
    }

    private void apply(List<StoreTransaction.Write> writes) throws InterruptedException
    {
        revision++;
        commits++;
        for (StoreTransaction.Write write : writes)
        {
            down |= downAfterPrefix != null && write.key().startsWith(downAfterPrefix);
            boolean deleted = write.value() == null;
            history.add(new StoreChange(write.key(), write.value(), revision, deleted));
            if (deleted)
            {
                keys.remove(write.key());
            }
            else
            {
                keys.put(write.key(), new StoredValue(write.key(), write.value(), revision));
                leases.put(write.key(), write.lease());
            }
        }
        notifyAll();
        if (commitHook != null && writes.stream().anyMatch(w -> w.key().startsWith(hookPrefix)))
        {
            Hook hook = commitHook;
            int savedAnswersToLose = answersToLose;
            commitHook = null;
            answersToLose = 0;
            hook.run();
            answersToLose = savedAnswersToLose;
        }
    }

    @Override
    public synchronized long grantLease(int millis)
    {
        checkAvailable();
        lastLease++;
        return lastLease;
    }

    @Override
    public synchronized boolean renewLease(long lease)
    {
        checkAvailable();
        return !revokedLeases.contains(lease);
    }

    @Override
    public synchronized void revokeLease(long lease) throws InterruptedException
    {
        checkAvailable();
        revokedLeases.add(lease);
        List<StoreTransaction.Write> removals = new ArrayList<>();
        for (String key : keys.keySet())
        {
            if (leases.getOrDefault(key, 0L) == lease)
            {
                removals.add(new StoreTransaction.Write(key, null, 0));
            }
        }
        apply(removals);
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision)
    {
        checkAvailable();
        return new FakeWatch(prefix, fromRevision);
    }

    /** Reports the recorded changes in order. */
    private final class FakeWatch implements StoreWatch
    {
        private final String prefix;
        private long nextRevision;

        FakeWatch(String prefix, long fromRevision)
        {
            this.prefix = prefix;
            this.nextRevision = fromRevision;
        }

        @Override
        public List<StoreChange> poll(int timeoutMillis) throws InterruptedException
        {
            synchronized (FakeStore.this)
            {
                checkAvailable();
                List<StoreChange> found = changes();
                if (found.isEmpty())
                {
                    FakeStore.this.wait(timeoutMillis);
                    found = changes();
                }
                nextRevision = watchesSuppressed ? nextRevision : revision + 1;
                return found;
            }
        }

        private List<StoreChange> changes()
        {
            return watchesSuppressed
                    ? List.of()
                    : history.stream().filter(c -> c.revision() >= nextRevision && c.key().startsWith(prefix))
                            .toList();
        }

        @Override
        public void close()
        {
            nextRevision = Long.MAX_VALUE;
        }
    }

    @Override
    public void close()
    {
        down = true;
    }
}
