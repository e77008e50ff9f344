/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.config.ActiveConfig;
import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.ResourceStore;
import org.gaugehollow.config.StoreFollower;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.keys.KeyLimits;
import org.gaugehollow.keys.KeyOwnership;
import org.gaugehollow.keys.KeyReplicator;
import org.gaugehollow.keys.KeyTable;
import org.gaugehollow.keys.ReplicaTable;
import org.gaugehollow.membership.AssignmentMaps;
import org.gaugehollow.membership.BoxIdentity;
import org.gaugehollow.membership.MapPlanner;
import org.gaugehollow.membership.MapReconciler;
import org.gaugehollow.membership.MapStore;
import org.gaugehollow.membership.PeerMonitor;
import org.gaugehollow.membership.Rights;
import org.gaugehollow.membership.RosterCache;
import org.gaugehollow.membership.StoreLiveness;
import org.gaugehollow.membership.StoreSession;
import org.gaugehollow.model.AssignmentMap;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.PolicySpec;
import org.gaugehollow.model.TaskClass;
import org.gaugehollow.model.WorkloadSpec;
import org.gaugehollow.net.HttpCaller;
import org.gaugehollow.net.HttpServer;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.placement.EngineLimits;
import org.gaugehollow.placement.PlacementEngine;
import org.gaugehollow.placement.PolicyAssignments;
import org.gaugehollow.placement.PolicyRegistry;
import org.gaugehollow.platform.EtcdStore;
import org.gaugehollow.platform.HttpWorkerRoster;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreBudget;
import org.gaugehollow.platform.WorkerRoster;
import org.gaugehollow.settings.EntrySettings;
import org.gaugehollow.settings.LimitSettings;
import org.gaugehollow.settings.PlatformSettings;
import org.gaugehollow.settings.TimingSettings;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;

/**
 * One entry box: ties all parts together, starts them under a supervisor tree and stops them in a
 * planned way.
 */
public final class EntryBox implements AutoCloseable
{
    private static final int SUFFIX_LENGTH = 6;
    private static final int MILLIS = 1_000;
    private static final int BURST_SECONDS = 2;
    private static final int PERCENT = 100;
    private static final long MATCH_MILLIS = 200;
    private static final long FORGET_MILLIS = 1_000;
    private static final long READY_GRACE_MILLIS = 300;
    private static final long DRAIN_STEP_MILLIS = 20;

    private final EntrySettings settings;
    private final BoxIdentity self;
    private final Metrics metrics = new Metrics();
    private final EventLog events;
    private final NetLoops loops;
    private final Supervisor root;
    private final PlatformStore store;
    private final ConfigCache config = new ConfigCache();
    private final PolicyRegistry registry = new PolicyRegistry();
    private final AtomicReference<ActiveConfig> active = new AtomicReference<>();
    private final AssignmentMaps halls;
    private final BlockingQueue<AssignmentMap> newerMaps = new LinkedBlockingQueue<>();
    private final Rights rights;
    private final StoreLiveness evidence;
    private final RosterCache roster;
    private final PeerDirectory directory;
    private final PeerMonitor peers;
    private final StoreSession session;
    private final MapReconciler mapKeeper;
    private final MapStore mapStore;
    private final PlacementEngine engine;
    private final WorkerKeeper workers;
    private final KeyTable keys;
    private final ReplicaTable replicas;
    private final KeyOwnership ownership;
    private final GiveAway giveAway;
    private final PeerCalls peerCalls;
    private final HttpServer callerServer;
    private final HttpServer operatorServer;
    private final PeerServer peerServer;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicBoolean stopped = new AtomicBoolean();

