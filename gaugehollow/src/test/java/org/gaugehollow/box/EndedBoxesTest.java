/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

/** Tests what registrations prove of the ends of boxes. */
class EndedBoxesTest
{
    private static final String ADDRESS = "127.0.0.1:1";

    private final EndedBoxes boxes = new EndedBoxes();

    @Test
    void newerProcessAtItsAddressProvesTheEndOfABox()
    {
        boxes.onRegistered("a~1", ADDRESS, 1, 10);
        boxes.onRegistered("a~2", ADDRESS, 2, 20);
        assertThat(boxes.endNanos("a~1")).isEqualTo(OptionalLong.of(20));
        assertThat(boxes.endNanos("a~2")).isEqualTo(OptionalLong.empty());
    }

    @Test
    void olderProcessListedLaterHasEnded()
    {
        boxes.onRegistered("a~2", ADDRESS, 2, 10);
        boxes.onRegistered("a~1", ADDRESS, 1, 20);
        assertThat(boxes.endNanos("a~1")).isEqualTo(OptionalLong.of(20));
        assertThat(boxes.endNanos("a~2")).isEqualTo(OptionalLong.empty());
    }

    @Test
    void firstProofOfAnEndIsKept()
    {
        boxes.onRegistered("a~1", ADDRESS, 1, 10);
        boxes.onRegistered("a~2", ADDRESS, 2, 20);
        boxes.onRegistered("a~3", ADDRESS, 3, 30);
        assertThat(boxes.endNanos("a~1")).isEqualTo(OptionalLong.of(20));
        assertThat(boxes.endNanos("a~2")).isEqualTo(OptionalLong.of(30));
    }

    /** Guards against two runs of a task, because a box that registers again counts as ended. */
    @Test
    void boxThatRegistersAgainHasNotEnded()
    {
        boxes.onRegistered("a~1", ADDRESS, 1, 10);
        boxes.onRegistered("a~1", ADDRESS, 2, 20);
        assertThat(boxes.endNanos("a~1")).isEqualTo(OptionalLong.empty());
    }

    @Test
    void boxAtAnotherAddressProvesNothing()
    {
        boxes.onRegistered("a~1", ADDRESS, 1, 10);
        boxes.onRegistered("b~1", "127.0.0.1:2", 2, 20);
        assertThat(boxes.endNanos("a~1")).isEqualTo(OptionalLong.empty());
        assertThat(boxes.endNanos("unknown")).isEqualTo(OptionalLong.empty());
    }
}
