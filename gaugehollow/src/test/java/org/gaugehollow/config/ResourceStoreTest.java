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

/** Writes of operators whose answers are lost, in every order with other writes. */
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

    private ResultCode failure(Executable write)
    {
        return assertThrows(GaugehollowException.class, write).code();
    }

    @Test
    void aLostAnswerToAWriteThatWasAppliedIsSettledAsSuccess() throws Exception
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
    void aLostWriteThatWasNotAppliedIsMadeOnce() throws Exception
    {
        store.loseWrites(1);
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        assertThat(created.revision()).isGreaterThan(0L);
        assertThat(store.commits()).isEqualTo(1);
    }

    @Test
    void anotherOperatorsChangeBetweenTheLostAnswerAndTheQuestionIsToldApart() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        store.loseAnswers(1);
        store.afterNextCommit(() -> resources.put(NAME,
                Optional.of(store.get(StoreKeys.CONFIG + NAME).orElseThrow().modRevision()), spec(3)));
        ConfigEntry mine = resources.put(NAME, Optional.of(created.revision()), spec(2));
        assertThat(new String(mine.envelope(), StandardCharsets.UTF_8)).contains("\"value\":3");
    }

    @Test
    void ofTwoDeletionsWithALostAnswerOnlyOneSucceeds() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        store.loseWrites(1);
        store.afterNextCommit(null);
        ConfigEntry removed = resources.delete(NAME, created.revision());
        assertThat(removed.deleted()).isTrue();
        assertThat(failure(() -> resources.delete(NAME, created.revision())))
                .isEqualTo(ResultCode.RESOURCE_NOT_FOUND);
    }

    @Test
    void aStoreThatNeverSaysLeavesTheOutcomeOpen()
    {
        store.loseAnswers(100);
        assertThat(failure(() -> resources.put(NAME, Optional.empty(), spec(1))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    /** A store that goes down as soon as it has said that a condition does not hold. */
    private static FakeStore goingDownAfterAConflict()
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
     * The store applied a change and its answer was lost. The same write sent again met its own effect,
     * and the read that was to settle it was turned away. The operator was told that nothing was
     * changed, because the code of that read stood for the write.
     */
    @Test
    void aChangeThatCannotBeSettledIsNotToldAsNotMade() throws Exception
    {
        FakeStore failing = goingDownAfterAConflict();
        ResourceStore writes = new ResourceStore(failing, events);
        failing.loseAnswers(1);
        assertThat(failure(() -> writes.put(NAME, Optional.empty(), spec(1))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        failing.setDown(false);
        assertThat(failing.get(StoreKeys.CONFIG + NAME)).isPresent();
    }

    /** The same, for a removal. */
    @Test
    void aRemovalThatCannotBeSettledIsNotToldAsNotMade() throws Exception
    {
        FakeStore failing = goingDownAfterAConflict();
        ResourceStore writes = new ResourceStore(failing, events);
        ConfigEntry created = writes.put(NAME, Optional.empty(), spec(1));
        failing.loseAnswers(1);
        assertThat(failure(() -> writes.delete(NAME, created.revision())))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        failing.setDown(false);
        assertThat(failing.get(StoreKeys.CONFIG + NAME)).isEmpty();
    }

    /**
     * A change was applied and its answer was lost; then another operator removed the resource. Nothing
     * is left that holds the ids of its writes, and the first operator was told that the change was not
     * made.
     */
    @Test
    void aChangeOfAResourceThatIsGoneIsNotToldAsNotMade() throws Exception
    {
        ConfigEntry created = resources.put(NAME, Optional.empty(), spec(1));
        store.loseAnswers(1);
        store.afterNextCommit(
                () -> resources.delete(NAME, store.get(StoreKeys.CONFIG + NAME).orElseThrow().modRevision()));
        assertThat(failure(() -> resources.put(NAME, Optional.of(created.revision()), spec(2))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }

    @Test
    void aStoreThatCannotBeReachedLeavesEverythingAsItWas()
    {
        store.setDown(true);
        assertThat(failure(() -> resources.put(NAME, Optional.empty(), spec(1))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void anOldRevisionIsAConflictThatNamesTheNewOne() throws Exception
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
