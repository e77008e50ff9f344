/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.gaugehollow.event.EventType;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.worker.WorkerEntry;

/**
 * Tracks the workers that the store lists and keeps the owner's sessions with their incarnations.
 * <p>
 * A worker that restarts under its id gets a new session, because its clock and its numbers of run
 * ends restart too; in the old session its run ends would be skipped.
 * <p>
 * Entries may come from other writers. An entry that is invalid, or whose service is not
 * configured, opens no session. A worker whose entry becomes invalid keeps its session, so that its
 * runs are still managed, but gets no new starts.
 */
final class WorkerSessions implements KeyFollower.Listener, AutoCloseable
{
    /** Limits the log volume of a term; a faulty writer may continue indefinitely. */
    private static final int MAX_LOGGED_REFUSALS = 200;

    private final OwnerTerm term;
    private final CellPlatform platform;
    private final Supervisor supervisor;
    private final Supplier<CellConfig> config;
    private final Map<String, WorkerSession> sessions = new ConcurrentHashMap<>();
    /** Newest entry by worker id; listings are more frequent than changes of entries. */
    private final Map<String, ReadEntry> readEntries = new ConcurrentHashMap<>();
    private int refusalCount;

    /**
     * An entry that was read.
     *
     * @param revision the revision of the entry
     * @param incarnation the incarnation that the entry names, or the previous one if the entry was
     *            refused; null if there is none
     * @param refused whether the entry was refused
     */
    private record ReadEntry(long revision, String incarnation, boolean refused)
    {
    }

    /**
     * @param term the term, which holds the cell state
     * @param platform reads entries and opens connections to workers
     * @param supervisor parent of the sessions
     * @param config supplies the newest configuration
     */
    WorkerSessions(OwnerTerm term, CellPlatform platform, Supervisor supervisor, Supplier<CellConfig> config)
    {
        this.term = term;
        this.platform = platform;
        this.supervisor = supervisor;
        this.config = config;
    }

    /** Returns the session with a worker incarnation. */
    Optional<WorkerSession> session(String incarnation)
    {
        return Optional.ofNullable(sessions.get(incarnation));
    }

    @Override
    public void onPut(String key, byte[] value, long revision)
    {
        String workerId = platform.workerId(key);
        if (isAlreadyRead(workerId, revision))
        {
            return;
        }
        try
        {
            WorkerEntry entry = platform.readWorker(key, value);
            if (track(entry))
            {
                String incarnation = entry.incarnation().text();
                ReadEntry previous = readEntries.put(workerId, new ReadEntry(revision, incarnation, false));
                unlistIfReplaced(previous, incarnation);
            }
        }
        catch (GaugehollowException e)
        {
            ReadEntry previous = readEntries.get(workerId);
            String incarnation = previous == null ? null : previous.incarnation();
            readEntries.put(workerId, new ReadEntry(revision, incarnation, true));
            recordRefusal(workerId, incarnation, e.getMessage());
        }
    }

    private void unlistIfReplaced(ReadEntry previous, String incarnation)
    {
        if (previous != null && previous.incarnation() != null && !previous.incarnation().equals(incarnation))
        {
            unlist(previous.incarnation());
        }
    }

    /**
     * Returns whether this revision was read and needs no further action. An accepted entry is read
     * again if its session has ended.
     */
    private boolean isAlreadyRead(String workerId, long revision)
    {
        ReadEntry entry = readEntries.get(workerId);
        return entry != null && entry.revision() == revision
                && (entry.refused() || sessions.containsKey(entry.incarnation()));
    }

    /**
     * Tracks the worker of an entry and opens a session if there is none.
     *
     * @return whether the entry was accepted; one of an unknown service may be accepted with a later
     *         configuration
     */
    private boolean track(WorkerEntry entry)
    {
        TrackedWorker trackedWorker;
        String incarnation = entry.incarnation().text();
        synchronized (term.cellState())
        {
            boolean isKnown = term.cellState().findWorker(incarnation).isPresent();
            if (!isKnown && !config.get().mayHaveService(entry.service()))
            {
                return false;
            }
            trackedWorker = term.cellState().updateWorker(entry);
        }
        if (!sessions.containsKey(incarnation))
        {
            WorkerSession session = new WorkerSession(term, trackedWorker,
                    platform.openWorker(entry, term.lease()::maySendCommands));
            sessions.put(incarnation, session);
            startSession(incarnation, session);
        }
        term.wake();
        return true;
    }

    private void startSession(String incarnation, WorkerSession session)
    {
        supervisor.start("worker-" + incarnation, session);
    }

    private void recordRefusal(String workerId, String incarnation, String reason)
    {
        if (incarnation != null)
        {
            synchronized (term.cellState())
            {
                term.cellState().findWorker(incarnation).ifPresent(TrackedWorker::clearEntry);
            }
        }
        refusalCount++;
        if (refusalCount <= MAX_LOGGED_REFUSALS)
        {
            term.events().record(EventType.WORKER_ENTRY_REFUSED, workerId,
                    reason + (refusalCount == MAX_LOGGED_REFUSALS
                            ? "; further refused entries are not logged"
                            : ""));
        }
    }

    @Override
    public void onRemoved(String key, long revision)
    {
        ReadEntry entry = readEntries.remove(platform.workerId(key));
        if (entry != null && entry.incarnation() != null)
        {
            unlist(entry.incarnation());
        }
    }

    /** Handles an incarnation that is no longer listed. Its session continues while it has tasks. */
    private void unlist(String incarnation)
    {
        TrackedWorker trackedWorker;
        boolean isIdle;
        synchronized (term.cellState())
        {
            trackedWorker = term.cellState().findWorker(incarnation).orElse(null);
            isIdle = trackedWorker != null && trackedWorker.isIdle();
            if (trackedWorker != null)
            {
                trackedWorker.clearEntry();
            }
        }
        if (isIdle)
        {
            closeSession(trackedWorker);
        }
    }

    /**
     * Handles the end of an incarnation. Its session is kept while the incarnation is listed, so that
     * the entry does not open another one.
     */
    void onIncarnationEnded(TrackedWorker trackedWorker)
    {
        ReadEntry entry = readEntries.get(trackedWorker.workerId());
        boolean isListed = entry != null && trackedWorker.id().equals(entry.incarnation());
        if (!isListed)
        {
            closeSession(trackedWorker);
        }
    }

    @Override
    public void onListed(long revision)
    {
        synchronized (term.cellState())
        {
            term.cellState().crashGuard().onWorkersListed();
        }
        sessions.forEach((incarnation, session) ->
        {
            if (session.isHung())
            {
                startSession(incarnation, session);
            }
        });
        term.wake();
    }

    /**
     * Closes the session with a worker that has no tasks. An entry that is still listed opens another
     * one.
     */
    void closeSession(TrackedWorker trackedWorker)
    {
        synchronized (term.cellState())
        {
            term.cellState().trackedWorkers().removeIfIdle(trackedWorker);
        }
        WorkerSession session = sessions.remove(trackedWorker.id());
        if (session != null)
        {
            session.close();
        }
    }

    @Override
    public void close()
    {
        sessions.values().forEach(WorkerSession::close);
    }
}
