/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.time.SteadyClock;

/**
 * Observes the cell after each planning round and reports it: why tasks wait, which customers are
 * held back, how fast the workers are and how much work waits.
 */
final class TermReports
{
    /**
     * What is to be logged of a planning round.
     *
     * @param nanos monotonic time of the observation, in nanoseconds
     * @param atQuota details by customer whose work waits for its quota
     * @param heldBack details by customer that is held back by its share
     * @param waiting the waiting tasks, if they were scanned
     * @param outlooks the jobs that can no longer be in time
     */
    record Observation(long nanos, Map<String, String> atQuota, Map<String, String> heldBack,
            Optional<List<WaitingGroup>> waiting, List<OutlookMonitor.Worsened> outlooks)
    {
    }

    private final CellState cellState;
    private final Planner planner;
    private final SpeedReport speedReport;
    private final CustomerWaitMonitor quotaMonitor;
    private final CustomerWaitMonitor shareMonitor;
    private final WaitScan waitScan;
    private final WaitMonitor waitMonitor;
    private final OutlookMonitor outlookMonitor;
    private final BacklogScan backlogScan;
    private volatile CustomerSnapshot customers = CustomerSnapshot.EMPTY;
    private volatile TimedBacklog backlog = TimedBacklog.NONE;

    TermReports(CellState cellState, Planner planner, Tickets tickets, OwnerLease lease, EventLog events)
    {
        this.cellState = cellState;
        this.planner = planner;
        this.speedReport = new SpeedReport(cellState, planner, events);
        this.quotaMonitor = new CustomerWaitMonitor(events, EventType.QUOTA_REACHED, EventType.QUOTA_LEFT);
        this.shareMonitor = new CustomerWaitMonitor(events, EventType.SHARE_EXCEEDED,
                EventType.SHARE_RESTORED);
        long beginNanos = SteadyClock.nanos();
        this.waitScan = new WaitScan(cellState, new WaitClassifier(cellState, planner, tickets), lease,
                beginNanos);
        this.waitMonitor = new WaitMonitor(events, lease, beginNanos);
        this.outlookMonitor = new OutlookMonitor(events);
        this.backlogScan = new BacklogScan(cellState, planner, lease);
    }

    /** Observes the cell right after a planning round. Guarded by the lock of the cell state. */
    Observation observe(Planner.Plan plan)
    {
        long nowNanos = SteadyClock.nanos();
        Optional<List<WaitingGroup>> waiting = Optional.empty();
        List<OutlookMonitor.Worsened> outlooks = List.of();
        if (waitMonitor.isDue(nowNanos))
        {
            waiting = Optional.of(waitScan.scan(Optional.empty(), nowNanos));
            outlooks = outlookMonitor.scan(cellState.activeJobs());
            customers = planner.customers();
        }
        if (backlogScan.isDue(nowNanos))
        {
            backlog = new TimedBacklog(backlogScan.scan(nowNanos, System.currentTimeMillis()), nowNanos);
        }
        return new Observation(nowNanos, plan.atQuota(), plan.heldBack(), waiting, outlooks);
    }

    /** Logs an observation. Must be called without the lock, since logging takes time. */
    void report(Observation observation)
    {
        quotaMonitor.onPlan(observation.atQuota(), observation.nanos());
        shareMonitor.onPlan(observation.heldBack(), observation.nanos());
        outlookMonitor.report(observation.outlooks());
        observation.waiting().ifPresent(groups -> waitMonitor.report(groups, observation.nanos()));
        speedReport.report(observation.nanos());
    }

    /** Logs why nothing may be planned. */
    void reportBlocked(WaitReason block)
    {
        long nowNanos = SteadyClock.nanos();
        if (waitMonitor.isDue(nowNanos))
        {
            List<WaitingGroup> waiting;
            synchronized (cellState)
            {
                waiting = waitScan.scan(Optional.of(block), nowNanos);
            }
            waitMonitor.report(waiting, nowNanos);
        }
    }

    TermStatus status(Map<String, Integer> queuedJobs)
    {
        return new TermStatus(waitMonitor.snapshot(), speedReport.snapshot(), customers, backlog, queuedJobs);
    }
}
