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

/** Copies this box's key records to the box that would succeed it. Thread-safe. */
public final class KeyReplicator
{
    private static final int COPY_MILLIS = 1_500;

    private final BoxIdentity self;
    private final AssignmentMaps halls;
    private final PeerDirectory directory;
    private final KeyTable table;
    private final ReadWriteLock lock = new ReentrantReadWriteLock();
    private AssignmentMap.Member syncedWith;

    /**
     * @param self this box
     * @param halls the hall's map, which names the successor
     * @param directory the links to peers
     * @param table this box's records
     */
    public KeyReplicator(BoxIdentity self, AssignmentMaps halls, PeerDirectory directory, KeyTable table)
    {
        this.self = self;
        this.halls = halls;
        this.directory = directory;
        this.table = table;
    }

    /**
     * Copies one record and waits until the successor has it. A hall of one box has no successor.
     *
     * @param record the record
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException with {@link ResultCode#NO_COPY} if the successor does not have it
     *             now
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
                    target.get().id() + " does not keep copies of this box");
        }
    }

    /**
     * The slots that this box owns changed: the successor needs the whole of them before the next copy.
     */
    public void slotsChanged()
    {
        lock.writeLock().lock();
        try
        {
            syncedWith = null;
        }
        finally
        {
            lock.writeLock().unlock();
        }
    }

    /**
     * Gives slots to a peer with all that is known of them.
     *
     * @param target the peer
     * @param slots the slots, in which no request runs
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException if the peer does not have them now
     */
    public void handOver(AssignmentMap.Member target, Collection<Integer> slots, long epoch)
            throws InterruptedException
    {
        CopyCall.Builder call = callBuilder().setMapEpoch(epoch).setHandOver(true)
                .addAllFull(table.exportSlots(slots));
        if (!send(target, call))
        {
            throw new GaugehollowException(ResultCode.NO_COPY, target.id() + " does not take the slots");
        }
    }

    private boolean sendIfSynced(AssignmentMap.Member target, CopyCall.Builder call)
            throws InterruptedException
    {
        lock.readLock().lock();
        try
        {
            return target.equals(syncedWith) && send(target, call);
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
            syncedWith = null;
            CopyCall.Builder call = callBuilder().addAllFull(table.exportSlots(table.owned()));
            if (send(target, call))
            {
                syncedWith = target;
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
            return link.call(Frame.newBuilder().setCopy(call), COPY_MILLIS).getCopyReply().getAccepted();
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.NO_COPY,
                    "no copy to " + target.id() + ": " + e.getMessage(), e);
        }
    }

    private CopyCall.Builder callBuilder()
    {
        return CopyCall.newBuilder().setOwner(self.id()).setMapEpoch(halls.epoch());
    }

    private Optional<AssignmentMap.Member> successor()
    {
        return halls.map().flatMap(map -> map.successorOf(self.id()).map(box -> map.boxes().get(box)));
    }
}
