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
 * Tracks the latest time at which the store is known to have answered any box of the data hall.
 * Each contact carries the box that had it and a sequence number, so that a contact received again
 * through another peer never appears newer than it is. Thread-safe.
 */
public final class StoreLiveness
{
    /** The age reported when no contact is known. */
    public static final long NEVER = -1L;

    private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

    /**
     * A contact of a box with the store.
     *
     * @param box the id of the box
     * @param number the sequence number of the contact on this box
     * @param ageMillis the age of the contact in milliseconds
     */
    public record Contact(String box, long number, long ageMillis)
    {
        /** No contact is known. */
        public static final Contact NONE = new Contact("", 0, NEVER);
    }

    /**
     * The newest known answer of the store to a box, with its latest possible time on the monotonic
     * clock.
     */
    private record Answer(long number, long at)
    {
    }

    private final String self;
    private final LongSupplier nanoTime;
    private final long originNanos;
    private final Map<String, Answer> contactsByBox = new HashMap<>();

    /**
     * @param self the id of this box
     * @param nanoTime a monotonic clock in nanoseconds
     */
    public StoreLiveness(String self, LongSupplier nanoTime)
    {
        this.self = self;
        this.nanoTime = nanoTime;
        this.originNanos = nanoTime.getAsLong() - TimeUnit.DAYS.toNanos(365);
    }

    /** Records that the store answered this box. */
    public synchronized void recordContact()
    {
        Answer last = contactsByBox.get(self);
        contactsByBox.put(self, new Answer(last == null ? 1 : last.number() + 1, nanoTime.getAsLong()));
    }

    /**
     * Merges a contact reported by a peer.
     *
     * @param contact the contact, with its age at the time of the report
     * @return the latest possible time of that contact on the monotonic clock, or of the newest known
     *         contact if the peer knows of none
     */
    public synchronized long merge(Contact contact)
    {
        if (contact.ageMillis() < 0)
        {
            return lastContactNanos();
        }
        long latestNanos = nanoTime.getAsLong() - TimeUnit.MILLISECONDS.toNanos(contact.ageMillis());
        Answer known = contactsByBox.get(contact.box());
        if (known == null || contact.number() > known.number())
        {
            evictOld();
            contactsByBox.put(contact.box(), new Answer(contact.number(), latestNanos));
            return latestNanos;
        }
        if (contact.number() == known.number() && known.at() - latestNanos > 0)
        {
            contactsByBox.put(contact.box(), new Answer(contact.number(), latestNanos));
            return latestNanos;
        }
        return known.at();
    }

    /** @return the time of the newest known store contact, on the monotonic clock */
    public synchronized long lastContactNanos()
    {
        return newestContact().map(entry -> entry.getValue().at()).orElse(originNanos);
    }

    /** @return the newest known store contact, as sent to peers */
    public synchronized Contact lastContact()
    {
        return newestContact().map(entry -> new Contact(entry.getKey(), entry.getValue().number(),
                ageMillis(entry.getValue().at()))).orElse(Contact.NONE);
    }

    private Optional<Map.Entry<String, Answer>> newestContact()
    {
        return contactsByBox.entrySet().stream()
                .max(Comparator.comparingLong(entry -> entry.getValue().at() - originNanos));
    }

    private long ageMillis(long nanos)
    {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - nanos);
    }

    private void evictOld()
    {
        long now = nanoTime.getAsLong();
        contactsByBox.values().removeIf(contact -> now - contact.at() > RETENTION_NANOS);
    }
}
