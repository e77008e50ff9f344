/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.urgency.StopCosts;

/** Elections on an in-memory platform. */
final class TestElections
{
    private static final int RETENTION_SECONDS = 60;

    private TestElections()
    {
    }

    /**
     * Starts the election of a box.
     *
     * @param box id of the box
     * @param platform the platform
     * @param config the configuration
     * @param monitor detects the failure of an owner
     * @param otherBoxes what the box knows of the others
     * @param supervisor runs the election and the terms of the box
     * @param events log of the box
     * @return the election
     */
    static OwnerElection start(String box, FakePlatform platform, CellConfig config, OwnerMonitor monitor,
            OtherBoxes otherBoxes, Supervisor supervisor, EventLog events)
    {
        OwnerElection election = new OwnerElection(box, platform, () -> config, monitor, otherBoxes,
                new AdviceDispatcher(platform.advice(), events), new WaitingFirstScore(0.5),
                StopCosts.DEFAULT, supervisor.child("owner"), RETENTION_SECONDS, events);
        supervisor.start("election", election);
        return election;
    }
}
