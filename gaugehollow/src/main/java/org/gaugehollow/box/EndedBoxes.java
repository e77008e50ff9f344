/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers which boxes have certainly ended. A box ends before another process registers at its
 * address, since both listen there; a registration that merely expires proves nothing.
 */
final class EndedBoxes
{
    /** Number of the newest registrations that are remembered. */
    private static final int MAX_BOXES = 1_000;

    private final Map<String, BoxProcess> processes = new LinkedHashMap<>()
    {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, BoxProcess> eldest)
        {
            return size() > MAX_BOXES;
        }
    };

    /**
     * The process of a box.
     *
     * @param address address at which it listens
     * @param revision revision of its registration, in the order of the processes at an address
     * @param endNanos monotonic time by which it had ended, empty if that isn't known
     */
    private record BoxProcess(String address, long revision, OptionalLong endNanos)
    {
        boolean isReplacedBy(BoxProcess other)
        {
            return endNanos.isEmpty() && address.equals(other.address) && revision < other.revision;
        }

        BoxProcess endedAt(long nanos)
        {
            return new BoxProcess(address, revision, OptionalLong.of(nanos));
        }
    }

    /**
     * Handles a registration.
     *
     * @param box id of the box
     * @param address address of the box
     * @param revision revision of the registration
     * @param nowNanos current monotonic time
     */
    synchronized void onRegistered(String box, String address, long revision, long nowNanos)
    {
        BoxProcess registered = new BoxProcess(address, revision, OptionalLong.empty());
        boolean isNewest = processes.values().stream().noneMatch(registered::isReplacedBy);
        processes.replaceAll((id, process) -> !id.equals(box) && process.isReplacedBy(registered)
                ? process.endedAt(nowNanos)
                : process);
        processes.putIfAbsent(box, isNewest ? registered : registered.endedAt(nowNanos));
    }

    /** Returns the monotonic time by which a box had certainly ended, or empty if that isn't known. */
    synchronized OptionalLong endNanos(String box)
    {
        BoxProcess process = processes.get(box);
        return process == null ? OptionalLong.empty() : process.endNanos();
    }
}
