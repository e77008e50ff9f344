/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.Worker;
import org.gaugehollow.platform.WorkerRoster;
import org.gaugehollow.supervise.SupervisedTask;

/**
 * Caches the platform's list of the workers in this data hall. Relays read it from the platform,
 * the other boxes receive it from them. The last list stays in use while the platform is
 * unavailable.
 */
public final class RosterCache implements SupervisedTask
{
    private final String hall;
    private final WorkerRoster source;
    private final BooleanSupplier isRelay;
    private final long periodMillis;
    private final EventLog events;
    private Map<String, Worker> workers = Map.of();
    private long version;
    private boolean sourceReadable = true;

    /**
     * @param hall the data hall of this box
     * @param source the worker list of the platform
     * @param isRelay whether this box currently reads the list itself
     * @param periodMillis the interval between reads in milliseconds
     * @param events the event log for changes
     */
    public RosterCache(String hall, WorkerRoster source, BooleanSupplier isRelay, long periodMillis,
            EventLog events)
    {
        this.hall = hall;
        this.source = source;
        this.isRelay = isRelay;
        this.periodMillis = periodMillis;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            if (isRelay.getAsBoolean())
            {
                readOnce();
            }
            Thread.sleep(periodMillis);
        }
    }

    /** @return the workers of this data hall by id */
    public synchronized Map<String, Worker> workers()
    {
        return workers;
    }

    /**
     * @param id the worker id
     * @return the worker, or empty if it is not listed
     */
    public synchronized Optional<Worker> worker(String id)
    {
        return Optional.ofNullable(workers.get(id));
    }

    /**
     * @return the time at which the list was read, in milliseconds since 1970, or 0 if there is none
     *         yet
     */
    public synchronized long version()
    {
        return version;
    }

    /** @return the list as JSON, as sent to peers */
    public synchronized byte[] encoded()
    {
        return Json.write(List.copyOf(workers.values()));
    }

    /**
     * Replaces the list by one from a peer if that is newer.
     *
     * @param newVersion the version of the received list
     * @param encoded the list as returned by {@link #encoded}
     */
    public void adopt(long newVersion, byte[] encoded)
    {
        Worker[] received = Json.read(encoded, Worker[].class, ResultCode.PEER_BAD_CALL);
        replace(newVersion, List.of(received));
    }

    private void readOnce() throws InterruptedException
    {
        try
        {
            List<Worker> listed = source.read();
            replace(System.currentTimeMillis(), listed.stream().filter(w -> w.hall().equals(hall)).toList());
            sourceReadable = true;
        }
        catch (GaugehollowException e)
        {
            if (sourceReadable)
            {
                events.record(EventType.ROSTER_UNREADABLE, hall, e.getMessage());
            }
            sourceReadable = false;
        }
    }

    private void replace(long newVersion, List<Worker> newWorkers)
    {
        Map<String, Worker> byId = new HashMap<>();
        newWorkers.forEach(worker -> byId.put(worker.id(), worker));
        synchronized (this)
        {
            if (newVersion <= version || byId.equals(workers))
            {
                return;
            }
            version = newVersion;
            workers = Map.copyOf(byId);
        }
        events.record(EventType.ROSTER_CHANGED, hall, byId.size() + " workers");
    }
}
