/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gaugehollow.entry.EntryBox;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.Json;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.settings.EntrySettings;
import org.gaugehollow.settings.PlatformSettings;
import org.gaugehollow.settings.TimingSettings;
import org.gaugehollow.standin.PlatformStandin;
import org.gaugehollow.standin.WorkerStandin;
import org.gaugehollow.standin.WorkerStandinOptions;

/**
 * Cell inside one process on loopback addresses: platform stand-in, worker stand-ins and two entry
 * boxes.
 */
final class LocalCell implements AutoCloseable
{
    private static final String HALL = "local";
    private static final int BOX_COUNT = 2;
    private static final int PORTS_PER_BOX = 10;
    private static final int OPERATOR_OFFSET = 1;
    private static final int PEER_OFFSET = 2;
    private static final int PLATFORM_OFFSET = -1;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final ComputeResources WORKER_CAPACITY = new ComputeResources(8, 16_000, 32_768, 1);

    private final NetLoops loops = new NetLoops(Optional.empty());
    private final List<WorkerStandin> workers = new ArrayList<>();
    private final List<EntryBox> boxes = new ArrayList<>();
    private final PlatformStandin platform;

    LocalCell(int firstPort, int workerCount) throws InterruptedException
    {
        platform = new PlatformStandin(loops, loopback(firstPort + PLATFORM_OFFSET), 0);
        try (HttpCaller caller = new HttpCaller(loops, platform.address()))
        {
            for (int i = 1; i <= workerCount; i++)
            {
                WorkerStandin worker = new WorkerStandin(loops, loopback(0),
                        new WorkerStandinOptions("worker-" + i, HALL, "rack-1", WORKER_CAPACITY, true));
                workers.add(worker);
                String address = NetAddress.format(worker.address());
                caller.call("PUT", "/standin/workers", Json.write(worker.rosterLine(address, "live", false)),
                        TIMEOUT_MILLIS);
            }
        }
        for (int i = 0; i < BOX_COUNT; i++)
        {
            boxes.add(new EntryBox(createSettings(i, firstPort + i * PORTS_PER_BOX)));
        }
    }

    private EntrySettings createSettings(int number, int port)
    {
        String store = NetAddress.format(platform.address());
        return new EntrySettings("local-" + (number + 1), HALL, null, "127.0.0.1:" + port,
                "127.0.0.1:" + (port + OPERATOR_OFFSET), "127.0.0.1:" + (port + PEER_OFFSET), null, null,
                new PlatformSettings(store, store, null, 0, 0), null, TimingSettings.defaults(), null);
    }

    List<EntryBox> boxes()
    {
        return boxes;
    }

    private static InetSocketAddress loopback(int port)
    {
        return NetAddress.parse("127.0.0.1:" + port);
    }

    @Override
    public void close()
    {
        boxes.forEach(EntryBox::close);
        workers.forEach(WorkerStandin::close);
        platform.close();
        loops.close();
    }
}
