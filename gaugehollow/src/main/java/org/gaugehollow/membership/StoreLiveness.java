/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The newest time at which the store is known to have answered any box of the hall: this one, or
 * one whose word reached it through peers. Each answer carries the box that got it and a number, so
 * that the same answer heard of again, over a slower way, never looks younger than it is. The time
 * never goes back to before an answer that is known. Thread-safe.
 */
public final class StoreLiveness
{
    /** The age that says that no answer is known. */
    public static final long NEVER = -1L;

    private static final long KEPT_NANOS = TimeUnit.HOURS.toNanos(1);

    /**
     * An answer of the store to one box.
     *
     * @param box the box that got it
     * @param number counts the answers that this box got
     * @param ageMillis how long ago that was, milliseconds
     */
    public record Contact(String box, long number, long ageMillis)
    {
        /** No answer is known. */
        public static final Contact NONE = new Contact("", 0, NEVER);
    }

    /** An answer and the latest time at which it can have been given. */
    private record Answer(long number, long at)
    {
    }

    private final String self;
    private final LongSupplier nanoTime;
    private final long startedAt;
    private final Map<String, Answer> answers = new HashMap<>();

    /**
     * @param self this box's id
     * @param nanoTime a monotonic clock
     */
    public StoreLiveness(String self, LongSupplier nanoTime)
    {
        this.self = self;
        this.nanoTime = nanoTime;
        this.startedAt = nanoTime.getAsLong() - TimeUnit.DAYS.toNanos(365);
    }

    /** The store answered this box just now. */
    public synchronized void recordContact()
    {
        Answer last = answers.get(self);
        answers.put(self, new Answer(last == null ? 1 : last.number() + 1, nanoTime.getAsLong()));
    }

    /**
     * A peer tells of an answer to itself or to a box it heard of.
     *
     * @param sighting the answer, its age as of when the peer sent its word
     * @return when that answer was given, at the latest, on the monotonic clock; the newest known time
     *         if the peer knows of none
     */
    public synchronized long merge(Contact sighting)
    {
        if (sighting.ageMillis() < 0)
        {
            return lastContactNanos();
        }
        long at = nanoTime.getAsLong() - TimeUnit.MILLISECONDS.toNanos(sighting.ageMillis());
        Answer known = answers.get(sighting.box());
        if (known == null || sighting.number() > known.number())
        {
            forgetLongPast();
            answers.put(sighting.box(), new Answer(sighting.number(), at));
            return at;
        }
        if (sighting.number() == known.number() && known.at() - at > 0)
        {
            answers.put(sighting.box(), new Answer(sighting.number(), at));
            return at;
        }
        return known.at();
    }

    /** @return when the store last answered anyone, as far as is known, on the monotonic clock */
    public synchronized long lastContactNanos()
    {
        return newest().map(entry -> entry.getValue().at()).orElse(startedAt);
    }

    /** @return the newest answer that is known, to tell peers of */
    public synchronized Contact lastContact()
    {
        return newest().map(entry -> new Contact(entry.getKey(), entry.getValue().number(),
                ageMillis(entry.getValue().at()))).orElse(Contact.NONE);
    }

    private Optional<Map.Entry<String, Answer>> newest()
    {
        return answers.entrySet().stream()
                .max(Comparator.comparingLong(entry -> entry.getValue().at() - startedAt));
    }

    private long ageMillis(long at)
    {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - at);
    }

    private void forgetLongPast()
    {
        long now = nanoTime.getAsLong();
        answers.values().removeIf(answer -> now - answer.at() > KEPT_NANOS);
    }
}
