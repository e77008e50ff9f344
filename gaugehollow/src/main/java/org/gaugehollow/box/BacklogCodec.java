/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.admission.BacklogAccount;
import org.gaugehollow.admission.ServiceCapacity;
import org.gaugehollow.admission.WaitingClass;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.peer.generated.PeerProtocol.Backlog;
import org.gaugehollow.peer.generated.PeerProtocol.CapacityReport;
import org.gaugehollow.peer.generated.PeerProtocol.OwnerReply;
import org.gaugehollow.peer.generated.PeerProtocol.WaitingWork;
import org.gaugehollow.schedule.TimedBacklog;

/** Writes and reads the owner's account of the waiting work for the peer protocol. */
final class BacklogCodec
{
    private BacklogCodec()
    {
    }

    /** Returns the message for an account, with its age instead of a time; empty if no work waits. */
    static Optional<Backlog> write(TimedBacklog backlog, long nowNanos)
    {
        return backlog.account().map(account -> write(account, nowNanos - backlog.nanos()));
    }

    private static Backlog write(BacklogAccount account, long ageNanos)
    {
        Backlog.Builder message = Backlog.newBuilder().setTerm(account.term())
                .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(ageNanos))
                .addAllCustomersAtWeight(account.customersAtWeight());
        account.waiting().forEach(waiting -> message.addWaiting(write(waiting)));
        account.capacities().forEach(capacity -> message.addCapacities(write(capacity)));
        return message.build();
    }

    private static WaitingWork write(WaitingClass waiting)
    {
        return WaitingWork.newBuilder().setService(waiting.service()).setPriority(waiting.priority())
                .setBeyondWeight(waiting.beyondWeight()).setLate(waiting.late())
                .setCoreMillis(waiting.coreMillis()).setJobs(waiting.jobs())
                .setArrivalsPerSecond(waiting.arrivalsPerSecond()).build();
    }

    private static CapacityReport write(ServiceCapacity capacity)
    {
        ComputeResources largest = capacity.largestFree();
        return CapacityReport.newBuilder().setService(capacity.service())
                .setLargestFreeCpuMillis(largest.cpuMillis()).setLargestFreeMemoryMib(largest.memoryMib())
                .setLargestFreeAccelerators(largest.accelerators()).setFreeCpuMillis(capacity.freeCpuMillis())
                .setClaimedCpuMillis(capacity.claimedCpuMillis()).setDrainPerSecond(capacity.drainPerSecond())
                .build();
    }

    /**
     * Reads the account in a reply of the owner.
     *
     * @param reply the reply
     * @param owner id of the box that replied
     * @param writtenNanos earliest monotonic time at which the reply was written, in nanoseconds
     * @return the account; empty if no work waits or the owner has an earlier version
     */
    static TimedBacklog read(OwnerReply reply, String owner, long writtenNanos)
    {
        if (!reply.hasBacklog())
        {
            return new TimedBacklog(Optional.empty(), writtenNanos);
        }
        Backlog message = reply.getBacklog();
        BacklogAccount account = new BacklogAccount(owner, message.getTerm(),
                message.getWaitingList().stream().map(BacklogCodec::read).toList(),
                message.getCapacitiesList().stream().map(BacklogCodec::read).toList(),
                new HashSet<>(message.getCustomersAtWeightList()));
        return new TimedBacklog(Optional.of(account),
                writtenNanos - TimeUnit.MILLISECONDS.toNanos(message.getAgeMillis()));
    }

    private static WaitingClass read(WaitingWork waiting)
    {
        return new WaitingClass(waiting.getService(), waiting.getPriority(), waiting.getBeyondWeight(),
                waiting.getLate(), waiting.getCoreMillis(), waiting.getJobs(),
                waiting.getArrivalsPerSecond());
    }

    private static ServiceCapacity read(CapacityReport capacity)
    {
        return new ServiceCapacity(capacity.getService(),
                new ComputeResources(0, capacity.getLargestFreeCpuMillis(),
                        capacity.getLargestFreeMemoryMib(), capacity.getLargestFreeAccelerators()),
                capacity.getFreeCpuMillis(), capacity.getClaimedCpuMillis(), capacity.getDrainPerSecond());
    }
}
