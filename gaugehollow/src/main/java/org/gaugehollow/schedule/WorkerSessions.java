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
 * The workers that the store lists, and the owner's sessions with their lives. A worker that starts
 * again under its id gets a new session, since its numbers of ends and its clock begin anew: read
 * on in the session of the life before, ends of tasks would be passed over. Entries may come from
 * another writer: one that describes no worker, or one of a service that the configuration does not
 * name, opens no session. A worker whose entry turns bad keeps its session, so that its runs are
 * looked after, and gets nothing new.
 */
final class WorkerSessions implements KeyFollower.Listener, AutoCloseable
{
    /** Refused entries that are logged in a term at most; a writer may go on for ever. */
    private static final int MOST_REFUSALS = 200;

    private final OwnerTerm term;
    private final CellPlatform platform;
    private final Supervisor supervisor;
    private final Supplier<CellConfig> config;
    private final Map<String, WorkerSession> sessions = new ConcurrentHashMap<>();
    /** By worker, what was read last; listings come more often than entries change. */
    private final Map<String, Reading> readings = new ConcurrentHashMap<>();
    private int refusals;

    /**
     * An entry that was read.
     *
     * @param revision its revision
     * @param life the life that it names, or the one named before if it is refused; null for none
     * @param refused whether it named no worker to use
     */
    private record Reading(long revision, String life, boolean refused)
    {
    }

    /**
     * @param term the term, which has the ledger
     * @param platform reads entries and opens connections to workers
     * @param supervisor parent of the sessions
     * @param config the newest configuration
     */
    WorkerSessions(OwnerTerm term, CellPlatform platform, Supervisor supervisor, Supplier<CellConfig> config)
    {
        this.term = term;
        this.platform = platform;
        this.supervisor = supervisor;
        this.config = config;
    }

    /** The session with a life of a worker, if there is one. */
    Optional<WorkerSession> session(String life)
    {
        return Optional.ofNullable(sessions.get(life));
    }

    @Override
    public void onPut(String key, byte[] value, long revision)
    {
        String worker = platform.workerId(key);
        if (isReadAlready(worker, revision))
        {
            return;
        }
        try
        {
            WorkerEntry entry = platform.readWorker(key, value);
            if (list(entry))
            {
                String life = entry.incarnation().text();
                Reading before = readings.put(worker, new Reading(revision, life, false));
                unlistIfReplaced(before, life);
            }
        }
        catch (GaugehollowException e)
        {
            Reading before = readings.get(worker);
            String life = before == null ? null : before.life();
            readings.put(worker, new Reading(revision, life, true));
            refuse(worker, life, e.getMessage());
        }
    }

    private void unlistIfReplaced(Reading before, String life)
    {
        if (before != null && before.life() != null && !before.life().equals(life))
        {
            unlist(before.life());
        }
    }

    /** A session may have ended since its worker's entry was read. */
    private boolean isReadAlready(String worker, long revision)
    {
        Reading reading = readings.get(worker);
        return reading != null && reading.revision() == revision
                && (reading.refused() || sessions.containsKey(reading.life()));
    }

    /**
     * Whether the entry was taken; one of an unknown service may be taken with a later configuration.
     */
    private boolean list(WorkerEntry entry)
    {
        TrackedWorker slot;
        String life = entry.incarnation().text();
        synchronized (term.cellState())
        {
            boolean isKnown = term.cellState().worker(life).isPresent();
            if (!isKnown && !config.get().mayHaveService(entry.service()))
            {
                return false;
            }
            slot = term.cellState().list(entry);
        }
        if (!sessions.containsKey(life))
        {
            WorkerSession session = new WorkerSession(term, slot,
                    platform.openWorker(entry, term.lease()::maySendCommands));
            sessions.put(life, session);
            supervisor.start("worker-" + life, session);
        }
        term.wake();
        return true;
    }

    private void refuse(String worker, String life, String why)
    {
        if (life != null)
        {
            synchronized (term.cellState())
            {
                term.cellState().worker(life).ifPresent(TrackedWorker::unlisted);
            }
        }
        refusals++;
        if (refusals <= MOST_REFUSALS)
        {
            term.events().record(EventType.WORKER_ENTRY_REFUSED, worker,
                    why + (refusals == MOST_REFUSALS ? "; further ones are not logged" : ""));
        }
    }

    @Override
    public void onRemoved(String key, long revision)
    {
        Reading reading = readings.remove(platform.workerId(key));
        if (reading != null && reading.life() != null)
        {
            unlist(reading.life());
        }
    }

    /** The list names a life no more; its session goes on while it holds something. */
    private void unlist(String life)
    {
        TrackedWorker slot;
        boolean idle;
        synchronized (term.cellState())
        {
            slot = term.cellState().worker(life).orElse(null);
            idle = slot != null && slot.isIdle();
            if (slot != null)
            {
                slot.unlisted();
            }
        }
        if (idle)
        {
            forget(slot);
        }
    }

    /**
     * A life is over. While the list still names it, its session is kept, so that the entry opens no
     * other.
     */
    void over(TrackedWorker slot)
    {
        Reading reading = readings.get(slot.worker());
        boolean isListed = reading != null && slot.id().equals(reading.life());
        if (!isListed)
        {
            forget(slot);
        }
    }

    @Override
    public void onListed(long revision)
    {
        term.wake();
    }

    /**
     * Ends the session with a worker that holds nothing; an entry that is still listed opens another.
     */
    void forget(TrackedWorker slot)
    {
        synchronized (term.cellState())
        {
            term.cellState().slots().unlist(slot);
        }
        WorkerSession session = sessions.remove(slot.id());
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
