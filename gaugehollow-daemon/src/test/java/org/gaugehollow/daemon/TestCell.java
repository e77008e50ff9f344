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
 * Cell of separate processes for one test: platform stand-in, worker stand-ins and entry boxes.
 * Each box has its own loopback address; proxies in front of the platform, peers and workers
 * simulate network partitions.
 */
final class TestCell implements AutoCloseable
{
    private static final long AWAIT_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int CONTROL_TIMEOUT_MILLIS = 5_000;

    /** Condition that a test waits for. */
    interface Condition
    {
        boolean isMet() throws InterruptedException;
    }

    /** Gives concurrent cells distinct addresses, so that their ports do not collide. */
    private static final AtomicInteger NEXT_CELL_NUMBER = new AtomicInteger(
            (int) ProcessHandle.current().pid());
    private static final int MAX_CELLS = 250;

    /** Fixed ports, outside the ephemeral range; each process has its own address. */
    private static final int CALLER_PORT = 7701;
    private static final int OPERATOR_PORT = 7702;
    private static final int PEER_PORT = 7703;
    private static final int WORKER_PORT = 7704;

    private final int cellNumber = NEXT_CELL_NUMBER.getAndIncrement() % MAX_CELLS;
    final NetLoops loops = new NetLoops(Optional.empty());
    private final List<BackgroundLoad> loads = new ArrayList<>();
    final Map<String, TestBox> boxes = new LinkedHashMap<>();
    final Map<String, TestProcess> workers = new LinkedHashMap<>();
    final TestProcess platform;
    private final CellOptions options;
    private final Path directory;
    private final Map<String, String> workerAddresses = new HashMap<>();
    private final TestProxies proxies = new TestProxies();
    private final Map<String, String> ipOfBox = new HashMap<>();
    private final Map<String, Long> keyIssueMillis = new ConcurrentHashMap<>();
    private int startedBoxes;

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
        proxies.add("platform", platform.readyValue());
    }

    /** Starts a cell and waits until every box knows its whole hall and the test resources. */
    static TestCell start(CellOptions options) throws InterruptedException
    {
        TestCell cell = new TestCell(options);
        try
        {
            cell.startAll();
            return cell;
        }
        catch (RuntimeException | AssertionError | InterruptedException e)
        {
            // the caller never gets this cell, so its processes must be stopped here
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
        awaitConverged();
        applyResources();
    }

    TestBox startBox(String name, String hall)
    {
        startedBoxes++;
        String ip = "127.1." + cellNumber + '.' + startedBoxes;
        ipOfBox.put(name, ip);
        String callerAddress = ip + ':' + CALLER_PORT;
        String operatorAddress = ip + ':' + OPERATOR_PORT;
        String peerAddress = ip + ':' + PEER_PORT;
        String advertised = proxies.add("peer-" + name, peerAddress);
        Path settings = directory.resolve(name + '-' + startedBoxes + ".json");
        write(settings, settingsOf(name, hall, ip, callerAddress, operatorAddress, peerAddress, advertised));
        TestProcess process = new TestProcess(name + '-' + startedBoxes, directory,
                List.of("entry", "--settings", settings.toString()));
        TestBox box = new TestBox(name, hall, ip, callerAddress, operatorAddress, process, loops);
        boxes.put(name, box);
        return box;
    }

    private Map<String, Object> settingsOf(String name, String hall, String ip, String callerAddress,
            String operatorAddress, String peerAddress, String advertised)
    {
        List<String> seeds = new ArrayList<>();
        boxes.values().stream().filter(b -> b.hall.equals(hall))
                .forEach(b -> seeds.add(proxies.address("peer-" + b.name)));
        String store = proxies.address("platform");
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("box", name);
        settings.put("hall", hall);
        settings.put("callerAddress", callerAddress);
        settings.put("operatorAddress", operatorAddress);
        settings.put("peerAddress", peerAddress);
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
        String ip = "127.2." + cellNumber + '.' + (workers.size() + 1);
        String listen = ip + ':' + WORKER_PORT;
        String advertised = proxies.add("worker-" + id, listen);
        List<String> args = new ArrayList<>(List.of("worker-standin", "--listen", listen, "--advertise",
                advertised, "--platform", platform.readyValue(), "--id", id, "--hall", hall, "--slots",
                Integer.toString(options.slots())));
        if (!options.fencing())
        {
            args.add("--no-fencing");
        }
        workers.put(id, new TestProcess(id, directory, args));
        workerAddresses.put(id, listen);
    }

    /**
     * Waits until each hall has assigned its workers and key slots evenly to exactly the running boxes
     * and every box has valid rights.
     */
    void awaitConverged() throws InterruptedException
    {
        for (TestBox box : List.copyOf(boxes.values()))
        {
            await("assignments converged at " + box.name, () -> hasConverged(box));
        }
    }

    private boolean hasConverged(TestBox box) throws InterruptedException
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
        long hallWorkers = workers.entrySet().stream().filter(e -> e.getKey().startsWith(box.hall)).count();
        int minWorkers = (int) (hallWorkers / expected.size());
        boolean hasFairShare = status.path("workers").size() >= minWorkers
                && status.path("keySlots").asInt() >= 64 / expected.size();
        boolean capacityClaimed = status.path("free").path("slots").asInt() == status.path("workers").size()
                * options.slots();
        return inMap.equals(expected) && allReachable && hasFairShare && capacityClaimed
                && "valid".equals(status.path("rights").asText());
    }

    private void applyResources() throws InterruptedException
    {
        TestBox first = boxes.values().iterator().next();
        for (String hall : options.halls())
        {
            createResource(first, "teams/team-" + hall, "{\"homeHall\":\"" + hall + "\"}");
        }
        createResource(first, "workloads/goal",
                "{\"taskClass\":\"urgent\",\"repeatable\":false,\"timeoutMillis\":4000}");
        createResource(first, "workloads/lookup", "{\"taskClass\":\"booking\",\"repeatable\":true}");
        createResource(first, "workloads/rebuild",
                "{\"taskClass\":\"batch\",\"repeatable\":true,\"timeoutMillis\":20000}");
        for (TestBox box : boxes.values())
        {
            await("resources available at " + box.name,
                    () -> box.callOperator("GET", "/v1/workloads/rebuild", new byte[0]).status() == 200 && box
                            .callOperator("GET", "/v1/teams/team-" + options.halls().getLast(), new byte[0])
                            .status() == 200);
        }
    }

    void createResource(TestBox box, String resource, String spec) throws InterruptedException
    {
        HttpReply reply = box.callOperator("PUT", "/v1/" + resource, spec.getBytes(StandardCharsets.UTF_8));
        if (reply.status() != 201)
        {
            throw new IllegalStateException(new String(reply.body(), StandardCharsets.UTF_8));
        }
    }

    /** Sends a request and returns the reply, with status 0 if the connection was lost. */
    HttpReply send(TestBox box, String workload, String key, String body, int timeoutMillis)
            throws InterruptedException
    {
        return send(box, workload, "team-" + box.hall, key, body, timeoutMillis);
    }

    /** Sends a request that is marked as the first attempt with its key. */
    HttpReply sendFirstAttempt(TestBox box, String workload, String team, String key, String body,
            int timeoutMillis) throws InterruptedException
    {
        return send(box, workload, team, key, body, timeoutMillis, true);
    }

    HttpReply send(TestBox box, String workload, String team, String key, String body, int timeoutMillis)
            throws InterruptedException
    {
        return send(box, workload, team, key, body, timeoutMillis, false);
    }

    private HttpReply send(TestBox box, String workload, String team, String key, String body,
            int timeoutMillis, boolean firstAttempt) throws InterruptedException
    {
        HttpHeaders headers = new DefaultHttpHeaders().set(UpstreamHeaders.TEAM, team)
                .set(UpstreamHeaders.TIMEOUT, timeoutMillis).set("Content-Type", "application/json");
        if (key != null)
        {
            headers.set(UpstreamHeaders.KEY, key);
            headers.set(UpstreamHeaders.KEY_ISSUED, issueMillisOf(key));
        }
        if (firstAttempt)
        {
            headers.set(UpstreamHeaders.ATTEMPT, 1);
        }
        HttpMessage message = new HttpMessage("POST", "/v1/workloads/" + workload + "/requests", "", headers,
                body.getBytes(StandardCharsets.UTF_8));
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(box.callerAddress)))
        {
            return caller.call(message, timeoutMillis + 3_000);
        }
        catch (GaugehollowException e)
        {
            return new HttpReply(0, new DefaultHttpHeaders(), new byte[0]);
        }
    }

    private long issueMillisOf(String key)
    {
        return keyIssueMillis.computeIfAbsent(key, k -> System.currentTimeMillis());
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
            HttpReply reply = caller.call("GET", "/standin/records", new byte[0], CONTROL_TIMEOUT_MILLIS);
            return Json.read(reply.body(), WorkerRecords.class, ResultCode.INTERNAL);
        }
    }

    /** Returns the start records of all live workers. */
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

    long countStartsOfKey(String key) throws InterruptedException
    {
        return starts().stream().filter(s -> key.equals(s.key())).count();
    }

    int countOverloads() throws InterruptedException
    {
        int sum = 0;
        for (Map.Entry<String, TestProcess> worker : workers.entrySet())
        {
            sum += worker.getValue().isAlive() ? records(worker.getKey()).overloads() : 0;
        }
        return sum;
    }

    void setPlatformSwitches(PlatformSwitches switches) throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform.readyValue())))
        {
            caller.call("PUT", "/standin/switches", Json.write(switches), CONTROL_TIMEOUT_MILLIS);
        }
    }

    Map<String, Integer> platformCallCounts() throws InterruptedException
    {
        try (HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform.readyValue())))
        {
            HttpReply reply = caller.call("GET", "/standin/calls", new byte[0], CONTROL_TIMEOUT_MILLIS);
            Map<String, Integer> calls = new HashMap<>();
            Json.read(reply.body(), JsonNode.class, ResultCode.INTERNAL).properties()
                    .forEach(e -> calls.put(e.getKey(), e.getValue().asInt()));
            return calls;
        }
    }

    /** Blocks connections from the boxes to the platform. */
    void disconnectFromPlatform(List<TestBox> isolated)
    {
        isolated.forEach(box -> proxies.blockSource("platform", box.ip));
    }

    /** Blocks connections between the boxes of the two sides in both directions. */
    void disconnect(List<TestBox> left, List<TestBox> right)
    {
        for (TestBox a : left)
        {
            for (TestBox b : right)
            {
                proxies.blockSource("peer-" + b.name, a.ip);
                proxies.blockSource("peer-" + a.name, b.ip);
            }
        }
    }

    /** Unblocks all connections. */
    void reconnectAll()
    {
        proxies.unblockAll();
    }

    List<TestBox> boxesOf(String hall)
    {
        return boxes.values().stream().filter(b -> b.hall.equals(hall)).toList();
    }

    static void await(String description, Condition condition) throws InterruptedException
    {
        long deadlineMillis = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < deadlineMillis)
        {
            try
            {
                if (condition.isMet())
                {
                    return;
                }
            }
            catch (GaugehollowException e)
            {
                // the process is not reachable yet
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new AssertionError("condition not met in time: " + description);
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

    /** Returns the logs of all boxes. */
    String logs()
    {
        StringBuilder text = new StringBuilder();
        boxes.values()
                .forEach(b -> text.append("== ").append(b.id()).append('\n').append(b.process.logText()));
        return text.toString();
    }

    /** Registers a load to be cancelled when the cell closes, even if the test fails before. */
    void register(BackgroundLoad load)
    {
        loads.add(load);
    }

    @Override
    public void close()
    {
        loads.forEach(BackgroundLoad::cancel);
        boxes.values().forEach(box -> box.process.close());
        workers.values().forEach(TestProcess::close);
        platform.close();
        proxies.close();
        loops.close();
    }

    /** Closes the peer proxies of a hall, so that connections to its boxes are refused. */
    void closePeerProxies(String hall)
    {
        boxesOf(hall).forEach(box -> proxies.closeProxy("peer-" + box.name));
    }
}
