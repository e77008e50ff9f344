/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** A store in memory whose answers or writes get lost on demand. */
public final class FakeStore implements PlatformStore
{
    /** Something that happens directly after a commit. */
    public interface Interruption
    {
        void run() throws InterruptedException;
    }

    private final TreeMap<String, StoredValue> keys = new TreeMap<>();
    private long revision = 1;
    private int answersToLose;
    private int writesToLose;
    private int commits;
    private boolean down;
    private Interruption afterCommit;

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

    public void setDown(boolean value)
    {
        down = value;
    }

    public void afterNextCommit(Interruption interruption)
    {
        afterCommit = interruption;
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

    @Override
    public Optional<StoredValue> get(String key)
    {
        checkUp();
        return Optional.ofNullable(keys.get(key));
    }

    @Override
    public StoreListing list(String prefix)
    {
        checkUp();
        return new StoreListing(revision,
                new ArrayList<>(keys.values().stream().filter(v -> v.key().startsWith(prefix)).toList()));
    }

    @Override
    public Optional<Long> commit(StoreTransaction transaction) throws InterruptedException
    {
        checkUp();
        if (writesToLose > 0)
        {
            writesToLose--;
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "lost on the way");
        }
        boolean holds = transaction.conditions().stream().allMatch(
                c -> (keys.containsKey(c.key()) ? keys.get(c.key()).modRevision() : 0) == c.modRevision());
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

    private void apply(List<StoreTransaction.Write> writes) throws InterruptedException
    {
        revision++;
        commits++;
        for (StoreTransaction.Write write : writes)
        {
            if (write.value() == null)
            {
                keys.remove(write.key());
            }
            else
            {
                keys.put(write.key(), new StoredValue(write.key(), write.value(), revision));
            }
        }
        if (afterCommit != null)
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
    public long grantLease(int seconds)
    {
        throw new UnsupportedOperationException("no leases here");
    }

    @Override
    public boolean renewLease(long lease)
    {
        throw new UnsupportedOperationException("no leases here");
    }

    @Override
    public void revokeLease(long lease)
    {
        throw new UnsupportedOperationException("no leases here");
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision)
    {
        throw new UnsupportedOperationException("no watches here");
    }

    @Override
    public void close()
    {
        down = true;
    }
}
