/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.standin.PlatformSwitches;
import org.gaugehollow.standin.StartRecord;
import org.gaugehollow.standin.WorkerRecords;
import org.gaugehollow.upstream.UpstreamHeaders;

import com.fasterxml.jackson.databind.JsonNode;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A cell of separate processes for one test: the platform's stand-in, workers and entry boxes. Each
 * box has a loopback address of its own, and hops in front of platform, peers and workers make
 * cuts.
 */
final class TestCell implements AutoCloseable
{
    private static final long PATIENCE_MILLIS = 60_000;
    private static final long STEP_MILLIS = 20;
    private static final int CONTROL_MILLIS = 5_000;

    /** A condition that a test waits for. */
    interface Condition
    {
        boolean holds() throws InterruptedException;
    }

    /**
     * Cells side by side have addresses of their own, so that none takes a port that another one is
     * about to use.
     */
    private static final AtomicInteger CELLS = new AtomicInteger((int) ProcessHandle.current().pid());
    private static final int MOST_CELLS = 250;

    /** Each process has an address of its own; these ports are never given to outgoing connections. */
    private static final int CALLER_PORT = 7701;
    private static final int OPERATOR_PORT = 7702;
    private static final int PEER_PORT = 7703;
    private static final int WORKER_PORT = 7704;

    private final int number = CELLS.getAndIncrement() % MOST_CELLS;
    final NetLoops loops = new NetLoops(Optional.empty());
    private final List<BackgroundLoad> loads = new ArrayList<>();
    final Map<String, TestBox> boxes = new LinkedHashMap<>();
    final Map<String, TestProcess> workers = new LinkedHashMap<>();
    final TestProcess platform;
    private final CellOptions options;
    private final Path directory;
    private final Map<String, String> workerAddresses = new HashMap<>();
    private final TestHops hops = new TestHops();
    private final Map<String, String> ipOfBox = new HashMap<>();
    private final Map<String, Long> keysIssued = new ConcurrentHashMap<>();
    private int started;

