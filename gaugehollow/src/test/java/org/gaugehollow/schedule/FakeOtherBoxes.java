/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

import org.gaugehollow.time.SteadyClock;

/**
 * What the test tells of the other boxes; by default none is before this one, and none has ended.
 */
final class FakeOtherBoxes implements OtherBoxes
{
    /** Address of this box. */
    static final String ADDRESS = "127.0.0.1:1";

    private final Map<String, Long> ends = new ConcurrentHashMap<>();
    private final FakeWitnesses witnesses = new FakeWitnesses();
    private volatile boolean outranked;
    private volatile boolean longerRunning;

    void setOutranked(boolean value)
    {
        outranked = value;
    }

    void setLongerRunning(boolean value)
    {
        longerRunning = value;
    }

    /** Lets all terms of a box be over now. */
    void end(String box)
    {
        ends.put(box, SteadyClock.nanos());
    }

    @Override
    public boolean isOutranked(String excludedBox)
    {
        return outranked;
    }

    @Override
    public boolean isLongerRunning(String excludedBox)
    {
        return longerRunning;
    }

    @Override
    public FakeWitnesses witnesses()
    {
        return witnesses;
    }

    @Override
    public String ownAddress()
    {
        return ADDRESS;
    }

    @Override
    public OptionalLong termEndNanos(PreviousTerm term)
    {
        Long nanos = ends.get(term.box());
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }
}
