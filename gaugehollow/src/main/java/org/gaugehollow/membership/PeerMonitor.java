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
 * Pings every other box of the hall's map, one task a peer. From the answers come the peers that
 * can be reached, the vouchers that extend this box's rights in an outage of the store, and newer
 * configuration.
 */
public final class PeerMonitor
{
    private static final int STATE_CALL_MILLIS = 2_000;

    private final BoxIdentity self;
    private final AssignmentMaps halls;
    private final PeerDirectory directory;
    private final ConfigCache config;
    private final RosterCache roster;
    private final Rights rights;
    private final StoreLiveness evidence;
    private final Supplier<BoxStatus> ownStatus;
    private final Runnable renewNow;
    private final Supervisor supervisor;
    private final EventLog events;
    private final long pingMillis;
    private final long replyMillis;
    private final Map<String, PeerView> views = new ConcurrentHashMap<>();

    /** What the monitor works with. */
    public record Parts(BoxIdentity self, AssignmentMaps halls, PeerDirectory directory, ConfigCache config,
            RosterCache roster, Rights rights, StoreLiveness evidence, Supervisor supervisor, EventLog events)
    {
    }

    /**
     * @param parts what the monitor works with
     * @param ownStatus what this box says of itself
     * @param renewNow called when a peer's word shows that the store answers again
     * @param pingMillis the period of pings
     * @param witnessMillis how long a peer's word is good for
     */
    public PeerMonitor(Parts parts, Supplier<BoxStatus> ownStatus, Runnable renewNow, long pingMillis,
            long witnessMillis)
    {
        this.self = parts.self;
        this.halls = parts.halls;
        this.directory = parts.directory;
        this.config = parts.config;
        this.roster = parts.roster;
        this.rights = parts.rights;
        this.evidence = parts.evidence;
        this.supervisor = parts.supervisor;
        this.events = parts.events;
        this.ownStatus = ownStatus;
        this.renewNow = renewNow;
        this.pingMillis = pingMillis;
        this.replyMillis = Math.min(witnessMillis, Math.max(pingMillis, witnessMillis / 2));
    }

    /** Starts and stops pings to match the map. Called by one task. */
    public void syncWithMap()
    {
        Map<String, AssignmentMap.Member> boxes = halls.map().map(AssignmentMap::boxes).orElse(Map.of());
        Set<String> wanted = new HashSet<>(boxes.keySet());
        wanted.remove(self.id());
        for (String running : supervisor.taskNames())
        {
            if (!wanted.contains(running))
            {
                supervisor.stop(running);
                views.remove(running);
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
     * @param box a box of the map
     * @return what is known of it
     */
    public Optional<PeerView> view(String box)
    {
        return Optional.ofNullable(views.get(box));
    }

    /**
     * @param box a box of the map
     * @return whether it is this one or answered the last ping
     */
    public boolean isReachable(String box)
    {
        return box.equals(self.id()) || view(box).map(PeerView::isReachable).orElse(false);
    }

    /** @return the boxes of the map that answered the last ping, with what they said */
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
     * Takes newer configuration and a newer list of workers from a peer.
     *
     * @param link the peer
     * @throws InterruptedException if the process stops
     */
    public void pullState(PeerLink link) throws InterruptedException
    {
        StateCall call = StateCall.newBuilder().setConfigRevision(config.revision())
                .setRosterVersion(roster.version()).build();
        StateReply reply = link.call(Frame.newBuilder().setState(call), STATE_CALL_MILLIS).getStateReply();
        ConfigDelta delta = StateMessages.deltaOf(reply);
        config.apply(delta);
        if (!reply.getRoster().isEmpty())
        {
            roster.adopt(reply.getRosterVersion(), reply.getRoster().toByteArray());
        }
    }

    /** Counts the vouchers and extends this box's rights by them. */
    public void countConfirmations()
    {
        Optional<AssignmentMap> map = halls.map();
        if (map.isEmpty() || map.get().boxes().size() < 2 || !map.get().boxes().containsKey(self.id()))
        {
            return;
        }
        List<Long> vouchedAt = new ArrayList<>();
        if (rights.isConfirmedBy(evidence.lastContactNanos()))
        {
            vouchedAt.add(SteadyClock.nanos());
        }
        for (String box : map.get().boxes().keySet())
        {
            OptionalLong at = view(box).map(PeerView::confirmedPingSentAt).orElse(OptionalLong.empty());
            at.ifPresent(vouchedAt::add);
        }
        rights.extendByQuorum(vouchedAt, map.get().majority());
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
        boolean before = view.isReachable();
        long sentAt = SteadyClock.nanos();
        try
        {
            Frame reply = link.call(Frame.newBuilder().setPing(Ping.newBuilder().setStatus(ownStatus.get())),
                    replyMillis);
            take(box, view, sentAt, reply.getPingReply().getStatus());
            if (!before)
            {
                events.record(EventType.PEER_CONNECTED, box, "");
            }
            pullIfBehind(link, reply.getPingReply().getStatus());
        }
        catch (GaugehollowException e)
        {
            view.failed();
            link.reset();
            if (before)
            {
                events.record(EventType.PEER_LOST, box, e.getMessage());
            }
        }
    }

    private void take(String box, PeerView view, long sentAt, BoxStatus status)
    {
        long age = status.getStoreEvidenceAgeMillis();
        long answeredAt = evidence.merge(StateMessages.contactOf(status));
        boolean sameMap = status.getMapEpoch() == halls.epoch() && status.getBox().equals(box);
        boolean wasVouched = rights.isConfirmedBy(answeredAt);
        view.replied(sentAt, status, sameMap && (age < 0 || wasVouched));
        if (!wasVouched && age >= 0)
        {
            renewNow.run();
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
