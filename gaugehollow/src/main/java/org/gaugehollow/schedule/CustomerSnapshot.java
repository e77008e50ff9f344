/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.fairness.FairShares;

/** Weighted shares and waiting tasks of the customers with the largest shares, for metrics. */
public final class CustomerSnapshot
{
    /** No customers. */
    public static final CustomerSnapshot EMPTY = new CustomerSnapshot(List.of());
    /** Maximum number of customers; bounds the number of time series. */
    static final int MAX_CUSTOMERS = 30;
    /** Shown in place of a name for work without a customer. */
    private static final String NO_CUSTOMER_LABEL = "(none)";

    /**
     * The state of one customer.
     *
     * @param customer the customer's name, or {@link FairShares#NO_CUSTOMER}
     * @param share its weighted share
     * @param waitingTasks the number of its tasks that are ready to start
     */
    record Entry(String customer, double share, int waitingTasks)
    {
    }

    private final List<Entry> largest;

    /** @param entries the state of all customers */
    CustomerSnapshot(List<Entry> entries)
    {
        this.largest = entries.stream()
                .sorted(Comparator.comparingDouble(Entry::share).reversed().thenComparing(Entry::customer))
                .limit(MAX_CUSTOMERS).toList();
    }

    /** Returns how a customer is shown in metrics and logs. */
    static String labelOf(String customer)
    {
        return customer.equals(FairShares.NO_CUSTOMER) ? NO_CUSTOMER_LABEL : customer;
    }

    /** @return the weighted share by customer, as a multiple of the customer's part of the cell */
    public Map<String, Double> shares()
    {
        Map<String, Double> values = new LinkedHashMap<>();
        largest.forEach(entry -> values.put(labelOf(entry.customer()), entry.share()));
        return values;
    }

    /** @return the number of tasks that are ready to start, by customer */
    public Map<String, Double> waitingTasks()
    {
        Map<String, Double> values = new LinkedHashMap<>();
        largest.forEach(entry -> values.put(labelOf(entry.customer()), (double) entry.waitingTasks()));
        return values;
    }
}
