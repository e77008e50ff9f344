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
 * The platform's list of this hall's workers as last heard: read from the platform by the hall's
 * relays, taken from them by the other boxes. The last list stays in use while the platform is
 * silent.
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
    private boolean readable = true;

    /**
     * @param hall this box's hall
     * @param source the platform's list
     * @param isRelay whether this box is to read it now
     * @param periodMillis how often
     * @param events where changes are recorded
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

    /** @return the workers of this hall by id */
    public synchronized Map<String, Worker> workers()
    {
        return workers;
    }

    /**
     * @param id a worker's id
     * @return the worker, if the list names it
     */
    public synchronized Optional<Worker> worker(String id)
    {
        return Optional.ofNullable(workers.get(id));
    }

    /** @return when the list was read, in milliseconds since 1970; 0 before the first */
    public synchronized long version()
    {
        return version;
    }

    /** @return the list as it is passed on to peers */
    public synchronized byte[] encoded()
    {
        return Json.write(List.copyOf(workers.values()));
    }

    /**
     * Takes a list from a peer unless this box's is as new.
     *
     * @param newVersion its version
     * @param encoded the list as {@link #encoded} gives it
     */
    public void adopt(long newVersion, byte[] encoded)
    {
        Worker[] list = Json.read(encoded, Worker[].class, ResultCode.PEER_BAD_CALL);
        replace(newVersion, List.of(list));
    }

    private void readOnce() throws InterruptedException
    {
        try
        {
            List<Worker> list = source.read();
            replace(System.currentTimeMillis(), list.stream().filter(w -> w.hall().equals(hall)).toList());
            readable = true;
        }
        catch (GaugehollowException e)
        {
            if (readable)
            {
                events.record(EventType.ROSTER_UNREADABLE, hall, e.getMessage());
            }
            readable = false;
        }
    }

    private void replace(long newVersion, List<Worker> list)
    {
        Map<String, Worker> byId = new HashMap<>();
        list.forEach(worker -> byId.put(worker.id(), worker));
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
