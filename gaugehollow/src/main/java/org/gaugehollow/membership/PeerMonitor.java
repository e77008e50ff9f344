/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.ConfigDelta;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerLink;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.peer.generated.PeerProtocol.Ping;
import org.gaugehollow.peer.generated.PeerProtocol.StateCall;
import org.gaugehollow.peer.generated.PeerProtocol.StateReply;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;

/**
 * Pings all other boxes of the assignment map, with one task for each peer. The replies tell which
 * peers are reachable, confirm the rights of this box during a store outage and announce newer
 * configuration.
 */
public final class PeerMonitor
{
    private static final int STATE_CALL_TIMEOUT_MILLIS = 2_000;

    private final BoxIdentity self;
    private final AssignmentMaps maps;
    private final PeerDirectory directory;
    private final ConfigCache config;
    private final RosterCache roster;
    private final Rights rights;
    private final StoreLiveness storeLiveness;
    private final Supplier<BoxStatus> ownStatus;
    private final Runnable renewLease;
    private final Supervisor supervisor;
    private final EventLog events;
    private final long pingMillis;
    private final long replyTimeoutMillis;
    private final Map<String, PeerView> views = new ConcurrentHashMap<>();

    /** The collaborators of the monitor. */
    public record Parts(BoxIdentity self, AssignmentMaps maps, PeerDirectory directory, ConfigCache config,
            RosterCache roster, Rights rights, StoreLiveness storeLiveness, Supervisor supervisor,
            EventLog events)
    {
    }

    /**
     * @param parts the collaborators
     * @param ownStatus supplies the status of this box
     * @param renewLease called when a peer reports that the store answers again
     * @param pingMillis the interval between pings in milliseconds
     * @param confirmationMillis the time in milliseconds for which a peer confirmation is valid
     */
    public PeerMonitor(Parts parts, Supplier<BoxStatus> ownStatus, Runnable renewLease, long pingMillis,
            long confirmationMillis)
    {
        this.self = parts.self;
        this.maps = parts.maps;
        this.directory = parts.directory;
        this.config = parts.config;
        this.roster = parts.roster;
        this.rights = parts.rights;
        this.storeLiveness = parts.storeLiveness;
        this.supervisor = parts.supervisor;
        this.events = parts.events;
        this.ownStatus = ownStatus;
        this.renewLease = renewLease;
        this.pingMillis = pingMillis;
        this.replyTimeoutMillis = Math.min(confirmationMillis, Math.max(pingMillis, confirmationMillis / 2));
    }

    /** Starts and stops ping tasks to match the map. Must not be called concurrently. */
    public void syncWithMap()
    {
        Map<String, AssignmentMap.Member> boxes = maps.map().map(AssignmentMap::boxes).orElse(Map.of());
        Set<String> wanted = new HashSet<>(boxes.keySet());
        wanted.remove(self.id());
        for (String taskName : supervisor.taskNames())
        {
            if (!wanted.contains(taskName))
            {
                supervisor.stop(taskName);
                views.remove(taskName);
            }
        }
        for (String box : wanted)
        {
            if (!views.containsKey(box))
            {
                views.put(box, new PeerView());
                String address = boxes.get(box).peerAddress();
                supervisor.start(box, () -> pingUntilStopped(box, directory.link(address)));
            }
        }
    }

    /**
     * @param box the id of a peer
     * @return the state of the peer, or empty if it is not monitored
     */
    public Optional<PeerView> view(String box)
    {
        return Optional.ofNullable(views.get(box));
    }

    /**
     * @param box the id of a box
     * @return whether it is this box or a peer that answered the last ping
     */
    public boolean isReachable(String box)
    {
        return box.equals(self.id()) || view(box).map(PeerView::isReachable).orElse(false);
    }

    /** @return the last reported status of each peer that answered the last ping */
    public Map<String, BoxStatus> reachableStatuses()
    {
        Map<String, BoxStatus> statuses = new ConcurrentHashMap<>();
        views.forEach((box, view) ->
        {
            if (view.isReachable())
            {
                view.status().ifPresent(status -> statuses.put(box, status));
            }
        });
        return statuses;
    }

    /**
     * Fetches newer configuration and a newer worker list from a peer.
     *
     * @param link the link to the peer
     * @throws InterruptedException if the process stops
     */
    public void pullState(PeerLink link) throws InterruptedException
    {
        StateCall call = StateCall.newBuilder().setConfigRevision(config.revision())
                .setRosterVersion(roster.version()).build();
        StateReply reply = link.call(Frame.newBuilder().setState(call), STATE_CALL_TIMEOUT_MILLIS)
                .getStateReply();
        ConfigDelta delta = StateMessages.deltaOf(reply);
        config.apply(delta);
        if (!reply.getRoster().isEmpty())
        {
            roster.adopt(reply.getRosterVersion(), reply.getRoster().toByteArray());
        }
    }

    /**
     * Collects the confirmations of the peers and extends the rights of this box if they form a
     * majority.
     */
    public void countConfirmations()
    {
        Optional<AssignmentMap> map = maps.map();
        if (map.isEmpty() || map.get().boxes().size() < 2 || !map.get().boxes().containsKey(self.id()))
        {
            return;
        }
        List<Long> confirmedAt = new ArrayList<>();
        if (rights.isConfirmedBy(storeLiveness.lastContactNanos()))
        {
            confirmedAt.add(SteadyClock.nanos());
        }
        for (String box : map.get().boxes().keySet())
        {
            OptionalLong sentAt = view(box).map(PeerView::confirmedPingSentAt).orElse(OptionalLong.empty());
            sentAt.ifPresent(confirmedAt::add);
        }
        rights.extendByQuorum(confirmedAt, map.get().majority());
    }

    private void pingUntilStopped(String box, PeerLink link) throws InterruptedException
    {
        while (true)
        {
            pingOnce(box, link);
            countConfirmations();
            Thread.sleep(pingMillis);
        }
    }

    private void pingOnce(String box, PeerLink link) throws InterruptedException
    {
        PeerView view = views.getOrDefault(box, new PeerView());
        boolean wasReachable = view.isReachable();
        long sentAt = SteadyClock.nanos();
        try
        {
            Frame reply = link.call(Frame.newBuilder().setPing(Ping.newBuilder().setStatus(ownStatus.get())),
                    replyTimeoutMillis);
            processStatus(box, view, sentAt, reply.getPingReply().getStatus());
            if (!wasReachable)
            {
                events.record(EventType.PEER_CONNECTED, box, "");
            }
            pullIfBehind(link, reply.getPingReply().getStatus());
        }
        catch (GaugehollowException e)
        {
            view.onFailure();
            if (wasReachable)
            {
                events.record(EventType.PEER_LOST, box, e.getMessage());
            }
        }
    }

    private void processStatus(String box, PeerView view, long sentAt, BoxStatus status)
    {
        long contactAgeMillis = status.getStoreEvidenceAgeMillis();
        long contactAt = storeLiveness.merge(StateMessages.contactOf(status));
        boolean sameMap = status.getMapEpoch() == maps.epoch() && status.getBox().equals(box);
        boolean confirmsRights = rights.isConfirmedBy(contactAt);
        view.onReply(sentAt, status, sameMap && (contactAgeMillis < 0 || confirmsRights));
        if (!confirmsRights && contactAgeMillis >= 0)
        {
            renewLease.run();
        }
    }

    private void pullIfBehind(PeerLink link, BoxStatus status) throws InterruptedException
    {
        if (status.getConfigRevision() > config.revision() || status.getRosterVersion() > roster.version())
        {
            pullState(link);
        }
    }
}
