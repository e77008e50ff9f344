/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.fairness;

import java.util.Map;

import org.gaugehollow.model.ComputeResources;

/**
 * Weighted dominant resource fairness over what runs: a customer's share is the largest fraction of
 * the cell's capacity that its runs use of any resource, as a multiple of the part that its weight
 * entitles it to; 1 is the whole part. Answers a full cell in which a customer gets far more than
 * its part because its jobs are large or many.
 *
 * <p>
 * Work without a customer has the weight of all customers together, because it may be of use to
 * each of them: it gets half of a cell for which all customers compete. A customer that is no
 * longer configured has the smallest weight, so that its remaining work neither delays the others
 * nor waits for ever.
 */
public final class FairShares
{
    /** Name that stands for work without a customer. */
    public static final String NO_CUSTOMER = "";
    /** Smallest weight, in jobs per second; keeps the share of a customer of weight 0 finite. */
    static final double MIN_WEIGHT = 0.01;
    /**
     * Maximum share that is left out of account for a step that has begun, as a multiple of its
     * customer's part.
     */
    static final double MAX_BEGUN_SHARE = 1;

    private final Map<String, Double> weights;
    private final ComputeResources capacity;
    private final double totalWeight;
    private final double leastWeight;

    /**
     * @param weights the weights of the configured customers by name
     * @param capacity the capacity of all workers that accept starts
     */
    public FairShares(Map<String, Double> weights, ComputeResources capacity)
    {
        this.weights = weights;
        this.capacity = capacity;
        this.totalWeight = weights.values().stream().mapToDouble(FairShares::positive).sum();
        this.leastWeight = weights.values().stream().mapToDouble(FairShares::positive).min()
                .orElse(MIN_WEIGHT);
    }

    private static double positive(double weight)
    {
        return Math.max(MIN_WEIGHT, weight);
    }

    private double weightOf(String customer)
    {
        if (customer.equals(NO_CUSTOMER))
        {
            return Math.max(leastWeight, totalWeight);
        }
        Double weight = weights.get(customer);
        return weight == null ? leastWeight : positive(weight);
    }

    /**
     * Returns a customer's weighted share.
     *
     * @param customer the customer's name, or {@link #NO_CUSTOMER}
     * @param used the compute resources that its runs use
     * @return the share as a multiple of the customer's part of the cell
     */
    public double shareOf(String customer, ComputeResources used)
    {
        double dominant = DominantShare.of(used, capacity);
        return dominant * Math.max(leastWeight, totalWeight) / weightOf(customer);
    }

    /**
     * Returns the weighted share at which a step competes for its next tasks. Within limits, a step
     * that has begun competes as before its begin: if each start moved it behind other customers, all
     * steps would be half done and none finished.
     *
     * @param customer the customer's name, or {@link #NO_CUSTOMER}
     * @param used the compute resources that the customer's runs use
     * @param usedByStep the part of it that the step's runs use
     * @return the share as a multiple of the customer's part of the cell
     */
    public double competingShare(String customer, ComputeResources used, ComputeResources usedByStep)
    {
        return Math.max(shareOf(customer, used) - MAX_BEGUN_SHARE,
                shareOf(customer, used.minusClamped(usedByStep)));
    }
}