    /**
     * Starts a box that reaches the platform by its usual protocols.
     *
     * @param settings the checked settings
     */
    public EntryBox(EntrySettings settings)
    {
        this.settings = settings;
        String id = settings.box() + '~' + UUID.randomUUID().toString().substring(0, SUFFIX_LENGTH);
        this.self = new BoxIdentity(settings.box(), id, settings.hall(), settings.reachablePeerAddress());
        this.events = new EventLog(id, new HybridClock(System::currentTimeMillis), Optional.of(metrics));
        this.loops = new NetLoops(Optional.ofNullable(settings.sourceIp()));
        this.root = new Supervisor(id, events);
        this.evidence = new StoreLiveness(id, SteadyClock::nanos);
        TimingSettings timing = settings.timing();
        this.store = openStore(settings.platform());
        this.halls = new AssignmentMaps(self.hall(), config, events);
        this.rights = new Rights((long) timing.leaseSeconds() * MILLIS - timing.leaseMarginMillis(),
                timing.witnessMillis(), SteadyClock::nanos);
        this.roster = new RosterCache(self.hall(), openRoster(settings.platform()), this::isRelay,
                timing.rosterMillis(), events);
        this.directory = new PeerDirectory(loops, events, metrics);
        this.session = new StoreSession(self, store, rights, evidence, config, events, timing.leaseSeconds());
        PeerMonitor.Parts parts = new PeerMonitor.Parts(self, halls, directory, config, roster, rights,
                evidence, root.child("peers"), events);
        this.peers = new PeerMonitor(parts, this::status, session::renewNow, timing.pingMillis(),
                timing.witnessMillis());
        this.mapStore = new MapStore(self.hall(), store, config, events);
        this.mapKeeper = new MapReconciler(parts, store, mapStore, peers, timing.witnessMillis(),
                timing.abandonSeconds());
        this.engine = new PlacementEngine(engineLimits(settings.limits()), firstPolicies(),
                SteadyClock::nanos);
        this.workers = new WorkerKeeper(id, halls, roster, engine, rights, loops, root.child("workers"),
                events);
        this.keys = new KeyTable(keyLimits(), System::currentTimeMillis);
        this.replicas = new ReplicaTable(id);
        KeyReplicator copier = new KeyReplicator(self, halls, directory, keys);
        this.ownership = new KeyOwnership(id, keys, replicas, copier, System::currentTimeMillis, events);
        RequestSupport support = new RequestSupport(self, active, halls, rights, peers, directory,
                new RetryBudget(settings.limits().retryPercent()), metrics, events);
        this.giveAway = new GiveAway(support, mapStore, workers, keys, copier);
        PlacementLog placements = new PlacementLog();
        RequestRouter router = router(support, copier, placements);
        this.peerCalls = new PeerCalls(this::status, evidence, config, roster, replicas, router);
        this.peerServer = new PeerServer(loops, NetAddress.parse(settings.peerAddress()), events, peerCalls);
        this.callerServer = new HttpServer(loops, NetAddress.parse(settings.callerAddress()),
                WorkloadSpec.LARGEST_BODY, events, new CallerApi(id, router, active, metrics, events));
        ResourceApi resources = new ResourceApi(config, new ResourceStore(store, events), registry);
        this.operatorServer = new HttpServer(loops, NetAddress.parse(settings.operatorAddress()),
                WorkloadSpec.LARGEST_BODY, events,
                new OperatorApi(resources, placements, events, metrics, this::report));
        addGauges();
        startTasks();
    }

