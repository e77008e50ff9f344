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
 * Settings of an entry box, read from a JSON file. docs/SETTINGS.md describes each key.
 *
 * @param box name of the box
 * @param hall data hall
 * @param region region
 * @param callerAddress listening address for callers
 * @param operatorAddress listening address for operators
 * @param peerAddress listening address for peers
 * @param advertisedPeerAddress address on which peers reach the box, if it differs from
 *            {@code peerAddress}
 * @param sourceAddress local IP address of outgoing connections; null for any
 * @param platform connection to the platform
 * @param seeds peer addresses of boxes of the data hall, used if the platform is unreachable at
 *            start
 * @param timing timing of membership
 * @param limits request limits
 */
public record EntrySettings(String box, String hall, String region, String callerAddress,
        String operatorAddress, String peerAddress, String advertisedPeerAddress, String sourceAddress,
        PlatformSettings platform, List<String> seeds, TimingSettings timing, LimitSettings limits)
{
    private static final int MAX_SEEDS = 64;

    /** Checks all values and sets defaults for omitted ones. */
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
        Checks.range(seeds.size(), 0, MAX_SEEDS, "seeds");
        seeds.forEach(seed -> SettingChecks.address(seed, "seeds"));
        timing = timing == null ? TimingSettings.defaults() : timing;
        limits = limits == null ? LimitSettings.defaults() : limits;
    }

    /** @return peer address for the assignment map */
    public String reachablePeerAddress()
    {
        return advertisedPeerAddress == null ? peerAddress : advertisedPeerAddress;
    }

    /** @return local IP address of outgoing connections, or null for any */
    public InetAddress sourceIp()
    {
        return sourceAddress == null ? null : NetAddress.parse(sourceAddress + ":0").getAddress();
    }
}
