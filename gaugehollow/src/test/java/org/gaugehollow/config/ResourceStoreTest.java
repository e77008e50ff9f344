/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.StoreTransaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

import com.fasterxml.jackson.databind.JsonNode;

/** Tests the reported outcome of writes whose answers are lost. */
class ResourceStoreTest
{
    private static final String NAME = "workloads/goal";
    private final FakeStore store = new FakeStore();
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final ResourceStore resources = new ResourceStore(store, events);

    private static JsonNode spec(int value)
    {
        return Json.mapper().createObjectNode().put("value", value);
    }

    private ResultCode codeOfFailure(Executable write)
    {
        return assertThrows(GaugehollowException.class, write).code();
    }

    @Test
    void appliedWriteWithLostAnswerSucceeds() throws Exception
    {
        store.loseAnswers(1);
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        assertThat(store.get(StoreKeys.CONFIG + NAME).orElseThrow().modRevision())
                .isEqualTo(created.revision());
        store.loseAnswers(2);
        ConfigEntry changed = resources.put(NAME, Optional.of(created.revision()), spec(2));
        assertThat(changed.revision()).isGreaterThan(created.revision());
    }

    @Test
    void lostWriteIsRetriedAndAppliedOnce() throws Exception
    {
        store.loseWrites(1);
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        assertThat(created.revision()).isGreaterThan(0L);
        assertThat(store.commits()).isEqualTo(1);
    }

    @Test
    void writeWithLostAnswerSucceedsAfterLaterChangeByAnotherOperator() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        store.loseAnswers(1);
        store.afterNextCommit(() -> resources.put(NAME,
                Optional.of(store.get(StoreKeys.CONFIG + NAME).orElseThrow().modRevision()), spec(3)));
        ConfigEntry settled = resources.put(NAME, Optional.of(created.revision()), spec(2));
        assertThat(new String(settled.envelope(), StandardCharsets.UTF_8)).contains("\"value\":3");
    }

    @Test
    void secondDeletionAfterLostWriteIsRejected() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        store.loseWrites(1);
        store.afterNextCommit(null);
        ConfigEntry removed = resources.delete(NAME, created.revision());
        assertThat(removed.deleted()).isTrue();
        assertThat(codeOfFailure(() -> resources.delete(NAME, created.revision())))
                .isEqualTo(ResultCode.RESOURCE_NOT_FOUND);
    }

    @Test
    void outcomeIsUnknownIfTheStoreNeverAnswers()
    {
        store.loseAnswers(100);
        assertThat(codeOfFailure(() -> resources.put(NAME, Optional.empty(), spec(1))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    /** Creates a store that becomes unavailable after the first failed condition. */
    private static FakeStore storeFailingAfterConflict()
    {
        return new FakeStore()
        {
            @Override
            public synchronized Optional<Long> commit(StoreTransaction transaction)
                    throws InterruptedException
            {
                Optional<Long> revision = super.commit(transaction);
                setDown(revision.isEmpty());
                return revision;
            }
        };
    }

    /**
     * Guards against reporting an applied change as not made because the read that should determine its
     * outcome failed.
     */
    @Test
    void changeWhoseOutcomeCannotBeReadIsUnknown() throws Exception
    {
        FakeStore failingStore = storeFailingAfterConflict();
        ResourceStore failingResources = new ResourceStore(failingStore, events);
        failingStore.loseAnswers(1);
        assertThat(codeOfFailure(() -> failingResources.put(NAME, Optional.empty(), spec(1))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        failingStore.setDown(false);
        assertThat(failingStore.get(StoreKeys.CONFIG + NAME)).isPresent();
    }

    /** Guards against reporting an applied deletion as not made because the read afterwards failed. */
    @Test
    void deletionWhoseOutcomeCannotBeReadIsUnknown() throws Exception
    {
        FakeStore failingStore = storeFailingAfterConflict();
        ResourceStore failingResources = new ResourceStore(failingStore, events);
        ConfigEntry created = failingResources.put(NAME, Optional.empty(), spec(1));
        failingStore.loseAnswers(1);
        assertThat(codeOfFailure(() -> failingResources.delete(NAME, created.revision())))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        failingStore.setDown(false);
        assertThat(failingStore.get(StoreKeys.CONFIG + NAME)).isEmpty();
    }

    /**
     * Guards against reporting an applied change as not made because the resource, and the write ids in
     * it, were deleted afterwards.
     */
    @Test
    void changeOfResourceThatWasDeletedSinceIsUnknown() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        store.loseAnswers(1);
        store.afterNextCommit(
                () -> resources.delete(NAME, store.get(StoreKeys.CONFIG + NAME).orElseThrow().modRevision()));
        assertThat(codeOfFailure(() -> resources.put(NAME, Optional.of(created.revision()), spec(2))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void unreachableStoreFailsAsUnavailable()
    {
        store.setDown(true);
        assertThat(codeOfFailure(() -> resources.put(NAME, Optional.empty(), spec(1))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void outdatedRevisionIsAConflictThatNamesTheCurrentOne() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        ConfigEntry changed = resources.put(NAME, Optional.of(created.revision()), spec(2));
        GaugehollowException conflict = assertThrows(GaugehollowException.class,
                () -> resources.put(NAME, Optional.of(created.revision()), spec(3)));
        assertThat(conflict.code()).isEqualTo(ResultCode.REVISION_CONFLICT);
        assertThat(conflict.getMessage()).contains(Long.toString(changed.revision()));
        assertThat(List.of(created, changed)).hasSize(2);
    }
}
