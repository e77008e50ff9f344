/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** The customers in one version of the configuration, by name and by key. */
public final class Customers
{
    /** No customers: callers need no keys. */
    public static final Customers NONE = new Customers(false, List.of());

    private final boolean keysRequired;
    private final Map<String, Customer> byName = new HashMap<>();
    private final Map<String, Customer> byKey = new HashMap<>();
    private final Map<String, Double> weights = new HashMap<>();

    /**
     * A customer with its keys.
     *
     * @param customer the customer
     * @param keys the keys of the customer's callers
     */
    public record Declared(Customer customer, List<String> keys)
    {
        /** @return the customer's name and the number of its keys, without the keys */
        @Override
        public String toString()
        {
            return "Declared[" + customer.name() + ", " + keys.size() + " keys]";
        }
    }

    private Customers(boolean keysRequired, List<Declared> declared)
    {
        this.keysRequired = keysRequired;
        declared.forEach(this::add);
    }

    /**
     * @param declared all customers; if empty, no caller has a valid key
     * @return the customers
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if two customers have the same name or key
     */
    public static Customers of(List<Declared> declared)
    {
        return new Customers(true, declared);
    }

    private void add(Declared declared)
    {
        Customer customer = declared.customer();
        if (byName.put(customer.name(), customer) != null)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                    "customer " + customer.name() + " is declared twice");
        }
        weights.put(customer.name(), customer.weight());
        for (String key : declared.keys())
        {
            Customer other = byKey.put(key, customer);
            if (other != null && other != customer)
            {
                throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                        "customers " + customer.name() + " and " + other.name() + " have the same key");
            }
        }
    }

    /** @return whether callers need a key for queues that are not public */
    public boolean keysRequired()
    {
        return keysRequired;
    }

    /**
     * @param key a caller's key
     * @return the customer that the key belongs to, if the key is valid
     */
    public Optional<Customer> findByKey(String key)
    {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * @param name a customer's name; null for none
     * @return the customer, if it exists in this version
     */
    public Optional<Customer> findByName(String name)
    {
        return Optional.ofNullable(byName.get(name));
    }

    /** @return the weights of all customers by name */
    public Map<String, Double> weights()
    {
        return Collections.unmodifiableMap(weights);
    }
}
