/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.supervise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.time.SteadyClock;

/**
 * Node of the supervisor tree. Runs tasks on virtual threads, restarts failed tasks with
 * exponential backoff, and stops its tasks and child nodes in reverse start order. Thread-safe.
 */
public final class Supervisor implements AutoCloseable
{
    private static final long MIN_RESTART_DELAY_MILLIS = 50;
    private static final long MAX_RESTART_DELAY_MILLIS = 5_000;
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;
    private static final long STABLE_RUN_NANOS = 10_000_000_000L;

    private final String name;
    private final EventLog events;
    private final List<AutoCloseable> startOrder = new ArrayList<>();
    private final Map<String, RunningTask> tasks = new HashMap<>();
    private boolean closed;

    /**
     * @param name name of this node in the log
     * @param events records failures
     */
    public Supervisor(String name, EventLog events)
    {
        this.name = name;
        this.events = events;
    }

    /**
     * Starts a task. A running task of the same name is stopped first.
     *
     * @param task task name
     * @param body body of the task
     */
    public synchronized void start(String task, SupervisedTask body)
    {
        if (closed)
        {
            return;
        }
        stop(task);
        RunningTask running = new RunningTask(name + '/' + task, body);
        tasks.put(task, running);
        startOrder.add(running);
        running.startThread();
    }

    /**
     * Stops a task; an unknown name is ignored.
     *
     * @param task task name
     */
    public synchronized void stop(String task)
    {
        RunningTask running = tasks.remove(task);
        if (running != null)
        {
            startOrder.remove(running);
            running.close();
        }
    }

    /** @return names of the tasks of this node */
    public synchronized List<String> taskNames()
    {
        return List.copyOf(tasks.keySet());
    }

    /**
     * Adds a child node.
     *
     * @param child name of the child
     * @return child node, which is stopped together with this node
     */
    public synchronized Supervisor child(String child)
    {
        Supervisor node = new Supervisor(name + '/' + child, events);
        startOrder.add(node);
        return node;
    }

    @Override
    public void close()
    {
        List<AutoCloseable> toStop;
        synchronized (this)
        {
            closed = true;
            toStop = new ArrayList<>(startOrder).reversed();
        }
        for (AutoCloseable closeable : toStop)
        {
            closeQuietly(closeable);
        }
    }

    private void closeQuietly(AutoCloseable closeable)
    {
        try
        {
            closeable.close();
        }
        catch (Exception e)
        {
            events.record(EventType.INTERNAL_FAULT, name, "failed to stop: " + e);
        }
    }

    /** A task and the thread it runs on. */
    private final class RunningTask implements AutoCloseable
    {
        private final String path;
        private final SupervisedTask body;
        private Thread thread;

        RunningTask(String path, SupervisedTask body)
        {
            this.path = path;
            this.body = body;
        }

        void startThread()
        {
            thread = Thread.ofVirtual().name(path).start(this::runUntilStopped);
        }

        private void runUntilStopped()
        {
            long delayMillis = MIN_RESTART_DELAY_MILLIS;
            while (!Thread.currentThread().isInterrupted())
            {
                long startedAt = SteadyClock.nanos();
                try
                {
                    body.run();
                    return;
                }
                catch (InterruptedException e)
                {
                    return;
                }
                catch (RuntimeException e)
                {
                    events.record(EventType.SERVICE_FAILED, path, String.valueOf(e));
                }
                boolean wasStable = SteadyClock.nanos() - startedAt > STABLE_RUN_NANOS;
                delayMillis = wasStable
                        ? MIN_RESTART_DELAY_MILLIS
                        : Math.min(MAX_RESTART_DELAY_MILLIS, delayMillis * 2);
                if (!sleep(delayMillis))
                {
                    return;
                }
            }
        }

        private static boolean sleep(long millis)
        {
            try
            {
                Thread.sleep(millis);
                return true;
            }
            catch (InterruptedException e)
            {
                return false;
            }
        }

        @Override
        public void close()
        {
            thread.interrupt();
            if (thread == Thread.currentThread())
            {
                return;
            }
            try
            {
                thread.join(JOIN_TIMEOUT_MILLIS);
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        }
    }
}
