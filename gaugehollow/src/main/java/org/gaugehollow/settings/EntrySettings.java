/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import java.net.InetAddress;
import java.util.List;

import org.gaugehollow.model.Checks;
import org.gaugehollow.net.NetAddress;

/**
 * The settings of an entry box, read from a JSON file. docs/SETTINGS.md describes each key.
 *
 * @param box the box's name
 * @param hall its data hall
 * @param region its region
 * @param callerAddress where callers reach it
 * @param operatorAddress where operators reach it
 * @param peerAddress where it listens for peers
 * @param advertisedPeerAddress where peers reach it, if that differs
 * @param sourceAddress the IP number its own connections come from, if it is to be a certain one
 * @param platform how the platform is reached
 * @param seeds peer addresses of boxes of the hall, asked when the platform does not answer at
 *            start
 * @param timing the periods of membership
 * @param limits the limits of requests
 */
public record EntrySettings(String box, String hall, String region, String callerAddress,
        String operatorAddress, String peerAddress, String advertisedPeerAddress, String sourceAddress,
        PlatformSettings platform, List<String> seeds, TimingSettings timing, LimitSettings limits)
{
    private static final int MOST_SEEDS = 64;

    /** Checks every key and fills in what may be left out. */
    public EntrySettings
    {
        Checks.name(box, "box");
        Checks.name(hall, "hall");
        region = region == null ? "default" : region;
        Checks.name(region, "region");
        SettingChecks.address(callerAddress, "callerAddress");
        SettingChecks.address(operatorAddress, "operatorAddress");
        SettingChecks.address(peerAddress, "peerAddress");
        if (advertisedPeerAddress != null)
        {
            SettingChecks.address(advertisedPeerAddress, "advertisedPeerAddress");
        }
        if (sourceAddress != null)
        {
            SettingChecks.address(sourceAddress + ":0", "sourceAddress");
        }
        Checks.present(platform, "platform");
        seeds = seeds == null ? List.of() : List.copyOf(seeds);
        Checks.range(seeds.size(), 0, MOST_SEEDS, "seeds");
        seeds.forEach(seed -> SettingChecks.address(seed, "seeds"));
        timing = timing == null ? TimingSettings.defaults() : timing;
        limits = limits == null ? LimitSettings.defaults() : limits;
    }

    /** @return the address that goes into the hall's map */
    public String reachablePeerAddress()
    {
        return advertisedPeerAddress == null ? peerAddress : advertisedPeerAddress;
    }

    /** @return the source address without a port, or null */
    public InetAddress sourceIp()
    {
        return sourceAddress == null ? null : NetAddress.parse(sourceAddress + ":0").getAddress();
    }
}
