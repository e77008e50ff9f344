/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.Envelope;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Writes resources by compare-and-swap. If the answer to a write is lost, the same conditional
 * write is sent again until the store reports its outcome; it can take effect only once.
 */
public final class ResourceStore
{
    private static final int MAX_ATTEMPTS = 4;
    private static final long INITIAL_BACKOFF_MILLIS = 150;

    private final PlatformStore store;
    private final EventLog events;

    /**
     * @param store the platform's key-value service
     * @param events records writes whose lost outcome was determined
     */
    public ResourceStore(PlatformStore store, EventLog events)
    {
        this.store = store;
        this.events = events;
    }

    /**
     * Creates or changes a resource.
     *
     * @param name key relative to the configuration's prefix
     * @param expected expected current revision; empty to create the resource
     * @param spec new content
     * @return entry now in the store
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException {@code REVISION_CONFLICT}, {@code RESOURCE_NOT_FOUND},
     *             {@code STORE_UNAVAILABLE} if nothing was changed, {@code STORE_OUTCOME_UNKNOWN}
     *             otherwise
     */
    public ConfigEntry put(String name, Optional<Long> expected, JsonNode spec) throws InterruptedException
    {
        Optional<StoredValue> current = readExpected(name, expected);
        String writeId = UUID.randomUUID().toString();
        Envelope envelope = current.map(stored -> envelopeOf(stored.value()).next(writeId, spec))
                .orElseGet(() -> new Envelope(writeId, List.of(), spec));
        byte[] bytes = Json.write(envelope);
        StoreTransaction write = new StoreTransaction().require(StoreKeys.CONFIG + name, expected.orElse(0L))
                .put(StoreKeys.CONFIG + name, bytes);
        Optional<Long> revision = commitUntilAnswered(name, write, writeId);
        return revision.isPresent()
                ? new ConfigEntry(name, revision.get(), bytes, false)
                : resolvePutOutcome(name, writeId);
    }

    /**
     * Deletes a resource. The id of the write is stored under a separate key, so that the outcome can
     * be determined if the answer is lost.
     *
     * @param name key relative to the configuration's prefix
     * @param expected expected current revision
     * @return entry that marks the deletion
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException as {@link #put}
     */
    public ConfigEntry delete(String name, long expected) throws InterruptedException
    {
        readExpected(name, Optional.of(expected));
        String writeId = UUID.randomUUID().toString();
        StoreTransaction write = new StoreTransaction().require(StoreKeys.CONFIG + name, expected)
                .delete(StoreKeys.CONFIG + name)
                .put(StoreKeys.removal(name), writeId.getBytes(StandardCharsets.UTF_8));
        Optional<Long> revision = commitUntilAnswered(name, write, writeId);
        long removedAt = revision.isPresent() ? revision.get() : resolveDeleteOutcome(name, writeId);
        return new ConfigEntry(name, removedAt, new byte[0], true);
    }

    private Optional<StoredValue> readExpected(String name, Optional<Long> expected)
            throws InterruptedException
    {
        Optional<StoredValue> current = store.get(StoreKeys.CONFIG + name);
        if (expected.isPresent() && current.isEmpty())
        {
            throw new GaugehollowException(ResultCode.RESOURCE_NOT_FOUND, name + " does not exist");
        }
        long currentRevision = current.map(StoredValue::modRevision).orElse(0L);
        if (currentRevision != expected.orElse(0L))
        {
            throw conflict(name, currentRevision);
        }
        return current;
    }

    /** Returns the revision, or empty if an earlier attempt may have caused the condition to fail. */
    private Optional<Long> commitUntilAnswered(String name, StoreTransaction write, String writeId)
            throws InterruptedException
    {
        boolean maybeApplied = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++)
        {
            try
            {
                Optional<Long> revision = store.commit(write);
                if (revision.isEmpty() && !maybeApplied)
                {
                    throw conflict(name, currentRevision(name));
                }
                return revision;
            }
            catch (GaugehollowException e)
            {
                if (!isOutcomeUnknown(e, maybeApplied))
                {
                    throw e;
                }
                maybeApplied = true;
            }
            Thread.sleep(INITIAL_BACKOFF_MILLIS << attempt);
        }
        throw outcomeUnknown(name, writeId);
    }

    private static boolean isOutcomeUnknown(GaugehollowException e, boolean maybeApplied)
    {
        return switch (e.code())
        {
            case STORE_OUTCOME_UNKNOWN, STORE_BAD_ANSWER -> true;
            case STORE_UNAVAILABLE, STORE_BUDGET -> maybeApplied;
            default -> false;
        };
    }

    /**
     * Reads a key that shows whether a write was applied; if the read fails, the outcome is unknown.
     */
    private Optional<StoredValue> readForOutcome(String key, String name, String writeId)
            throws InterruptedException
    {
        try
        {
            return store.get(key);
        }
        catch (GaugehollowException e)
        {
            GaugehollowException exception = outcomeUnknown(name, writeId);
            exception.initCause(e);
            throw exception;
        }
    }

    /**
     * Returns the current entry if this write was applied, even if a later one followed. If the
     * resource no longer exists, the outcome is unknown: it may have been deleted before or after this
     * write.
     */
    private ConfigEntry resolvePutOutcome(String name, String writeId) throws InterruptedException
    {
        Optional<StoredValue> current = readForOutcome(StoreKeys.CONFIG + name, name, writeId);
        if (current.isEmpty())
        {
            throw outcomeUnknown(name, writeId);
        }
        boolean applied = envelopeOf(current.get().value()).hasApplied(writeId);
        recordOutcome(name, applied);
        if (!applied)
        {
            throw conflict(name, current.get().modRevision());
        }
        return new ConfigEntry(name, current.get().modRevision(), current.get().value(), false);
    }

    private long resolveDeleteOutcome(String name, String writeId) throws InterruptedException
    {
        Optional<StoredValue> removal = readForOutcome(StoreKeys.removal(name), name, writeId);
        boolean applied = removal.isPresent()
                && writeId.equals(new String(removal.get().value(), StandardCharsets.UTF_8));
        recordOutcome(name, applied);
        if (!applied)
        {
            throw conflict(name, currentRevision(name));
        }
        return removal.get().modRevision();
    }

    private void recordOutcome(String name, boolean applied)
    {
        events.record(EventType.CONFIG_WRITE_SETTLED, name,
                applied ? "the write was applied" : "another change was applied first");
    }

    private long currentRevision(String name) throws InterruptedException
    {
        return store.get(StoreKeys.CONFIG + name).map(StoredValue::modRevision).orElse(0L);
    }

    private static Envelope envelopeOf(byte[] bytes)
    {
        return Json.read(bytes, Envelope.class, ResultCode.STORE_BAD_ANSWER);
    }

    private static GaugehollowException outcomeUnknown(String name, String writeId)
    {
        return new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "the store did not report whether "
                + name + " was changed; read it before retrying (write id " + writeId + ")");
    }

    private static GaugehollowException conflict(String name, long currentRevision)
    {
        String state = currentRevision == 0 ? "it does not exist" : "its revision is " + currentRevision;
        return new GaugehollowException(ResultCode.REVISION_CONFLICT, name + " changed: " + state);
    }
}
