/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against advice that is requested so early that its tickets expire, or only once it is due.
 */
class PrefetchWindowTest
{
    @Test
    void callIsDueOnlyShortlyBeforeTheStepBegins()
    {
        assertThat(PrefetchWindow.isDue(3_000, 300, 2_500)).isFalse();
        assertThat(PrefetchWindow.isDue(500, 300, 2_500)).isTrue();
        assertThat(PrefetchWindow.isDue(0, 300, 2_500)).isTrue();
    }

    @Test
    void callIsNotDueIfItsTicketsExpireBeforeTheStepBegins()
    {
        assertThat(PrefetchWindow.isDue(500, 300, 400)).isFalse();
        assertThat(PrefetchWindow.isDue(500, 300, 450)).isTrue();
    }
}
