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
 * Runs an upstream stand-in as a separate process. On SIGTERM it rejects new requests, drains and
 * exits.
 */
@Parameters(commandDescription = "run an upstream stand-in, for tests")
final class WorkerStandinCommand implements Command
{
    private static final int TIMEOUT_MILLIS = 2_000;
    /** Total time to retry the registration with the platform at startup. */
    private static final long ANNOUNCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int ANNOUNCE_RETRY_MILLIS = 200;
    /** Time during which a leaving worker rejects new requests before it drains. */
    private static final long REJECT_BEFORE_STOP_MILLIS = 1_500;

    @Parameter(names = "--listen", description = "listen address")
    private String listen = "127.0.0.1:0";

    @Parameter(names = "--advertise", description = "address in the roster, if it differs from the listen address")
    private String advertise;

    @Parameter(names = "--platform", required = true, description = "address of the platform stand-in")
    private String platform;

    @Parameter(names = "--id", required = true, description = "worker id")
    private String id;

    @Parameter(names = "--hall", required = true, description = "data hall")
    private String hall;

    @Parameter(names = "--rack", description = "rack")
    private String rack = "r1";

    @Parameter(names = "--slots", description = "maximum number of concurrent requests")
    private int slots = 8;

    @Parameter(names = "--cpu-millis", description = "CPU capacity in thousandths of a processor")
    private int cpuMillis = 16_000;

    @Parameter(names = "--memory-mib", description = "memory capacity in MiB")
    private int memoryMib = 32_768;

    @Parameter(names = "--accelerators", description = "number of accelerators")
    private int accelerators;

    @Parameter(names = "--no-fencing", description = "accept starts from older owners")
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
        announceWithRetry(caller, worker.rosterLine(advertised, "live", false));
        console.printLine("ready " + NetAddress.format(worker.address()));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> leave(worker, caller, advertised, stopped), "leave"));
        stopped.await();
        return ExitCode.OK;
    }

    private static void leave(WorkerStandin worker, HttpCaller caller, String advertised,
            CountDownLatch stopped)
    {
        try
        {
            worker.leave();
            announce(caller, worker.rosterLine(advertised, "leaving", false));
            Thread.sleep(REJECT_BEFORE_STOP_MILLIS);
            worker.drain();
            announce(caller, worker.rosterLine(advertised, "leaving", true));
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
        }
        catch (GaugehollowException e)
        {
            // the platform is unresponsive; boxes learn from the worker itself that it is leaving
        }
        finally
        {
            stopped.countDown();
        }
    }

    /**
     * Registers the worker with the platform and retries until it answers. The call is idempotent.
     */
    private static void announceWithRetry(HttpCaller caller, RosterLine line) throws InterruptedException
    {
        long deadlineNanos = SteadyClock.nanos() + ANNOUNCE_TIMEOUT_NANOS;
        while (true)
        {
            try
            {
                announce(caller, line);
                return;
            }
            catch (GaugehollowException e)
            {
                if (SteadyClock.nanos() - deadlineNanos > 0)
                {
                    throw e;
                }
            }
            Thread.sleep(ANNOUNCE_RETRY_MILLIS);
        }
    }

    private static void announce(HttpCaller caller, RosterLine line) throws InterruptedException
    {
        caller.call("PUT", "/standin/workers", Json.write(line), TIMEOUT_MILLIS);
    }
}
