/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AssignmentMap;

/**
 * Says which boxes may be taken over from. A box whose key is gone from the store may still have
 * rights by the word of its peers; so first enough boxes must have heard that the store answers,
 * and then the time must pass for which a word given before that is good. Used by one task.
 */
final class TakeoverGuard
{
    private static final long MARGIN_MILLIS = 200;

    /** Since when a box is missing, and since when the quorum has known it. */
    private static final class Missing
    {
        private final long since;
        private boolean quorum;
        private long quorumSince;

        Missing(long since)
        {
            this.since = since;
        }
    }

    private final BoxIdentity self;
    private final PeerMonitor peers;
    private final long waitNanos;
    private final long abandonNanos;
    private final EventLog events;
    private final Map<String, Missing> missing = new HashMap<>();

    TakeoverGuard(BoxIdentity self, PeerMonitor peers, long witnessMillis, long abandonSeconds,
            EventLog events)
    {
        this.self = self;
        this.peers = peers;
        this.waitNanos = TimeUnit.MILLISECONDS.toNanos(witnessMillis + MARGIN_MILLIS);
        this.abandonNanos = TimeUnit.SECONDS.toNanos(abandonSeconds);
        this.events = events;
    }

    /** The store did not answer, so nothing is known of who is missing since when. */
    void forget()
    {
        missing.clear();
    }

    /**
     * The store listed the registered boxes.
     *
     * @param map the map in force
     * @param registered the boxes it listed
     * @param now the present time, at most as late as the listing was asked for
     * @return the boxes of the map whose rights have surely ended
     */
    Set<String> lapsed(AssignmentMap map, Set<String> registered, long now)
    {
        missing.keySet().removeIf(box -> registered.contains(box) || !map.boxes().containsKey(box));
        Set<String> lapsed = new HashSet<>();
        for (String box : map.boxes().keySet())
        {
            if (!registered.contains(box) && hasLapsed(map, box, now))
            {
                lapsed.add(box);
            }
        }
        return lapsed;
    }

    private boolean hasLapsed(AssignmentMap map, String box, long now)
    {
        Missing state = missing.get(box);
        if (state == null)
        {
            state = new Missing(now);
            missing.put(box, state);
            events.record(EventType.TAKEOVER_WAITS, box, "its lease lapsed");
        }
        if (abandonNanos > 0 && now - state.since > abandonNanos)
        {
            return true;
        }
        boolean quorum = informed(map, state.since) >= needed(map);
        if (quorum && !state.quorum)
        {
            state.quorumSince = now;
        }
        state.quorum = quorum;
        return quorum && now - state.quorumSince > waitNanos;
    }

    /** A map of one box is never extended by peers, so there is nobody to inform. */
    private static int needed(AssignmentMap map)
    {
        return map.boxes().size() == 1 ? 0 : map.takeoverQuorum();
    }

    private int informed(AssignmentMap map, long since)
    {
        int count = 0;
        for (String box : map.boxes().keySet())
        {
            boolean told = box.equals(self.id()) || peers.view(box).filter(
                    v -> v.repliedPingSentAt().isPresent() && v.repliedPingSentAt().getAsLong() - since > 0)
                    .isPresent();
            count += told ? 1 : 0;
        }
        return count;
    }
}
