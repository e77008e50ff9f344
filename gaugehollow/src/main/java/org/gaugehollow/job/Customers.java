/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/** The customers of a version of the configuration, by name and by key. */
public final class Customers
{
    /** A configuration without customers: whoever reaches a box may use it. */
    public static final Customers NONE = new Customers(false, List.of());

    private final boolean keysRequired;
    private final Map<String, Customer> byName = new HashMap<>();
    private final Map<String, Customer> byKey = new HashMap<>();

    /**
     * A customer as the operator declares it.
     *
     * @param customer the customer
     * @param keys its callers' keys
     */
    public record Declared(Customer customer, List<String> keys)
    {
        /** @return the customer's name; keys stand in no text */
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
     * @param declared all customers; if there are none, no caller has a key and none is let in
     * @return the customers
     * @throws GaugehollowException {@code STORE_BAD_ANSWER} if a name or a key stands twice
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
                    "customer " + customer.name() + " stands twice");
        }
        for (String key : declared.keys())
        {
            Customer other = byKey.put(key, customer);
            if (other != null && other != customer)
            {
                throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER,
                        customer.name() + " and " + other.name() + " have the same key");
            }
        }
    }

    /** @return whether callers need a key on queues that are not public */
    public boolean keysRequired()
    {
        return keysRequired;
    }

    /**
     * @param key a caller's key
     * @return whose key it is, if it is in force
     */
    public Optional<Customer> ofKey(String key)
    {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * @param name a customer's name; null for none
     * @return the customer, if this version has it
     */
    public Optional<Customer> named(String name)
    {
        return Optional.ofNullable(byName.get(name));
    }
}
