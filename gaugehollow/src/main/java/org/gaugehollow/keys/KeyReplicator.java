/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.keys;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;

import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.BoxIdentity;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.generated.PeerProtocol.CopyCall;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.KeyRecord;

/** Replicates the key records of this box to its successor. Thread-safe. */
public final class KeyReplicator
{
    private static final int COPY_TIMEOUT_MILLIS = 1_500;

    private final BoxIdentity self;
    private final AssignmentMaps maps;
    private final PeerDirectory directory;
    private final KeyTable table;
    private final ReadWriteLock lock = new ReentrantReadWriteLock();
    private AssignmentMap.Member syncedSuccessor;

    /**
     * @param self the identity of this box
     * @param maps the assignment maps, which determine the successor
     * @param directory the links to peers
     * @param table the key table of this box
     */
    public KeyReplicator(BoxIdentity self, AssignmentMaps maps, PeerDirectory directory, KeyTable table)
    {
        this.self = self;
        this.maps = maps;
        this.directory = directory;
        this.table = table;
    }

    /**
     * Replicates a record and waits for the successor to accept it. Does nothing if the data hall has
     * only one box.
     *
     * @param record the record
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException with {@link ResultCode#NO_COPY} if the successor did not accept the
     *             record
     */
    public void replicate(KeyRecord record) throws InterruptedException
    {
        Optional<AssignmentMap.Member> target = successor();
        if (target.isEmpty())
        {
            return;
        }
        CopyCall.Builder call = callBuilder().addRecords(record);
        if (sendIfSynced(target.get(), call))
        {
            return;
        }
        syncAll(target.get());
        if (!sendIfSynced(target.get(), call))
        {
            throw new GaugehollowException(ResultCode.NO_COPY,
                    target.get().id() + " does not accept replicas from this box");
        }
    }

    /** Forces a full copy to the successor before the next record, since the owned slots changed. */
    public void requireFullSync()
    {
        lock.writeLock().lock();
        try
        {
            syncedSuccessor = null;
        }
        finally
        {
            lock.writeLock().unlock();
        }
    }

    /**
     * Hands slots with all their records over to a peer.
     *
     * @param target the peer
     * @param slots the slots, which must not have running requests
     * @param epoch the epoch of the map that the change of owner is based on
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException with {@link ResultCode#NO_COPY} if the peer did not accept the slots
     */
    public void handOver(AssignmentMap.Member target, Collection<Integer> slots, long epoch)
            throws InterruptedException
    {
        CopyCall.Builder call = callBuilder().setMapEpoch(epoch).setHandOver(true)
                .addAllFull(table.exportSlots(slots));
        if (!send(target, call))
        {
            throw new GaugehollowException(ResultCode.NO_COPY, target.id() + " did not accept the slots");
        }
    }

    private boolean sendIfSynced(AssignmentMap.Member target, CopyCall.Builder call)
            throws InterruptedException
    {
        lock.readLock().lock();
        try
        {
            return target.equals(syncedSuccessor) && send(target, call);
        }
        finally
        {
            lock.readLock().unlock();
        }
    }

    private void syncAll(AssignmentMap.Member target) throws InterruptedException
    {
        lock.writeLock().lock();
        try
        {
            syncedSuccessor = null;
            CopyCall.Builder call = callBuilder().addAllFull(table.exportSlots(table.ownedSlots()));
            if (send(target, call))
            {
                syncedSuccessor = target;
            }
        }
        finally
        {
            lock.writeLock().unlock();
        }
    }

    private boolean send(AssignmentMap.Member target, CopyCall.Builder call) throws InterruptedException
    {
        PeerLink link = directory.link(target.peerAddress());
        try
        {
            return link.call(Frame.newBuilder().setCopy(call), COPY_TIMEOUT_MILLIS).getCopyReply()
                    .getAccepted();
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.NO_COPY,
                    "failed to replicate to " + target.id() + ": " + e.getMessage(), e);
        }
    }

    private CopyCall.Builder callBuilder()
    {
        return CopyCall.newBuilder().setOwner(self.id()).setMapEpoch(maps.epoch());
    }

    private Optional<AssignmentMap.Member> successor()
    {
        return maps.map().flatMap(map -> map.successorOf(self.id()).map(box -> map.boxes().get(box)));
    }
}
