/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** One version of the operators' configuration of a cell. */
public final class CellConfig
{
    /** Before the first version is known. */
    public static final CellConfig NONE = new CellConfig(0, List.of());

    private final long version;
    private final Map<String, QueueSpec> queues = new HashMap<>();
    private final Set<String> services = new HashSet<>();
    private final List<QueueRoute> routes;
    private final Customers customers;

    /**
     * How callers name a queue.
     *
     * @param host the host that a request names
     * @param pathPrefix the start of the path
     * @param queue the queue that it leads to
     * @param isPublic whether callers need no key
     */
    public record QueueRoute(String host, String pathPrefix, QueueSpec queue, boolean isPublic)
    {
        /** A route of a configuration without customers; see the components. */
        public QueueRoute(String host, String pathPrefix, QueueSpec queue)
        {
            this(host, pathPrefix, queue, false);
        }
    }

    /**
     * @param version rises with each change; 0 for none
     * @param routes all routes of this version
     */
    public CellConfig(long version, List<QueueRoute> routes)
    {
        this(version, routes, List.of(), Customers.NONE);
    }

    /**
     * @param version rises with each change; 0 for none
     * @param routes all routes of this version
     * @param services the services that it names beside those that queues lead to
     * @param customers who shares the cell
     */
    public CellConfig(long version, List<QueueRoute> routes, Collection<String> services, Customers customers)
    {
        this.version = version;
        this.customers = customers;
        this.routes = List.copyOf(routes);
        this.services.addAll(services);
        routes.forEach(route -> queues.put(route.queue().name(), route.queue()));
        routes.forEach(route -> this.services.add(route.queue().service()));
    }

    /**
     * @param service a service's name
     * @return whether this version names it; true for all while no version is known
     */
    public boolean mayHaveService(String service)
    {
        return version == 0 || services.contains(service);
    }

    /** @return who shares the cell */
    public Customers customers()
    {
        return customers;
    }

    /** @return the version, 0 for none */
    public long version()
    {
        return version;
    }

    /**
     * @param name a queue's name
     * @return the queue, if this version has it
     */
    public Optional<QueueSpec> queue(String name)
    {
        return Optional.ofNullable(queues.get(name));
    }

    /**
     * Finds the route with the longest prefix that a request's path starts with.
     *
     * @param host the host that the request names, without a port
     * @param path the request's path
     * @return the route, if there is one
     */
    public Optional<QueueRoute> route(String host, String path)
    {
        QueueRoute best = null;
        for (QueueRoute route : routes)
        {
            boolean matches = route.host().equalsIgnoreCase(host) && path.startsWith(route.pathPrefix());
            if (matches && (best == null || route.pathPrefix().length() > best.pathPrefix().length()))
            {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }
}
