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

/** Guards against worker stand-ins that fail to start when the platform is slow to answer. */
class WorkerStandinStartTest
{
    /** Longer than the timeout of one registration call. */
    private static final long FROZEN_MILLIS = 3_500;

    @TempDir
    private Path directory;

    @Test
    void workerRetriesItsRegistrationUntilThePlatformAnswers() throws InterruptedException
    {
        try (TestProcess platform = new TestProcess("platform", directory,
                List.of("platform-standin", "--roster-lag-millis", "300")))
        {
            platform.freeze();
            Thread thaw = Thread.ofVirtual().start(() -> thawLater(platform));
            try (TestProcess worker = new TestProcess("w1", directory, List.of("worker-standin", "--platform",
                    platform.readyValue(), "--id", "w1", "--hall", "bole")))
            {
                assertThat(worker.isAlive()).isTrue();
                assertThat(worker.readyValue()).isNotEmpty();
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
