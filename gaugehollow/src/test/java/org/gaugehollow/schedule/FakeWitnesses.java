/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.time.SteadyClock;

/** Other boxes as witnesses; those that were not added do not answer. */
final class FakeWitnesses implements Witnesses
{
    private final Map<String, Boolean> sameHall = new ConcurrentHashMap<>();
    private final Map<String, Long> earliestFences = new ConcurrentHashMap<>();
    private final Map<String, Long> lastVouches = new ConcurrentHashMap<>();
    private final Set<String> unregistered = ConcurrentHashMap.newKeySet();
    private final Set<String> silent = ConcurrentHashMap.newKeySet();

    void add(String address, boolean isInSameHall)
    {
        sameHall.put(address, isInSameHall);
    }

    /** Ends the registration of a box, which answers no more. */
    void remove(String address)
    {
        sameHall.remove(address);
    }

    /** Adds a box that answers but is not registered. */
    void addUnregistered(String address)
    {
        unregistered.add(address);
        sameHall.put(address, false);
    }

    void setSilent(String address, boolean value)
    {
        if (value)
        {
            silent.add(address);
        }
        else
        {
            silent.remove(address);
        }
    }

    /** Returns the monotonic time at which a box vouched last. */
    long lastVouchNanos(String address)
    {
        return lastVouches.get(address);
    }

    private boolean answers(String address)
    {
        return sameHall.containsKey(address) && !silent.contains(address);
    }

    @Override
    public List<String> candidates()
    {
        return sameHall.keySet().stream().filter(address -> !unregistered.contains(address)).toList();
    }

    @Override
    public synchronized Vouch vouch(String address, long fence)
    {
        if (!answers(address))
        {
            return Vouch.NONE;
        }
        boolean vouches = fence >= earliestFences.getOrDefault(address, 0L);
        if (vouches)
        {
            lastVouches.put(address, SteadyClock.nanos());
        }
        return new Vouch(true, vouches, sameHall.get(address));
    }

    @Override
    public synchronized OptionalLong endVouching(String address, long fence)
    {
        if (!answers(address))
        {
            return OptionalLong.empty();
        }
        earliestFences.merge(address, fence, Math::max);
        return OptionalLong.of(lastVouches.getOrDefault(address, Long.MIN_VALUE));
    }
}
