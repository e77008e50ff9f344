/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.standin.RosterLine;
import org.gaugehollow.standin.WorkerStandin;
import org.gaugehollow.standin.WorkerStandinOptions;
import org.gaugehollow.time.SteadyClock;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Runs an upstream's stand-in as a process of its own. SIGTERM makes it leave: it drains and then
 * ends.
 */
@Parameters(commandDescription = "run an upstream's stand-in, for tests")
final class WorkerStandinCommand implements Command
{
    private static final int TIMEOUT_MILLIS = 2_000;
    /** For so long a worker tries to tell the platform of itself before it gives up. */
    private static final long START_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int RETRY_MILLIS = 200;
    /** For so long a leaving worker still refuses new requests before it ends. */
    private static final long LINGER_MILLIS = 1_500;

    @Parameter(names = "--listen", description = "where to listen")
    private String listen = "127.0.0.1:0";

    @Parameter(names = "--advertise", description = "the address that the list shows, if it differs")
    private String advertise;

    @Parameter(names = "--platform", required = true, description = "the platform's stand-in")
    private String platform;

    @Parameter(names = "--id", required = true, description = "the worker's id")
    private String id;

    @Parameter(names = "--hall", required = true, description = "its data hall")
    private String hall;

    @Parameter(names = "--rack", description = "its rack")
    private String rack = "r1";

    @Parameter(names = "--slots", description = "how many requests it runs at once")
    private int slots = 8;

    @Parameter(names = "--cpu-millis", description = "thousandths of a processor")
    private int cpuMillis = 16_000;

    @Parameter(names = "--memory-mib", description = "memory in MiB")
    private int memoryMib = 32_768;

    @Parameter(names = "--accelerators", description = "accelerators")
    private int accelerators;

    @Parameter(names = "--no-fencing", description = "accept starts of older owners too")
    private boolean noFencing;

    @Override
    public String name()
    {
        return "worker-standin";
    }

    @Override
    public String examples()
    {
        return "gaugehollow worker-standin --id w1 --hall bole --platform 127.0.0.1:7700";
    }

    @Override
    public ExitCode run(Console console) throws InterruptedException
    {
        NetLoops loops = new NetLoops(Optional.empty());
        WorkerStandinOptions options = new WorkerStandinOptions(id, hall, rack,
                new ComputeResources(slots, cpuMillis, memoryMib, accelerators), !noFencing);
        WorkerStandin worker = new WorkerStandin(loops, NetAddress.parse(listen), options);
        String advertised = advertise == null ? NetAddress.format(worker.address()) : advertise;
        HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform));
        announceUntilAnswered(caller, worker.rosterLine(advertised, "live", false));
        console.line("ready " + NetAddress.format(worker.address()));
        CountDownLatch left = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> leave(worker, caller, advertised, left), "leave"));
        left.await();
        return ExitCode.OK;
    }

    private static void leave(WorkerStandin worker, HttpCaller caller, String advertised, CountDownLatch left)
    {
        try
        {
            worker.leave();
            announce(caller, worker.rosterLine(advertised, "leaving", false));
            Thread.sleep(LINGER_MILLIS);
            worker.drain();
            announce(caller, worker.rosterLine(advertised, "leaving", true));
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        catch (GaugehollowException e)
        {
            // the platform is silent; the boxes see by themselves that the worker leaves
        }
        finally
        {
            left.countDown();
        }
    }

    /**
     * Tells the platform of the worker, again and again as a real worker does it. The call changes
     * nothing if it was carried out before.
     */
    private static void announceUntilAnswered(HttpCaller caller, RosterLine line) throws InterruptedException
    {
        long endNanos = SteadyClock.nanos() + START_NANOS;
        while (true)
        {
            try
            {
                announce(caller, line);
                return;
            }
            catch (GaugehollowException e)
            {
                if (SteadyClock.nanos() - endNanos > 0)
                {
                    throw e;
                }
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private static void announce(HttpCaller caller, RosterLine line) throws InterruptedException
    {
        caller.call("PUT", "/standin/workers", Json.write(line), TIMEOUT_MILLIS);
    }
}