    TestCell(CellOptions options)
    {
        this.options = options;
        try
        {
            directory = Files.createTempDirectory("gaugehollow-test");
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
        platform = new TestProcess("platform", directory,
                List.of("platform-standin", "--roster-lag-millis", "300"));
        hops.add("platform", platform.readyWord());
    }

    /** Starts everything and waits until every box knows the whole hall and the test's resources. */
    static TestCell started(CellOptions options) throws InterruptedException
    {
        TestCell cell = new TestCell(options);
        try
        {
            cell.startAll();
            return cell;
        }
        catch (RuntimeException | AssertionError | InterruptedException e)
        {
            // no test gets this cell, so nobody else would end its processes
            cell.close();
            throw e;
        }
    }

    private void startAll() throws InterruptedException
    {
        for (String hall : options.halls())
        {
            for (int i = 1; i <= options.workersPerHall(); i++)
            {
                startWorker(hall + "-w" + i, hall);
            }
        }
        for (String hall : options.halls())
        {
            for (int i = 1; i <= options.boxesPerHall(); i++)
            {
                startBox(hall + '-' + i, hall);
            }
        }
        awaitWhole();
        applyResources();
    }

    TestBox startBox(String name, String hall)
    {
        started++;
        String ip = "127.1." + number + '.' + started;
        ipOfBox.put(name, ip);
        String callers = ip + ':' + CALLER_PORT;
        String operators = ip + ':' + OPERATOR_PORT;
        String peers = ip + ':' + PEER_PORT;
        String advertised = hops.add("peer-" + name, peers);
        Path settings = directory.resolve(name + '-' + started + ".json");
        write(settings, settingsOf(name, hall, ip, callers, operators, peers, advertised));
        TestProcess process = new TestProcess(name + '-' + started, directory,
                List.of("entry", "--settings", settings.toString()));
        TestBox box = new TestBox(name, hall, ip, callers, operators, process, loops);
        boxes.put(name, box);
        return box;
    }

    private Map<String, Object> settingsOf(String name, String hall, String ip, String callers,
            String operators, String peers, String advertised)
    {
        List<String> seeds = new ArrayList<>();
        boxes.values().stream().filter(b -> b.hall.equals(hall))
                .forEach(b -> seeds.add(hops.address("peer-" + b.name)));
        String store = hops.address("platform");
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("box", name);
        settings.put("hall", hall);
        settings.put("callerAddress", callers);
        settings.put("operatorAddress", operators);
        settings.put("peerAddress", peers);
        settings.put("advertisedPeerAddress", advertised);
        settings.put("sourceAddress", ip);
        settings.put("seeds", seeds);
        settings.put("platform", Map.of("storeAddress", store, "rosterAddress", store, "timeoutMillis", 600,
                "callsPerSecond", 60));
        settings.put("timing",
                Map.of("leaseSeconds", 2, "leaseMarginMillis", 400, "pingMillis", 100, "witnessMillis", 800,
                        "rosterMillis", 200, "drainSeconds", 15, "abandonSeconds", 20, "clockSkewMillis",
                        200));
        return settings;
    }

    void startWorker(String id, String hall)
    {
        String ip = "127.2." + number + '.' + (workers.size() + 1);
        String listen = ip + ':' + WORKER_PORT;
        String advertised = hops.add("worker-" + id, listen);
        List<String> args = new ArrayList<>(List.of("worker-standin", "--listen", listen, "--advertise",
                advertised, "--platform", platform.readyWord(), "--id", id, "--hall", hall, "--slots",
                Integer.toString(options.slots())));
        if (!options.fencing())
        {
            args.add("--no-fencing");
        }
        workers.put(id, new TestProcess(id, directory, args));
        workerAddresses.put(id, listen);
    }

    /**
     * Waits until each hall's map names just the live boxes and all workers, evenly, and every box is
     * ready.
     */
    void awaitWhole() throws InterruptedException
    {
        for (TestBox box : List.copyOf(boxes.values()))
        {
            await("hall of " + box.name + " is whole", () -> isWhole(box));
        }
    }

    private boolean isWhole(TestBox box) throws InterruptedException
    {
        Set<String> expected = new HashSet<>();
        boxes.values().stream().filter(b -> b.hall.equals(box.hall)).forEach(b -> expected.add(b.id()));
        JsonNode status = box.status();
        Set<String> inMap = new HashSet<>();
        status.path("boxes").fieldNames().forEachRemaining(inMap::add);
        boolean allReachable = true;
        for (JsonNode reachable : status.path("boxes"))
        {
            allReachable &= reachable.asBoolean();
        }
        long alive = workers.entrySet().stream().filter(e -> e.getKey().startsWith(box.hall)).count();
        int fairWorkers = (int) (alive / expected.size());
        boolean ownsItsShare = status.path("workers").size() >= fairWorkers
                && status.path("keySlots").asInt() >= 64 / expected.size();
        boolean claimed = status.path("free").path("slots").asInt() == status.path("workers").size()
                * options.slots();
        return inMap.equals(expected) && allReachable && ownsItsShare && claimed
                && "valid".equals(status.path("rights").asText());
    }

    private void applyResources() throws InterruptedException
    {
        TestBox first = boxes.values().iterator().next();
        for (String hall : options.halls())
        {
            put(first, "teams/team-" + hall, "{\"homeHall\":\"" + hall + "\"}");
        }
        put(first, "workloads/goal",
                "{\"taskClass\":\"urgent\",\"repeatable\":false,\"timeoutMillis\":4000}");
        put(first, "workloads/lookup", "{\"taskClass\":\"booking\",\"repeatable\":true}");
        put(first, "workloads/rebuild",
                "{\"taskClass\":\"batch\",\"repeatable\":true,\"timeoutMillis\":20000}");
        for (TestBox box : boxes.values())
        {
            await("resources at " + box.name,
                    () -> box.operator("GET", "/v1/workloads/rebuild", new byte[0]).status() == 200
                            && box.operator("GET", "/v1/teams/team-" + options.halls().getLast(), new byte[0])
                                    .status() == 200);
        }
    }

    void put(TestBox box, String resource, String spec) throws InterruptedException
    {
        HttpReply reply = box.operator("PUT", "/v1/" + resource, spec.getBytes(StandardCharsets.UTF_8));
        if (reply.status() != 201)
        {
            throw new IllegalStateException(new String(reply.body(), StandardCharsets.UTF_8));
        }
    }

    /** Sends a request and returns the answer, whatever it is; a lost connection gives status 0. */
    HttpReply ask(TestBox box, String workload, String key, String body, int timeoutMillis)
            throws InterruptedException
    {
        return ask(box, workload, "team-" + box.hall, key, body, timeoutMillis);
    }

    /** The same, by a caller who says that it never sent the key before. */
    HttpReply askFirst(TestBox box, String workload, String team, String key, String body, int timeoutMillis)
            throws InterruptedException
    {
        return ask(box, workload, team, key, body, timeoutMillis, true);
    }

    HttpReply ask(TestBox box, String workload, String team, String key, String body, int timeoutMillis)
            throws InterruptedException
    {
        return ask(box, workload, team, key, body, timeoutMillis, false);
    }

    private HttpReply ask(TestBox box, String workload, String team, String key, String body,
            int timeoutMillis, boolean first) throws InterruptedException
    {
        HttpHeaders headers = new DefaultHttpHeaders().set(UpstreamHeaders.TEAM, team)
                .set(UpstreamHeaders.TIMEOUT, timeoutMillis).set("Content-Type", "application/json");
        if (key != null)
        {
            headers.set(UpstreamHeaders.KEY, key);
            headers.set(UpstreamHeaders.KEY_ISSUED, issuedAt(key));
        }
        if (first)
        {
            headers.set(UpstreamHeaders.ATTEMPT, 1);
        }
        HttpMessage message = new HttpMessage("POST", "/v1/workloads/" + workload + "/requests", "", headers,
                body.getBytes(StandardCharsets.UTF_8));
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(box.callers)))
        {
            return caller.call(message, timeoutMillis + 3_000);
        }
        catch (GaugehollowException e)
        {
            return new HttpReply(0, new DefaultHttpHeaders(), new byte[0]);
        }
    }

    private long issuedAt(String key)
    {
        return keysIssued.computeIfAbsent(key, k -> System.currentTimeMillis());
    }

    static String outcome(HttpReply reply)
    {
        return reply.headers().get(UpstreamHeaders.OUTCOME, "lost");
    }

    static String code(HttpReply reply)
    {
        return reply.headers().get(UpstreamHeaders.CODE, "lost");
    }

    static String text(HttpReply reply)
    {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    WorkerRecords records(String worker) throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(workerAddresses.get(worker))))
        {
            HttpReply reply = caller.call("GET", "/standin/records", new byte[0], CONTROL_MILLIS);
            return Json.read(reply.body(), WorkerRecords.class, ResultCode.INTERNAL);
        }
    }

    /** All runs on all live workers. */
    List<StartRecord> starts() throws InterruptedException
    {
        List<StartRecord> starts = new ArrayList<>();
        for (Map.Entry<String, TestProcess> worker : workers.entrySet())
        {
            if (worker.getValue().isAlive())
            {
                starts.addAll(records(worker.getKey()).starts());
            }
        }
        return starts;
    }

    long startsOfKey(String key) throws InterruptedException
    {
        return starts().stream().filter(s -> key.equals(s.key())).count();
    }

    int overloads() throws InterruptedException
    {
        int sum = 0;
        for (Map.Entry<String, TestProcess> worker : workers.entrySet())
        {
            sum += worker.getValue().isAlive() ? records(worker.getKey()).overloads() : 0;
        }
        return sum;
    }

    void platform(PlatformSwitches switches) throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform.readyWord())))
        {
            caller.call("PUT", "/standin/switches", Json.write(switches), CONTROL_MILLIS);
        }
    }

    Map<String, Integer> platformCalls() throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform.readyWord())))
        {
            HttpReply reply = caller.call("GET", "/standin/calls", new byte[0], CONTROL_MILLIS);
            Map<String, Integer> calls = new HashMap<>();
            Json.read(reply.body(), JsonNode.class, ResultCode.INTERNAL).properties()
                    .forEach(e -> calls.put(e.getKey(), e.getValue().asInt()));
            return calls;
        }
    }

    /** Cuts the boxes off from the platform. */
    void cutFromPlatform(List<TestBox> from)
    {
        from.forEach(box -> hops.cut("platform", box.ip));
    }

    /** Cuts the boxes of one side off from those of the other, both ways. */
    void cutBetween(List<TestBox> one, List<TestBox> other)
    {
        for (TestBox a : one)
        {
            for (TestBox b : other)
            {
                hops.cut("peer-" + b.name, a.ip);
                hops.cut("peer-" + a.name, b.ip);
            }
        }
    }

    /** Ends all cuts. */
    void heal()
    {
        hops.heal();
    }

    List<TestBox> boxesOf(String hall)
    {
        return boxes.values().stream().filter(b -> b.hall.equals(hall)).toList();
    }

    static void await(String what, Condition condition) throws InterruptedException
    {
        long until = System.currentTimeMillis() + PATIENCE_MILLIS;
        while (System.currentTimeMillis() < until)
        {
            try
            {
                if (condition.holds())
                {
                    return;
                }
            }
            catch (GaugehollowException e)
            {
                // not reachable yet
            }
            Thread.sleep(STEP_MILLIS);
        }
        throw new AssertionError("did not come about: " + what);
    }

    private static void write(Path file, Object value)
    {
        try
        {
            Files.write(file, Json.write(value));
        }
        catch (IOException e)
        {
            throw new UncheckedIOException(e);
        }
    }

    /** The logs of all boxes, for a failed test to show. */
    String logs()
    {
        StringBuilder text = new StringBuilder();
        boxes.values()
                .forEach(b -> text.append("== ").append(b.id()).append('\n').append(b.process.logText()));
        return text.toString();
    }

    /** Load that ends with the cell, also where a test fails before it stops it. */
    void register(BackgroundLoad load)
    {
        loads.add(load);
    }

    @Override
    public void close()
    {
        loads.forEach(BackgroundLoad::abandon);
        boxes.values().forEach(box -> box.process.close());
        workers.values().forEach(TestProcess::close);
        platform.close();
        hops.close();
        loops.close();
    }

    /**
     * Ends the hops in front of a hall's boxes, so that their addresses refuse connections as dead
     * boxes' do.
     */
    void closePeerHops(String hall)
    {
        boxesOf(hall).forEach(box -> hops.end("peer-" + box.name));
    }
}
