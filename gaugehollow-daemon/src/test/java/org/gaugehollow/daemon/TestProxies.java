/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.gaugehollow.net.NetAddress;
import org.gaugehollow.standin.FaultProxy;

/** Fault-injecting proxies of a test cell by name, with the source addresses that each blocks. */
final class TestProxies implements AutoCloseable
{
    private final Map<String, FaultProxy> proxies = new HashMap<>();
    private final Map<String, Set<String>> blockedSources = new HashMap<>();

    /** Starts a proxy in front of an address and returns the address of the proxy. */
    String add(String name, String target)
    {
        try
        {
            FaultProxy proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 0),
                    NetAddress.parse(target));
            FaultProxy previous = proxies.put(name, proxy);
            if (previous != null)
            {
                previous.close();
            }
            return NetAddress.format(proxy.address());
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
    }

    String address(String name)
    {
        return NetAddress.format(proxies.get(name).address());
    }

    void blockSource(String name, String sourceIp)
    {
        Set<String> sources = blockedSources.computeIfAbsent(name, h -> new HashSet<>());
        sources.add(sourceIp);
        Set<String> blocked = Set.copyOf(sources);
        proxies.get(name).blockSources(address -> blocked.contains(address.getHostAddress()));
    }

    void unblockAll()
    {
        blockedSources.clear();
        proxies.values().forEach(proxy -> proxy.blockSources(source -> false));
    }

    /** Closes one proxy, so that its address refuses connections. */
    void closeProxy(String name)
    {
        closeQuietly(proxies.get(name));
    }

    private static void closeQuietly(FaultProxy proxy)
    {
        try
        {
            proxy.close();
        }
        catch (IOException e)
        {
            // the socket is closed in any case
        }
    }

    @Override
    public void close()
    {
        proxies.values().forEach(TestProxies::closeQuietly);
    }
}
