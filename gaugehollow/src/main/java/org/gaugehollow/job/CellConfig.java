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

/** One version of a cell's configuration. */
public final class CellConfig
{
    /** The configuration used until the first version is known. */
    public static final CellConfig NONE = new CellConfig(0, List.of());

    private final long version;
    private final Map<String, QueueSpec> queues = new HashMap<>();
    private final Set<String> services = new HashSet<>();
    private final List<QueueRoute> routes;
    private final Customers customers;

    /**
     * Maps requests to a queue by host and path prefix.
     *
     * @param host the host of the request
     * @param pathPrefix the prefix of the request's path
     * @param queue the queue
     * @param isPublic whether callers need no key
     */
    public record QueueRoute(String host, String pathPrefix, QueueSpec queue, boolean isPublic)
    {
        /** Creates a route of a configuration without customers. */
        public QueueRoute(String host, String pathPrefix, QueueSpec queue)
        {
            this(host, pathPrefix, queue, false);
        }

        /** @return where callers reach the queue */
        public QueueAddress address()
        {
            return new QueueAddress(host, pathPrefix);
        }
    }

    /**
     * @param version the version, which increases with each change; 0 for none
     * @param routes the routes
     */
    public CellConfig(long version, List<QueueRoute> routes)
    {
        this(version, routes, List.of(), Customers.NONE);
    }

    /**
     * @param version the version, which increases with each change; 0 for none
     * @param routes the routes
     * @param services the names of services in addition to those of the queues
     * @param customers the customers of the cell
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
     * @return whether this version contains the service; always true until a version is known
     */
    public boolean mayHaveService(String service)
    {
        return version == 0 || services.contains(service);
    }

    /** @return the customers of the cell */
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
     * @return the queue, if it exists in this version
     */
    public Optional<QueueSpec> queue(String name)
    {
        return Optional.ofNullable(queues.get(name));
    }

    /**
     * Finds the route of the host with the longest prefix that matches the path.
     *
     * @param host the request's host, without a port
     * @param path the request's path
     * @return the route, if one matches
     */
    public Optional<QueueRoute> findRoute(String host, String path)
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
