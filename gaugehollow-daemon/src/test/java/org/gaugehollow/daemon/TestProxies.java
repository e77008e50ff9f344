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

/** The hops of a test's cell, by name, and which source addresses each of them refuses. */
final class TestHops implements AutoCloseable
{
    private final Map<String, FaultProxy> hops = new HashMap<>();
    private final Map<String, Set<String>> cuts = new HashMap<>();

    /** Puts a hop in front of an address and returns the address to use instead. */
    String add(String name, String target)
    {
        try
        {
            FaultProxy hop = new FaultProxy(new InetSocketAddress("127.0.0.1", 0), NetAddress.parse(target));
            FaultProxy old = hops.put(name, hop);
            if (old != null)
            {
                old.close();
            }
            return NetAddress.format(hop.address());
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
    }

    String address(String name)
    {
        return NetAddress.format(hops.get(name).address());
    }

    void cut(String name, String sourceIp)
    {
        Set<String> sources = cuts.computeIfAbsent(name, h -> new HashSet<>());
        sources.add(sourceIp);
        Set<String> now = Set.copyOf(sources);
        hops.get(name).cutOff(address -> now.contains(address.getHostAddress()));
    }

    void heal()
    {
        cuts.clear();
        hops.values().forEach(hop -> hop.cutOff(source -> false));
    }

    /** Ends one hop, so that its address refuses connections. */
    void end(String name)
    {
        closeQuietly(hops.get(name));
    }

    private static void closeQuietly(FaultProxy hop)
    {
        try
        {
            hop.close();
        }
        catch (IOException e)
        {
            // it is closed either way
        }
    }

    @Override
    public void close()
    {
        hops.values().forEach(TestHops::closeQuietly);
    }
}
