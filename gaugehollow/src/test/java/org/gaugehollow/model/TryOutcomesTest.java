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

/** Refusals of several tries, folded into what is told of the request. */
class TryOutcomesTest
{
    private static GaugehollowException failure(ResultCode code)
    {
        return new GaugehollowException(code, code.name());
    }

    @Test
    void aTryThatIsUnderWayKeepsTheRequestFromBeingToldAsNotRun()
    {
        TryOutcomes tries = new TryOutcomes();
        tries.begin();
        tries.begin();
        assertThat(tries.end(failure(ResultCode.STORE_UNAVAILABLE))).isEmpty();
        assertThat(tries.failure().code()).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(tries.end(failure(ResultCode.STORE_UNAVAILABLE)).orElseThrow().code())
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void aTryWithoutAClearEndDecidesWhileOthersAreUnderWay()
    {
        TryOutcomes tries = new TryOutcomes();
        tries.begin();
        tries.begin();
        assertThat(tries.end(failure(ResultCode.PEER_LOST)).orElseThrow().code())
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(tries.mayRun()).isTrue();
    }

    @Test
    void noTryBeginsAfterAnotherHasFailed()
    {
        TryOutcomes tries = new TryOutcomes();
        assertThat(tries.begin()).isTrue();
        assertThat(tries.begin()).isTrue();
        assertThat(tries.end(failure(ResultCode.STORE_UNAVAILABLE))).isEmpty();
        assertThat(tries.begin()).isFalse();
    }

    @Test
    void nothingIsToldBeforeATryIsOver()
    {
        TryOutcomes tries = new TryOutcomes();
        tries.begin();
        assertThrows(IllegalStateException.class, tries::failure);
    }

    /** Whatever the order of the tries, "not run" is told only if each of them says so. */
    @Property
    void notRunIsToldOnlyIfEveryTrySaysSo(@ForAll @Size(min = 1, max = 6) List<ResultCode> codes)
    {
        TryOutcomes tries = new TryOutcomes();
        codes.forEach(code -> tries.add(failure(code)));
        boolean unclear = codes.stream().anyMatch(code -> code.outcome() == Outcome.UNKNOWN);
        assertThat(tries.mayRun()).isEqualTo(unclear);
        assertThat(tries.failure().code().outcome() == Outcome.UNKNOWN).isEqualTo(unclear);
    }
}
