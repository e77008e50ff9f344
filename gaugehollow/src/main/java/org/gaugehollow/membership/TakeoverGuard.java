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
 * Determines which boxes can be taken over. A box whose registration is gone may still have rights
 * confirmed by its peers. A takeover therefore waits until a quorum of boxes has replied to this
 * box since the registration was found missing, and then until earlier peer confirmations have
 * expired. Not thread-safe.
 */
final class TakeoverGuard
{
    private static final long SAFETY_MARGIN_MILLIS = 200;

    /** The time since which a box is not registered, and since which the quorum is informed. */
    private static final class MissingBox
    {
        private final long missingSince;
        private boolean quorumInformed;
        private long quorumInformedAt;

        MissingBox(long missingSince)
        {
            this.missingSince = missingSince;
        }
    }

    private final BoxIdentity self;
    private final PeerMonitor peers;
    private final long takeoverDelayNanos;
    private final long forceTakeoverNanos;
    private final EventLog events;
    private final Map<String, MissingBox> missingBoxes = new HashMap<>();

    TakeoverGuard(BoxIdentity self, PeerMonitor peers, long confirmationMillis, long abandonSeconds,
            EventLog events)
    {
        this.self = self;
        this.peers = peers;
        this.takeoverDelayNanos = TimeUnit.MILLISECONDS.toNanos(confirmationMillis + SAFETY_MARGIN_MILLIS);
        this.forceTakeoverNanos = TimeUnit.SECONDS.toNanos(abandonSeconds);
        this.events = events;
    }

    /**
     * Discards all observations, since the store did not answer. It is then unknown which boxes are
     * missing, and since when.
     */
    void reset()
    {
        missingBoxes.clear();
    }

    /**
     * Evaluates a listing of the registered boxes.
     *
     * @param map the current map
     * @param registered the ids of the registered boxes
     * @param now the time at which the listing was received, on the steady clock
     * @return the boxes of the map whose rights have certainly expired
     */
    Set<String> findExpired(AssignmentMap map, Set<String> registered, long now)
    {
        missingBoxes.keySet().removeIf(box -> registered.contains(box) || !map.boxes().containsKey(box));
        Set<String> expired = new HashSet<>();
        for (String box : map.boxes().keySet())
        {
            if (!registered.contains(box) && isExpired(map, box, now))
            {
                expired.add(box);
            }
        }
        return expired;
    }

    private boolean isExpired(AssignmentMap map, String box, long now)
    {
        MissingBox state = missingBoxes.get(box);
        if (state == null)
        {
            state = new MissingBox(now);
            missingBoxes.put(box, state);
            events.record(EventType.TAKEOVER_WAITS, box, "its lease expired");
        }
        if (forceTakeoverNanos > 0 && now - state.missingSince > forceTakeoverNanos)
        {
            return true;
        }
        boolean quorumInformed = countInformed(map, state.missingSince) >= requiredCount(map);
        if (quorumInformed && !state.quorumInformed)
        {
            state.quorumInformedAt = now;
        }
        state.quorumInformed = quorumInformed;
        return quorumInformed && now - state.quorumInformedAt > takeoverDelayNanos;
    }

    /** Returns the quorum size; 0 for a map with a single box, whose rights no peer can extend. */
    private static int requiredCount(AssignmentMap map)
    {
        return map.boxes().size() == 1 ? 0 : map.takeoverQuorum();
    }

    private int countInformed(AssignmentMap map, long since)
    {
        int count = 0;
        for (String box : map.boxes().keySet())
        {
            boolean informed = box.equals(self.id()) || peers.view(box).filter(
                    v -> v.repliedPingSentAt().isPresent() && v.repliedPingSentAt().getAsLong() - since > 0)
                    .isPresent();
            count += informed ? 1 : 0;
        }
        return count;
    }
}
