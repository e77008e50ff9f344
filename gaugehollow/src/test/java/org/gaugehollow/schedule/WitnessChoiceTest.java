/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

/** Guards against witnesses that a data hall loses when it is cut off. */
class WitnessChoiceTest
{
    private static final List<String> CANDIDATES = List.of("a", "b", "c", "d");
    private static final Map<String, Boolean> SAME_HALL = Map.of("a", false, "b", true, "c", true, "d",
            false);

    @Test
    void choosesOneInTheHallAndOneElsewhere()
    {
        assertThat(WitnessChoice.choose(List.of(), CANDIDATES, SAME_HALL)).containsExactly("b", "a")
                .inOrder();
    }

    @Test
    void keepsPresentWitnesses()
    {
        assertThat(WitnessChoice.choose(List.of("c", "d"), CANDIDATES, SAME_HALL)).containsExactly("c", "d")
                .inOrder();
    }

    @Test
    void replacesWitnessThatIsGone()
    {
        assertThat(WitnessChoice.choose(List.of("b", "a"), List.of("a", "c", "d"), SAME_HALL))
                .containsExactly("c", "a").inOrder();
    }

    @Test
    void boxesOfUnknownHallsAreNotChosen()
    {
        assertThat(WitnessChoice.choose(List.of(), CANDIDATES, Map.of("b", true))).containsExactly("b");
    }

    @Test
    void oneHallNeedsOneWitness()
    {
        assertThat(WitnessChoice.choose(List.of(), List.of("b", "c"), SAME_HALL)).containsExactly("b");
    }

    @Test
    void withoutABoxInTheHallThereIsNoWitness()
    {
        assertThat(WitnessChoice.choose(List.of("a"), List.of("a", "d"), SAME_HALL)).isEmpty();
    }
}
