/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The waiting work of a cell and the rate at which it is done, as counted by the cell's owner.
 *
 * @param owner id of the box that owns the cell
 * @param term the owner's term, which increases with each change of owner
 * @param waiting the waiting work by rank
 * @param capacities the capacity of each service with waiting work
 * @param customersAtWeight the customers whose next job exceeds their weight
 */
public record BacklogAccount(String owner, long term, List<WaitingClass> waiting,
        List<ServiceCapacity> capacities, Set<String> customersAtWeight)
{
    /** Maximum number of entries of each list. A cell with more has no account. */
    public static final int MAX_ENTRIES = 64;

    /** Copies the lists. */
    public BacklogAccount
    {
        waiting = List.copyOf(waiting);
        capacities = List.copyOf(capacities);
        customersAtWeight = Set.copyOf(customersAtWeight);
    }

    /** @return whether no list has more than {@link #MAX_ENTRIES} entries */
    public boolean isWithinLimits()
    {
        return waiting.size() <= MAX_ENTRIES && capacities.size() <= MAX_ENTRIES
                && customersAtWeight.size() <= MAX_ENTRIES;
    }

    /**
     * @param service a service
     * @return its capacity, if work waits for it
     */
    public Optional<ServiceCapacity> capacity(String service)
    {
        return capacities.stream().filter(capacity -> capacity.service().equals(service)).findFirst();
    }

    /**
     * @param customer name of a customer, or null
     * @return whether the next job of the customer exceeds its weight
     */
    public boolean isAtWeight(String customer)
    {
        return customer != null && customersAtWeight.contains(customer);
    }
}
