/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;

import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/** Tests how failures of several attempts determine the outcome of the request. */
class TryOutcomesTest
{
    private static GaugehollowException failure(ResultCode code)
    {
        return new GaugehollowException(code, code.name());
    }

    @Test
    void outcomeIsUnknownWhileAnAttemptIsInProgress()
    {
        TryOutcomes attempts = new TryOutcomes();
        attempts.begin();
        attempts.begin();
        assertThat(attempts.end(failure(ResultCode.STORE_UNAVAILABLE))).isEmpty();
        assertThat(attempts.failure().code()).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(attempts.end(failure(ResultCode.STORE_UNAVAILABLE)).orElseThrow().code())
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void unknownOutcomeDecidesWhileOtherAttemptsAreInProgress()
    {
        TryOutcomes attempts = new TryOutcomes();
        attempts.begin();
        attempts.begin();
        assertThat(attempts.end(failure(ResultCode.PEER_LOST)).orElseThrow().code())
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(attempts.mayRun()).isTrue();
    }

    @Test
    void noAttemptBeginsAfterAnotherHasFailed()
    {
        TryOutcomes attempts = new TryOutcomes();
        assertThat(attempts.begin()).isTrue();
        assertThat(attempts.begin()).isTrue();
        assertThat(attempts.end(failure(ResultCode.STORE_UNAVAILABLE))).isEmpty();
        assertThat(attempts.begin()).isFalse();
    }

    @Test
    void failureIsIllegalBeforeAnAttemptEnds()
    {
        TryOutcomes attempts = new TryOutcomes();
        attempts.begin();
        assertThrows(IllegalStateException.class, attempts::failure);
    }

    /**
     * Guards against reporting "not run" although an attempt may have run, in any order of failures.
     */
    @Property
    void requestIsNotRunOnlyIfNoAttemptMayHaveRun(@ForAll @Size(min = 1, max = 6) List<ResultCode> codes)
    {
        TryOutcomes attempts = new TryOutcomes();
        codes.forEach(code -> attempts.add(failure(code)));
        boolean anyUnknown = codes.stream().anyMatch(code -> code.outcome() == Outcome.UNKNOWN);
        assertThat(attempts.mayRun()).isEqualTo(anyUnknown);
        assertThat(attempts.failure().code().outcome() == Outcome.UNKNOWN).isEqualTo(anyUnknown);
    }
}
