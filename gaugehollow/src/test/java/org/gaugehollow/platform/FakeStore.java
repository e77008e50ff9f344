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

/** A store in memory, with leases and watches, whose answers or writes get lost on demand. */
public class FakeStore implements PlatformStore
{
    /** Something that happens directly after a commit. */
    public interface Interruption
    {
        void run() throws InterruptedException;
    }

    private final TreeMap<String, StoredValue> keys = new TreeMap<>();
    private final Map<String, Long> leases = new HashMap<>();
    private final Set<Long> endedLeases = new HashSet<>();
    private final List<StoreChange> history = new ArrayList<>();
    private long lastLease;
    private long revision = 1;
    private int answersToLose;
    private int writesToLose;
    private int writesToHold;
    private int heldMillis;
    private final List<StoreTransaction> onTheWay = new ArrayList<>();
    private int commits;
    private int largestTransaction;
    private boolean down;
    private boolean readsFail;
    private boolean watchesSilent;
    private Interruption afterCommit;
    private String interruptedPrefix = "";
    private String lastWritten;
    private String refused;

    /** @param count so many next commits take effect and then fail */
    public void loseAnswers(int count)
    {
        answersToLose = count;
    }

    /** @param count so many next commits fail without effect */
    public void loseWrites(int count)
    {
        writesToLose = count;
    }

    /**
     * Keeps writes on the way: who sent them gets no answer, and they arrive with
     * {@link #deliverHeldWrites}.
     *
     * @param count so many next commits are held
     * @param millis how long their senders wait for an answer
     */
    public synchronized void holdWrites(int count, int millis)
    {
        writesToHold = count;
        heldMillis = millis;
    }

    /** The writes that were held arrive, each under its condition. */
    public synchronized void deliverHeldWrites() throws InterruptedException
    {
        List<StoreTransaction> arriving = List.copyOf(onTheWay);
        onTheWay.clear();
        for (StoreTransaction transaction : arriving)
        {
            if (holds(transaction))
            {
                apply(transaction.writes());
            }
        }
    }

    /** @param value whether watches hear nothing though the store answers */
    public synchronized void silenceWatches(boolean value)
    {
        watchesSilent = value;
        notifyAll();
    }

    /** @param value whether reads fail though writes do not */
    public synchronized void failReads(boolean value)
    {
        readsFail = value;
    }

    public void setDown(boolean value)
    {
        down = value;
    }

    /** @param prefix the store is down once a key that starts with it was written */
    public synchronized void goDownAfterWriting(String prefix)
    {
        lastWritten = prefix;
    }

    /** @param prefix commits that write a key that starts with it fail without effect; null for none */
    public synchronized void loseWritesOf(String prefix)
    {
        refused = prefix;
    }

    public void afterNextCommit(Interruption interruption)
    {
        afterNextCommitOf("", interruption);
    }

    /**
     * @param prefix the start of a key
     * @param interruption what happens directly after the next commit that writes such a key
     */
    public synchronized void afterNextCommitOf(String prefix, Interruption interruption)
    {
        interruptedPrefix = prefix;
        afterCommit = interruption;
    }

    /** @return how many conditions and writes the largest transaction held */
    public synchronized int largestTransaction()
    {
        return largestTransaction;
    }

    /** @return how many commits took effect */
    public int commits()
    {
        return commits;
    }

    private void checkUp()
    {
        if (down)
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "down");
        }
    }

    private void checkReadable()
    {
        checkUp();
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
        if (holdsBack(transaction))
        {
            Thread.sleep(heldMillis);
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "no answer in time");
        }
        return commitNow(transaction);
    }

    private synchronized boolean holdsBack(StoreTransaction transaction)
    {
        if (writesToHold == 0)
        {
            return false;
        }
        writesToHold--;
        onTheWay.add(transaction);
        return true;
    }

    private synchronized Optional<Long> commitNow(StoreTransaction transaction) throws InterruptedException
    {
        checkUp();
        largestTransaction = Math.max(largestTransaction,
                transaction.conditions().size() + transaction.writes().size());
        if (writesToLose > 0 || isRefused(transaction))
        {
            writesToLose = Math.max(0, writesToLose - 1);
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "lost on the way");
        }
        boolean holds = holds(transaction);
        if (holds)
        {
            apply(transaction.writes());
        }
        if (answersToLose > 0)
        {
            answersToLose--;
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "the answer was lost");
        }
        return holds ? Optional.of(revision) : Optional.empty();
    }

    private boolean holds(StoreTransaction transaction)
    {
        return transaction.conditions().stream().allMatch(
                c -> (keys.containsKey(c.key()) ? keys.get(c.key()).modRevision() : 0) == c.modRevision());
    }

    private boolean isRefused(StoreTransaction transaction)
    {
        return refused != null && transaction.writes().stream().anyMatch(w -> w.key().startsWith(refused));
    }

    private void apply(List<StoreTransaction.Write> writes) throws InterruptedException
    {
        revision++;
        commits++;
        for (StoreTransaction.Write write : writes)
        {
            down |= lastWritten != null && write.key().startsWith(lastWritten);
            boolean gone = write.value() == null;
            history.add(new StoreChange(write.key(), write.value(), revision, gone));
            if (gone)
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
        if (afterCommit != null && writes.stream().anyMatch(w -> w.key().startsWith(interruptedPrefix)))
        {
            Interruption once = afterCommit;
            int lose = answersToLose;
            afterCommit = null;
            answersToLose = 0;
            once.run();
            answersToLose = lose;
        }
    }

    @Override
    public synchronized long grantLease(int millis)
    {
        checkUp();
        lastLease++;
        return lastLease;
    }

    @Override
    public synchronized boolean renewLease(long lease)
    {
        checkUp();
        return !endedLeases.contains(lease);
    }

    @Override
    public synchronized void revokeLease(long lease) throws InterruptedException
    {
        checkUp();
        endedLeases.add(lease);
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
        checkUp();
        return new FakeWatch(prefix, fromRevision);
    }

    /** Reports the changes of the history, in order. */
    private final class FakeWatch implements StoreWatch
    {
        private final String prefix;
        private long next;

        FakeWatch(String prefix, long fromRevision)
        {
            this.prefix = prefix;
            this.next = fromRevision;
        }

        @Override
        public List<StoreChange> poll(int timeoutMillis) throws InterruptedException
        {
            synchronized (FakeStore.this)
            {
                checkUp();
                List<StoreChange> found = changes();
                if (found.isEmpty())
                {
                    FakeStore.this.wait(timeoutMillis);
                    found = changes();
                }
                next = watchesSilent ? next : revision + 1;
                return found;
            }
        }

        private List<StoreChange> changes()
        {
            return watchesSilent
                    ? List.of()
                    : history.stream().filter(c -> c.revision() >= next && c.key().startsWith(prefix))
                            .toList();
        }

        @Override
        public void close()
        {
            next = Long.MAX_VALUE;
        }
    }

    @Override
    public void close()
    {
        down = true;
    }
}
