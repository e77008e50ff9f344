/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.membership.RosterCache;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.model.TaskClass;
import org.gaugehollow.model.Worker;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpServer;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.placement.EngineLimits;
import org.gaugehollow.placement.Placement;
import org.gaugehollow.placement.PlacementEngine;
import org.gaugehollow.placement.PolicyAssignments;
import org.gaugehollow.placement.PolicyRegistry;
import org.gaugehollow.placement.TaskDemand;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;
import org.gaugehollow.upstream.UpstreamHeaders;
import org.gaugehollow.upstream.UpstreamReport;
import org.gaugehollow.upstream.UpstreamRequest;
import org.gaugehollow.upstream.UpstreamTask;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against losing the resources of running tasks when a worker is cordoned or restarted. */
class UpstreamManagerTest
{
    private static final String WORKER = "w1";
    private static final String BOX = "bole-1";
    private static final long EPOCH = 3;
    private static final int SLOTS = 4;
    private static final ComputeResources ONE_SLOT = new ComputeResources(1, 0, 0, 0);
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long POLL_MILLIS = 5;
    private static final long RIGHTS_MILLIS = 60_000;

    private final EventLog events = new EventLog(BOX, new HybridClock(System::currentTimeMillis));
    private final NetLoops loops = new NetLoops(Optional.empty());
    private final Supervisor supervisor = new Supervisor("test", events);
    private final Rights rights = new Rights(RIGHTS_MILLIS, 1_000, SteadyClock::nanos);
    private final PlacementEngine engine = new PlacementEngine(EngineLimits.defaults(), policies(),
            SteadyClock::nanos);
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final CountDownLatch finishTasks = new CountDownLatch(1);
    private final HttpServer server = new HttpServer(loops, new InetSocketAddress("127.0.0.1", 0), 1_000,
            events, this::answerAsWorker);
    private final RosterCache roster = new RosterCache("bole", List::of, () -> false, RIGHTS_MILLIS, events);
    private UpstreamManager manager;

    @BeforeEach
    void setUp() throws InterruptedException
    {
        rights.renew(SteadyClock.nanos());
        ConfigCache cache = new ConfigCache();
        AssignmentMaps assignmentMaps = new AssignmentMaps("bole", cache, events);
        AssignmentMap map = new AssignmentMap(EPOCH,
                Map.of(BOX, new AssignmentMap.Member(BOX, "127.0.0.1:1")),
                Map.of(WORKER, new AssignmentMap.Assignment(BOX, EPOCH)), List.of());
        cache.applyLocal(new ConfigEntry(StoreKeys.assignmentMap("bole"), 1, Json.write(map), false));
        listWorker(1, SLOTS);
        manager = new UpstreamManager(BOX, assignmentMaps, roster, engine, rights, loops, supervisor, events);
        manager.reconcile();
        await(() -> engine.freeCapacity().slots() == SLOTS);
    }

    @AfterEach
    void tearDown()
    {
        finishTasks.countDown();
        supervisor.close();
        server.close();
        loops.close();
    }

    private static PolicyAssignments policies()
    {
        return new PolicyAssignments(Map.of(), Map.of(), new PolicyAssignments.NamedPolicy("waiting-first",
                new PolicyRegistry().create(new PolicySpec("waiting-first", null, null))));
    }

    private void listWorker(long version, int slots)
    {
        String address = "127.0.0.1:" + server.address().getPort();
        Worker worker = new Worker(WORKER, address, "bole", "r1",
                new ComputeResources(slots, 4_000, 8_192, 0), false);
        roster.adopt(version, Json.write(List.of(worker)));
    }

    private void answerAsWorker(HttpExchange exchange) throws InterruptedException
    {
        switch (exchange.request().path())
        {
            case "/gaugehollow/claim", "/gaugehollow/tasks" ->
                exchange.respond(HttpReply.json(200, report()));
            default -> runTask(exchange);
        }
    }

    private UpstreamReport report()
    {
        List<UpstreamTask> tasks = running.stream().map(task -> new UpstreamTask(task, EPOCH, ONE_SLOT))
                .toList();
        return new UpstreamReport(true, true, false, tasks);
    }

    private void runTask(HttpExchange exchange) throws InterruptedException
    {
        String task = exchange.request().header(UpstreamHeaders.TASK).orElseThrow();
        running.add(task);
        finishTasks.await();
        running.remove(task);
        HttpReply reply = HttpReply.json(200, Map.of());
        reply.headers().set(UpstreamHeaders.TASK, task);
        exchange.respond(reply);
    }

    private Placement place(String task)
    {
        TaskDemand demand = new TaskDemand(task, TaskClass.URGENT, "team", 1, 0, ONE_SLOT, deadline());
        return engine.tryPlace(demand).orElseThrow();
    }

    private HttpReply send(OwnedUpstream upstream, Placement placement) throws InterruptedException
    {
        UpstreamRequest request = new UpstreamRequest(placement.demand().task(), "team", "", "/run", ONE_SLOT,
                "text/plain", new byte[0]);
        return upstream.send(placement, request, deadline());
    }

    private void startTask(String task) throws InterruptedException
    {
        Placement placement = place(task);
        OwnedUpstream upstream = manager.upstream(WORKER).orElseThrow();
        Thread.ofVirtual().start(() ->
        {
            try
            {
                send(upstream, placement);
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
            }
        });
        await(() -> running.contains(task));
    }

    private static long deadline()
    {
        return SteadyClock.nanos() + TIMEOUT_NANOS;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException
    {
        long until = deadline();
        while (!condition.getAsBoolean())
        {
            assertThat(SteadyClock.nanos() - until < 0).isTrue();
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Test
    void tasksOfACordonedWorkerCountAfterUncordoning() throws InterruptedException
    {
        startTask("before");
        manager.cordon(List.of(WORKER));
        assertThat(manager.upstream(WORKER).isPresent()).isFalse();
        assertThat(engine.freeCapacity().slots()).isEqualTo(0);
        manager.uncordonAll();
        await(() -> engine.freeCapacity().slots() > 0);
        assertThat(engine.freeCapacity().slots()).isEqualTo(SLOTS - 1);
        finishTasks.countDown();
        await(() -> engine.freeCapacity().slots() == SLOTS);
    }

    @Test
    void tasksOfAWorkerCountAfterItsCapacityChanges() throws InterruptedException
    {
        startTask("before");
        listWorker(2, SLOTS + 2);
        manager.reconcile();
        await(() -> engine.freeCapacity().slots() > SLOTS - 1);
        assertThat(engine.freeCapacity().slots()).isEqualTo(SLOTS + 2 - 1);
        finishTasks.countDown();
        await(() -> engine.freeCapacity().slots() == SLOTS + 2);
    }

    @Test
    void placementMadeBeforeCordoningIsNotSent() throws InterruptedException
    {
        Placement placement = place("late");
        OwnedUpstream upstream = manager.upstream(WORKER).orElseThrow();
        manager.cordon(List.of(WORKER));
        GaugehollowException rejection = assertThrows(GaugehollowException.class,
                () -> send(upstream, placement));
        assertThat(rejection.code()).isEqualTo(ResultCode.NO_RIGHTS);
        assertThat(running).isEmpty();
    }
}
