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
 * The configuration in force on this box. An entry is only ever replaced by one of a higher
 * revision, whichever way it comes: from the store's watch, from a peer, or from a write made here.
 * Thread-safe.
 */
public final class ConfigCache
{
    /** How many changes are held for watches and for peers that lag. */
    public static final int HISTORY = 4096;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition advanced = lock.newCondition();
    private final Map<String, ConfigEntry> entries = new TreeMap<>();
    private final Deque<ConfigEntry> history = new ArrayDeque<>();
    private final List<Consumer<List<ConfigEntry>>> listeners = new CopyOnWriteArrayList<>();
    private long revision;
    private long historyFloor;

    /**
     * @param listener is told of the entries that came into force, in order, under the keeper's lock
     */
    public void addListener(Consumer<List<ConfigEntry>> listener)
    {
        listeners.add(listener);
    }

    /** @return every change up to this revision is in force here; 0 before the first */
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
     * Applies a delta from the store or from a peer; an older one changes nothing.
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
            announce(applied);
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Applies a change that this box made itself, ahead of the stream that will bring it again.
     *
     * @param entry the change
     */
    public void applyOwn(ConfigEntry entry)
    {
        lock.lock();
        try
        {
            if (replace(entry))
            {
                announce(List.of(entry));
            }
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * @param from the revision that another box has
     * @return what brings it to this box's revision
     */
    public ConfigDelta since(long from)
    {
        lock.lock();
        try
        {
            if (from >= historyFloor && from > 0)
            {
                return new ConfigDelta(revision, false, historyAfter(from));
            }
            return new ConfigDelta(revision, true,
                    entries.values().stream().filter(e -> !e.deleted()).toList());
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * Waits for changes after a revision.
     *
     * @param from the revision that the watcher has seen
     * @param nanos how long to wait
     * @return the changes in order; empty after the time; nothing at all if they are no longer held
     * @throws InterruptedException if the process stops
     */
    public Optional<List<ConfigEntry>> awaitAfter(long from, long nanos) throws InterruptedException
    {
        lock.lock();
        try
        {
            long left = nanos;
            while (from >= historyFloor && lastInHistory() <= from && left > 0)
            {
                left = advanced.awaitNanos(left);
            }
            return from < historyFloor ? Optional.empty() : Optional.of(historyAfter(from));
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * @param name a key below the configuration's prefix
     * @return its entry, if it is in force
     */
    public Optional<ConfigEntry> get(String name)
    {
        lock.lock();
        try
        {
            return Optional.ofNullable(entries.get(name)).filter(e -> !e.deleted());
        }
        finally
        {
            lock.unlock();
        }
    }

    /**
     * @param prefix the start of keys
     * @return the entries in force whose keys start with it, in order
     */
    public List<ConfigEntry> list(String prefix)
    {
        lock.lock();
        try
        {
            return entries.values().stream().filter(e -> !e.deleted() && e.name().startsWith(prefix))
                    .toList();
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
            if (replace(entry))
            {
                applied.add(entry);
            }
        }
        while (history.size() > HISTORY)
        {
            historyFloor = history.removeFirst().revision();
        }
        return applied;
    }

    private List<ConfigEntry> applyFull(ConfigDelta delta)
    {
        List<ConfigEntry> applied = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (ConfigEntry entry : delta.entries())
        {
            named.add(entry.name());
            if (replace(entry))
            {
                applied.add(entry);
            }
        }
        for (ConfigEntry held : new HashMap<>(entries).values())
        {
            boolean gone = !held.deleted() && !named.contains(held.name())
                    && held.revision() <= delta.revision();
            if (gone)
            {
                ConfigEntry removal = new ConfigEntry(held.name(), delta.revision(), new byte[0], true);
                entries.put(held.name(), removal);
                applied.add(removal);
            }
        }
        history.clear();
        historyFloor = delta.revision();
        return applied;
    }

    private boolean replace(ConfigEntry entry)
    {
        ConfigEntry held = entries.get(entry.name());
        if (held != null && held.revision() >= entry.revision())
        {
            return false;
        }
        entries.put(entry.name(), entry);
        return true;
    }

    private void announce(List<ConfigEntry> applied)
    {
        advanced.signalAll();
        if (!applied.isEmpty())
        {
            listeners.forEach(listener -> listener.accept(applied));
        }
    }

    private long lastInHistory()
    {
        return history.isEmpty() ? historyFloor : history.getLast().revision();
    }

    private List<ConfigEntry> historyAfter(long from)
    {
        return history.stream().filter(e -> e.revision() > from).toList();
    }
}
