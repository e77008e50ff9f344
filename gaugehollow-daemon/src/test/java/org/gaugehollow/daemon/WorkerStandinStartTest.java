/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** How a worker's stand-in starts beside a platform that is slow to answer. */
class WorkerStandinStartTest
{
    /** Longer than the worker waits for one answer. */
    private static final long FROZEN_MILLIS = 3_500;

    @TempDir
    private Path directory;

    /**
     * Tests start many processes at once, and the worker's first call is often the first one that the
     * platform's stand-in ever serves. Where that took more than two seconds, the worker gave up and
     * the test failed at its start, while a real worker tells the platform of itself again and again.
     */
    @Test
    void aWorkerWhoseFirstCallsGetNoAnswerTellsOfItselfAgain() throws InterruptedException
    {
        try (TestProcess platform = new TestProcess("platform", directory,
                List.of("platform-standin", "--roster-lag-millis", "300")))
        {
            platform.freeze();
            Thread thaw = Thread.ofVirtual().start(() -> thawLater(platform));
            try (TestProcess worker = new TestProcess("w1", directory, List.of("worker-standin", "--platform",
                    platform.readyWord(), "--id", "w1", "--hall", "bole")))
            {
                assertThat(worker.isAlive()).isTrue();
                assertThat(worker.readyWord()).isNotEmpty();
            }
            finally
            {
                thaw.join();
            }
        }
    }

    private static void thawLater(TestProcess platform)
    {
        try
        {
            Thread.sleep(FROZEN_MILLIS);
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        platform.thaw();
    }
}
