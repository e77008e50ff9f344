/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the witnesses of an owner: one in its data hall, so that a hall that is cut off keeps its
 * runs, and one elsewhere. Few witnesses, since a later owner needs the answer of each of them.
 */
final class WitnessChoice
{
    private WitnessChoice()
    {
    }

    /**
     * Returns the witnesses; empty if no candidate is in the data hall of the owner.
     *
     * @param current the present witnesses, which are kept if possible
     * @param candidates addresses of the registered boxes
     * @param sameHall whether a box is in the data hall of the owner, by address; only boxes that have
     *            answered are known
     */
    static List<String> choose(List<String> current, Collection<String> candidates,
            Map<String, Boolean> sameHall)
    {
        Optional<String> inHall = find(current, candidates, address -> sameHall.getOrDefault(address, false));
        Optional<String> elsewhere = find(current, candidates,
                address -> !sameHall.getOrDefault(address, true));
        List<String> chosen = new ArrayList<>();
        inHall.ifPresent(chosen::add);
        if (inHall.isPresent())
        {
            elsewhere.ifPresent(chosen::add);
        }
        return chosen;
    }

    private static Optional<String> find(List<String> current, Collection<String> candidates,
            Predicate<String> condition)
    {
        Predicate<String> isSuitable = address -> candidates.contains(address) && condition.test(address);
        return current.stream().filter(isSuitable).findFirst()
                .or(() -> candidates.stream().filter(isSuitable).sorted().findFirst());
    }
}
