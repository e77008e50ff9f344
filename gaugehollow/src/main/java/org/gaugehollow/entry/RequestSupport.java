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
 * Dependencies shared by the classes that process requests.
 *
 * @param self the identity of this box
 * @param activeConfig the active configuration; holds null until one is known
 * @param assignmentMaps the assignment maps of the halls
 * @param rights the rights of this box
 * @param peers the peer monitor
 * @param directory the connections to peers
 * @param retryBudget the budget for retries
 * @param metrics the request metrics
 * @param events the event log
 */
record RequestSupport(BoxIdentity self, AtomicReference<ActiveConfig> activeConfig,
        AssignmentMaps assignmentMaps, Rights rights, PeerMonitor peers, PeerDirectory directory,
        RetryBudget retryBudget, Metrics metrics, EventLog events)
{
}
