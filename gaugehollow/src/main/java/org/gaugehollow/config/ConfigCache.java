/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

import org.gaugehollow.model.ConfigEntry;

/**
 * Local copy of the configuration in force. Changes arrive from the store's watch, from peers and
 * from writes of this box; an entry is only replaced by one of a higher revision. Thread-safe.
 */
public final class ConfigCache
{
    /** Maximum number of changes kept for watchers and peers that lag behind. */
    public static final int HISTORY = 4096;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<String, ConfigEntry> entries = new TreeMap<>();
    private final Deque<ConfigEntry> history = new ArrayDeque<>();
    private final List<Consumer<List<ConfigEntry>>> listeners = new CopyOnWriteArrayList<>();
    private long revision;
    private long oldestKnownRevision;

    /**
     * @param listener called with the applied entries, in order, while the lock of this cache is held
     */
    public void addListener(Consumer<List<ConfigEntry>> listener)
    {
        listeners.add(listener);
    }

    /** @return revision up to which all changes are applied; 0 before the first */
    public long revision()
    {
        lock.lock();
        try
        {
            return revision;
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Applies a delta from the store or from a peer. A delta that is not newer is ignored.
     *
     * @param delta the delta
     */
    public void apply(ConfigDelta delta)
    {
        lock.lock();
        try
        {
            if (delta.revision() <= revision)
            {
                return;
            }
            List<ConfigEntry> applied = delta.full() ? applyFull(delta) : applyChanges(delta);
            revision = delta.revision();
            notifyListeners(applied);
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Applies a change made by this box before the store's watch delivers it.
     *
     * @param entry the change
     */
    public void applyOwn(ConfigEntry entry)
    {
        lock.lock();
        try
        {
            if (replaceIfNewer(entry))
            {
                notifyListeners(List.of(entry));
            }
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * @param from revision of another box
     * @return delta that leads to this box's revision; full if the changes are no longer kept
     */
    public ConfigDelta since(long from)
    {
        lock.lock();
        try
        {
            if (from >= oldestKnownRevision && from > 0)
            {
                return new ConfigDelta(revision, false, historyAfter(from));
            }
            return new ConfigDelta(revision, true,
                    entries.values().stream().filter(entry -> !entry.deleted()).toList());
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Waits for changes after a revision.
     *
     * @param from revision that the watcher has seen
     * @param timeoutNanos maximum time to wait, in nanoseconds
     * @return changes in order, an empty list after the timeout; empty if the changes are no longer
     *         kept
     * @throws InterruptedException if the thread is interrupted
     */
    public Optional<List<ConfigEntry>> awaitAfter(long from, long timeoutNanos) throws InterruptedException
    {
        lock.lock();
        try
        {
            long remainingNanos = timeoutNanos;
            while (from >= oldestKnownRevision && lastHistoryRevision() <= from && remainingNanos > 0)
            {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
            return from < oldestKnownRevision ? Optional.empty() : Optional.of(historyAfter(from));
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * @param name key relative to the configuration's prefix
     * @return the entry, if it is in force
     */
    public Optional<ConfigEntry> get(String name)
    {
        lock.lock();
        try
        {
            return Optional.ofNullable(entries.get(name)).filter(entry -> !entry.deleted());
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * @param prefix prefix of keys
     * @return entries in force whose keys start with the prefix, in order
     */
    public List<ConfigEntry> list(String prefix)
    {
        lock.lock();
        try
        {
            return entries.values().stream()
                    .filter(entry -> !entry.deleted() && entry.name().startsWith(prefix)).toList();
        }
        finally
        {
            lock.unlock();
        }
    }

    private List<ConfigEntry> applyChanges(ConfigDelta delta)
    {
        List<ConfigEntry> applied = new ArrayList<>();
        for (ConfigEntry entry : delta.entries())
        {
            if (entry.revision() <= revision)
            {
                continue;
            }
            history.addLast(entry);
            if (replaceIfNewer(entry))
            {
                applied.add(entry);
            }
        }
        while (history.size() > HISTORY)
        {
            oldestKnownRevision = history.removeFirst().revision();
        }
        return applied;
    }

    private List<ConfigEntry> applyFull(ConfigDelta delta)
    {
        List<ConfigEntry> applied = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ConfigEntry entry : delta.entries())
        {
            names.add(entry.name());
            if (replaceIfNewer(entry))
            {
                applied.add(entry);
            }
        }
        for (ConfigEntry current : new HashMap<>(entries).values())
        {
            boolean removed = !current.deleted() && !names.contains(current.name())
                    && current.revision() <= delta.revision();
            if (removed)
            {
                ConfigEntry removal = new ConfigEntry(current.name(), delta.revision(), new byte[0], true);
                entries.put(current.name(), removal);
                applied.add(removal);
            }
        }
        history.clear();
        oldestKnownRevision = delta.revision();
        return applied;
    }

    private boolean replaceIfNewer(ConfigEntry entry)
    {
        ConfigEntry current = entries.get(entry.name());
        if (current != null && current.revision() >= entry.revision())
        {
            return false;
        }
        entries.put(entry.name(), entry);
        return true;
    }

    private void notifyListeners(List<ConfigEntry> applied)
    {
        changed.signalAll();
        if (!applied.isEmpty())
        {
            listeners.forEach(listener -> listener.accept(applied));
        }
    }

    private long lastHistoryRevision()
    {
        return history.isEmpty() ? oldestKnownRevision : history.getLast().revision();
    }

    private List<ConfigEntry> historyAfter(long from)
    {
        return history.stream().filter(entry -> entry.revision() > from).toList();
    }
}
