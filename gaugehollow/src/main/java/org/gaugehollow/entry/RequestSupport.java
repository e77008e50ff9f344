/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.config.ActiveConfig;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.BoxIdentity;
import org.gaugehollow.membership.PeerMonitor;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.peer.PeerDirectory;

/**
 * What all parts of the request path share.
 *
 * @param self this box
 * @param activeConfig the resources in force
 * @param assignmentMaps the maps of the halls
 * @param rights this box's rights
 * @param peers the monitor of peers
 * @param directory the links to peers
 * @param retryBudget the budget of tries after "not run"
 * @param metrics counts requests
 * @param events the time line
 */
record RequestSupport(BoxIdentity self, AtomicReference<ActiveConfig> activeConfig,
        AssignmentMaps assignmentMaps, Rights rights, PeerMonitor peers, PeerDirectory directory,
        RetryBudget retryBudget, Metrics metrics, EventLog events)
{
}