    private PlatformStore openStore(PlatformSettings platform)
    {
        HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform.storeAddress()));
        StoreBudget budget = new StoreBudget(platform.callsPerSecond(),
                (double) platform.callsPerSecond() * BURST_SECONDS, SteadyClock::nanos);
        return new EtcdStore(caller, budget, metrics, platform.timeoutMillis());
    }

    private WorkerRoster openRoster(PlatformSettings platform)
    {
        HttpCaller caller = new HttpCaller(loops, NetAddress.parse(platform.rosterAddress()));
        return new HttpWorkerRoster(caller, platform.rosterPath(), platform.timeoutMillis());
    }

    private static EngineLimits engineLimits(LimitSettings limits)
    {
        Map<TaskClass, Integer> waiting = new HashMap<>();
        for (TaskClass taskClass : TaskClass.values())
        {
            waiting.put(taskClass, limits.waitingPerClass());
        }
        return new EngineLimits(waiting, limits.waiting(), (double) limits.batchPercent() / PERCENT);
    }

    private KeyLimits keyLimits()
    {
        return new KeyLimits(TimeUnit.SECONDS.toMillis(settings.timing().recordSeconds()),
                settings.timing().clockSkewMillis(), settings.limits().records());
    }

    private PolicyAssignments firstPolicies()
    {
        PolicySpec waitingFirst = new PolicySpec(PolicyRegistry.WAITING_FIRST, null, null);
        return new PolicyAssignments(Map.of(), Map.of(),
                new PolicyAssignments.Named("default", registry.create(waitingFirst)));
    }

    private RequestRouter router(RequestSupport support, KeyReplicator copier, PlacementLog placements)
    {
        PeerForwarder forwarder = new PeerForwarder(support);
        LocalRunner runner = new LocalRunner(support, engine, workers, forwarder, placements);
        return new RequestRouter(support, runner, new KeyedRunner(support, keys, copier, runner), forwarder);
    }

    private void addGauges()
    {
        metrics.gauge("gaugehollow_waiting_tasks", "Tasks that wait for room.", engine::waiting);
        metrics.gauge("gaugehollow_free_slots", "Free slots on the workers of this box.",
                () -> engine.free().slots());
        metrics.gauge("gaugehollow_key_records", "Records of keys kept.", keys::recordCount);
        metrics.gauge("gaugehollow_rights", "1 while this box may place.", () -> rights.isValid() ? 1 : 0);
        metrics.gauge("gaugehollow_config_revision", "The configuration in force.", config::revision);
    }

    private void startTasks()
    {
        halls.addListener(newerMaps::add);
        config.addListener(applied -> rebuildConfig());
        root.start("store-session", session);
        root.start("config", new StoreFollower(store, config, this::isRelay, events));
        root.start("seeds", this::askSeeds);
        root.start("roster", roster);
        root.start("map", mapKeeper);
        root.start("match", this::matchUntilStopped);
        root.start("give-away", giveAway);
        root.start("pauses",
                new PauseDetector(settings.timing().witnessMillis(), rights, session::renewNow, events));
        root.start("forget", this::forgetUntilStopped);
        events.record(EventType.PROCESS_STARTED, self.id(), "callers " + NetAddress.format(callerAddress())
                + ", operators " + NetAddress.format(operatorAddress()) + ", peers " + self.peerAddress());
    }

    private boolean isRelay()
    {
        return mapKeeper.isRelay();
    }

    private void rebuildConfig()
    {
        ActiveConfig next = new ActiveConfig(config.list(""), registry,
                (name, fault) -> events.record(EventType.CONFIG_BAD_ENTRY, name, fault));
        active.set(next);
        engine.usePolicies(next.policies());
        events.record(EventType.CONFIG_APPLIED, self.id(), "revision " + config.revision());
    }

    /**
     * A box that starts while the platform is silent takes everything from the boxes its settings name.
     */
    private void askSeeds() throws InterruptedException
    {
        while (halls.map().isEmpty())
        {
            for (String seed : settings.seeds())
            {
                try
                {
                    peers.pullState(directory.link(seed));
                }
                catch (GaugehollowException e)
                {
                    events.record(EventType.PEER_LOST, seed, e.getMessage());
                }
            }
            Thread.sleep(settings.timing().pingMillis());
        }
    }

    /** Follows every map in order: a missed one would make copies of key records doubtful. */
    private void matchUntilStopped() throws InterruptedException
    {
        String had = heldRights();
        while (true)
        {
            AssignmentMap map = newerMaps.poll(MATCH_MILLIS, TimeUnit.MILLISECONDS);
            while (map != null)
            {
                ownership.applyMap(map);
                peers.syncWithMap();
                map = newerMaps.poll();
            }
            workers.match();
            peers.countConfirmations();
            had = noteRights(had);
        }
    }

    private String noteRights(String had)
    {
        String has = heldRights();
        if (!has.equals(had))
        {
            EventType type = switch (has)
            {
                case "frozen" -> EventType.RIGHTS_FROZEN;
                case "valid" -> EventType.RIGHTS_GAINED;
                default -> EventType.RIGHTS_LOST;
            };
            events.record(type, self.id(), had + " before");
        }
        return has;
    }

    private String heldRights()
    {
        if (!rights.isValid())
        {
            return "none";
        }
        return rights.isFrozen() ? "frozen" : "valid";
    }

    private void forgetUntilStopped() throws InterruptedException
    {
        while (true)
        {
            keys.evictExpired();
            replicas.evictExpired(System.currentTimeMillis() - keyLimits().recordMillis());
            Thread.sleep(FORGET_MILLIS);
        }
    }

    private BoxStatus status()
    {
        ComputeResources free = rights.isValid() ? engine.free() : ComputeResources.NONE;
        StoreLiveness.Contact sighting = evidence.lastContact();
        return BoxStatus.newBuilder().setBox(self.id()).setHall(self.hall())
                .setStoreEvidenceBox(sighting.box()).setStoreEvidenceNumber(sighting.number())
                .setStoreEvidenceAgeMillis(sighting.ageMillis()).setMapEpoch(halls.epoch())
                .setConfigRevision(config.revision()).setRosterVersion(roster.version())
                .setFreeSlots(free.slots()).setFreeCpuMillis(free.cpuMillis())
                .setFreeMemoryMib(free.memoryMib()).setFreeAccelerators(free.accelerators())
                .setLeaving(leaving.get()).setPeerAddress(self.peerAddress()).setWaiting(engine.waiting())
                .build();
    }

    private BoxReport report()
    {
        Map<String, Boolean> boxes = new HashMap<>();
        halls.map().ifPresent(
                map -> map.boxes().keySet().forEach(box -> boxes.put(box, peers.isReachable(box))));
        return new BoxReport(self.id(), self.hall(), ready(), heldRights(), session.storeAnswers(),
                config.revision(), halls.epoch(), boxes,
                halls.map().map(map -> map.workersOf(self.id())).orElse(List.of()), keys.owned().size(),
                keys.recordCount(), engine.free(), engine.waiting());
    }

    private boolean ready()
    {
        return !leaving.get() && active.get() != null && halls.map().isPresent();
    }

    /** @return this box's id */
    public String id()
    {
        return self.id();
    }

    /** @return where callers reach it */
    public InetSocketAddress callerAddress()
    {
        return callerServer.address();
    }

    /** @return where operators reach it */
    public InetSocketAddress operatorAddress()
    {
        return operatorServer.address();
    }

    /**
     * Stops in a planned way: says that it is not ready, gives its workers and key slots to peers,
     * answers what is in flight, and leaves the map. Bounded by the settings' drain time.
     *
     * @throws InterruptedException if the stop itself is interrupted
     */
    public void stop() throws InterruptedException
    {
        if (!leaving.compareAndSet(false, true))
        {
            return;
        }
        events.record(EventType.PROCESS_STOPPING, self.id(), "");
        long deadline = SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(settings.timing().drainSeconds());
        quietly(session::announceLeaving);
        giveAway.leave();
        Thread.sleep(READY_GRACE_MILLIS);
        while (!giveAway.nothingLeft() && hasPeers() && SteadyClock.nanos() - deadline < 0)
        {
            Thread.sleep(DRAIN_STEP_MILLIS);
        }
        callerServer.stopAccepting();
        while (callerServer.inFlight() + peerCalls.inFlight() > 0 && SteadyClock.nanos() - deadline < 0)
        {
            Thread.sleep(DRAIN_STEP_MILLIS);
        }
        int cutOff = callerServer.inFlight() + peerCalls.inFlight();
        quietly(this::leaveMap);
        quietly(session::end);
        events.record(EventType.PROCESS_STOPPED, self.id(), cutOff + " requests in flight");
        close();
    }

    private boolean hasPeers()
    {
        return !peers.reachableStatuses().isEmpty();
    }

    private void leaveMap() throws InterruptedException
    {
        Optional<AssignmentMaps.Versioned> known = halls.versioned();
        boolean listed = known.isPresent() && known.get().map().boxes().containsKey(self.id());
        if (listed && giveAway.nothingLeft())
        {
            mapStore.change(known.get().revision(), MapPlanner.afterLeaving(known.get().map(), self.id()),
                    MapStore.noBoxes());
        }
    }

    /** A step of a planned stop. */
    private interface Step
    {
        void run() throws InterruptedException;
    }

    private void quietly(Step step) throws InterruptedException
    {
        try
        {
            step.run();
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.STORE_LOST, self.id(), "while stopping: " + e.getMessage());
        }
    }

    @Override
    public void close()
    {
        if (!stopped.compareAndSet(false, true))
        {
            return;
        }
        root.close();
        callerServer.close();
        operatorServer.close();
        peerServer.close();
        directory.close();
        store.close();
        loops.close();
    }
}
