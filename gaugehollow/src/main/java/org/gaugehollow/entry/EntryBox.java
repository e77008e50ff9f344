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
import org.gaugehollow.net.HttpClient;
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
 * An entry box: accepts requests of callers, places them on the upstreams that it owns and shares
 * the ownership of upstreams and key slots with the other boxes of its data hall. Creates all
 * components, runs them under a supervisor tree and stops them gracefully.
 */
public final class EntryBox implements AutoCloseable
{
    private static final int ID_SUFFIX_LENGTH = 6;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int BURST_SECONDS = 2;
    private static final int PERCENT = 100;
    private static final long RECONCILE_INTERVAL_MILLIS = 200;
    private static final long EVICTION_INTERVAL_MILLIS = 1_000;
    private static final long READINESS_GRACE_MILLIS = 300;
    private static final long DRAIN_POLL_MILLIS = 20;

    private final EntrySettings settings;
    private final BoxIdentity self;
    private final Metrics metrics = new Metrics();
    private final EventLog events;
    private final NetLoops loops;
    private final Supervisor root;
    private final PlatformStore store;
    private final ConfigCache config = new ConfigCache();
    private final PolicyRegistry policyRegistry = new PolicyRegistry();
    private final AtomicReference<ActiveConfig> activeConfig = new AtomicReference<>();
    private final AssignmentMaps assignmentMaps;
    private final BlockingQueue<AssignmentMap> mapUpdates = new LinkedBlockingQueue<>();
    private final Rights rights;
    private final StoreLiveness storeLiveness;
    private final RosterCache roster;
    private final PeerDirectory directory;
    private final PeerMonitor peers;
    private final StoreSession session;
    private final MapReconciler mapReconciler;
    private final MapStore mapStore;
    private final PlacementEngine engine;
    private final UpstreamManager upstreams;
    private final KeyTable keys;
    private final ReplicaTable replicas;
    private final KeyOwnership keyOwnership;
    private final Rebalancer rebalancer;
    private final PeerCallHandler peerCallHandler;
    private final HttpServer callerServer;
    private final HttpServer operatorServer;
    private final PeerServer peerServer;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicBoolean closed = new AtomicBoolean();

    /**
     * Starts a box with connections to the store and the worker roster of the platform.
     *
     * @param settings the validated settings
     */
    public EntryBox(EntrySettings settings)
    {
        this.settings = settings;
        String id = settings.box() + '~' + UUID.randomUUID().toString().substring(0, ID_SUFFIX_LENGTH);
        this.self = new BoxIdentity(settings.box(), id, settings.hall(), settings.reachablePeerAddress());
        this.events = new EventLog(id, new HybridClock(System::currentTimeMillis), Optional.of(metrics));
        this.loops = new NetLoops(Optional.ofNullable(settings.sourceIp()));
        this.root = new Supervisor(id, events);
        this.storeLiveness = new StoreLiveness(id, SteadyClock::nanos);
        TimingSettings timing = settings.timing();
        this.store = openStore(settings.platform());
        this.assignmentMaps = new AssignmentMaps(self.hall(), config, events);
        this.rights = new Rights(
                (long) timing.leaseSeconds() * MILLIS_PER_SECOND - timing.leaseMarginMillis(),
                timing.witnessMillis(), SteadyClock::nanos);
        this.roster = new RosterCache(self.hall(), openRoster(settings.platform()), this::isRelay,
                timing.rosterMillis(), events);
        this.directory = new PeerDirectory(loops, events, metrics);
        this.session = new StoreSession(self, store, rights, storeLiveness, config, events,
                timing.leaseSeconds());
        PeerMonitor.Parts parts = new PeerMonitor.Parts(self, assignmentMaps, directory, config, roster,
                rights, storeLiveness, root.child("peers"), events);
        this.peers = new PeerMonitor(parts, this::createStatus, session::renewNow, timing.pingMillis(),
                timing.witnessMillis());
        this.mapStore = new MapStore(self.hall(), store, config, events);
        this.mapReconciler = new MapReconciler(parts, store, mapStore, peers, timing.witnessMillis(),
                timing.abandonSeconds());
        this.engine = new PlacementEngine(engineLimits(settings.limits()), initialPolicies(),
                SteadyClock::nanos);
        this.upstreams = new UpstreamManager(id, assignmentMaps, roster, engine, rights, loops,
                root.child("workers"), events);
        this.keys = new KeyTable(keyLimits(), System::currentTimeMillis);
        this.replicas = new ReplicaTable(id);
        KeyReplicator replicator = new KeyReplicator(self, assignmentMaps, directory, keys);
        this.keyOwnership = new KeyOwnership(id, keys, replicas, replicator, System::currentTimeMillis,
                events);
        RequestSupport support = new RequestSupport(self, activeConfig, assignmentMaps, rights, peers,
                directory, new RetryBudget(settings.limits().retryPercent()), metrics, events);
        this.rebalancer = new Rebalancer(support, mapStore, upstreams, keys, replicator);
        PlacementLog placements = new PlacementLog();
        RequestRouter router = createRouter(support, replicator, placements);
        this.peerCallHandler = new PeerCallHandler(this::createStatus, storeLiveness, config, roster,
                replicas, router);
        this.peerServer = new PeerServer(loops, NetAddress.parse(settings.peerAddress()), events,
                peerCallHandler);
        this.callerServer = new HttpServer(loops, NetAddress.parse(settings.callerAddress()),
                WorkloadSpec.MAX_BODY_BYTES, events,
                new CallerApi(id, router, activeConfig, metrics, events));
        ResourceApi resourceApi = new ResourceApi(config, new ResourceStore(store, events), policyRegistry);
        this.operatorServer = new HttpServer(loops, NetAddress.parse(settings.operatorAddress()),
                WorkloadSpec.MAX_BODY_BYTES, events,
                new OperatorApi(resourceApi, placements, events, metrics, this::createReport));
        addGauges();
        startTasks();
    }

    private PlatformStore openStore(PlatformSettings platform)
    {
        HttpClient client = new HttpClient(loops, NetAddress.parse(platform.storeAddress()));
        StoreBudget budget = new StoreBudget(platform.callsPerSecond(),
                (double) platform.callsPerSecond() * BURST_SECONDS, SteadyClock::nanos);
        return new EtcdStore(client, budget, metrics, platform.timeoutMillis());
    }

    private WorkerRoster openRoster(PlatformSettings platform)
    {
        HttpClient client = new HttpClient(loops, NetAddress.parse(platform.rosterAddress()));
        return new HttpWorkerRoster(client, platform.rosterPath(), platform.timeoutMillis());
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

    private PolicyAssignments initialPolicies()
    {
        PolicySpec waitingFirst = new PolicySpec(PolicyRegistry.WAITING_FIRST, null, null);
        return new PolicyAssignments(Map.of(), Map.of(),
                new PolicyAssignments.NamedPolicy("default", policyRegistry.create(waitingFirst)));
    }

    private RequestRouter createRouter(RequestSupport support, KeyReplicator replicator,
            PlacementLog placements)
    {
        PeerForwarder forwarder = new PeerForwarder(support);
        LocalRunner runner = new LocalRunner(support, engine, upstreams, forwarder, placements);
        return new RequestRouter(support, runner, new KeyedRunner(support, keys, replicator, runner),
                forwarder);
    }

    private void addGauges()
    {
        metrics.gauge("gaugehollow_waiting_tasks", "Tasks that wait for room.", engine::waitingCount);
        metrics.gauge("gaugehollow_free_slots", "Free slots on the workers of this box.",
                () -> engine.freeCapacity().slots());
        metrics.gauge("gaugehollow_key_records", "Records of keys kept.", keys::recordCount);
        metrics.gauge("gaugehollow_rights", "1 while this box may place.", () -> rights.isValid() ? 1 : 0);
        metrics.gauge("gaugehollow_config_revision", "The configuration in force.", config::revision);
    }

    private void startTasks()
    {
        assignmentMaps.addListener(mapUpdates::add);
        config.addListener(entries -> rebuildConfig());
        root.start("store-session", session);
        root.start("config", new StoreFollower(store, config, this::isRelay, events));
        root.start("seeds", this::pullStateFromSeeds);
        root.start("roster", roster);
        root.start("map", mapReconciler);
        root.start("match", this::reconcileUntilStopped);
        root.start("give-away", rebalancer);
        root.start("pauses",
                new PauseDetector(settings.timing().witnessMillis(), rights, session::renewNow, events));
        root.start("forget", this::evictUntilStopped);
        events.record(EventType.PROCESS_STARTED, self.id(), "callers " + NetAddress.format(callerAddress())
                + ", operators " + NetAddress.format(operatorAddress()) + ", peers " + self.peerAddress());
    }

    private boolean isRelay()
    {
        return mapReconciler.isRelay();
    }

    private void rebuildConfig()
    {
        ActiveConfig next = new ActiveConfig(config.list(""), policyRegistry,
                (name, error) -> events.record(EventType.CONFIG_BAD_ENTRY, name, error));
        activeConfig.set(next);
        engine.setPolicies(next.policies());
        events.record(EventType.CONFIG_APPLIED, self.id(), "revision " + config.revision());
    }

    /**
     * Pulls the state from the seed boxes until an assignment map is known, so that a box can start
     * while the platform is not available.
     */
    private void pullStateFromSeeds() throws InterruptedException
    {
        while (assignmentMaps.map().isEmpty())
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

    /**
     * Applies every assignment map in order, because a skipped map would make the replicas of key
     * records unreliable.
     */
    private void reconcileUntilStopped() throws InterruptedException
    {
        String previous = rightsState();
        while (true)
        {
            AssignmentMap map = mapUpdates.poll(RECONCILE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            while (map != null)
            {
                keyOwnership.applyMap(map);
                peers.syncWithMap();
                map = mapUpdates.poll();
            }
            upstreams.reconcile();
            peers.countConfirmations();
            previous = recordRightsChange(previous);
        }
    }

    private String recordRightsChange(String previous)
    {
        String current = rightsState();
        if (!current.equals(previous))
        {
            EventType type = switch (current)
            {
                case "frozen" -> EventType.RIGHTS_FROZEN;
                case "valid" -> EventType.RIGHTS_GAINED;
                default -> EventType.RIGHTS_LOST;
            };
            events.record(type, self.id(), previous + " before");
        }
        return current;
    }

    private String rightsState()
    {
        if (!rights.isValid())
        {
            return "none";
        }
        return rights.isFrozen() ? "frozen" : "valid";
    }

    private void evictUntilStopped() throws InterruptedException
    {
        while (true)
        {
            keys.evictExpired();
            replicas.evictExpired(System.currentTimeMillis() - keyLimits().retentionMillis());
            Thread.sleep(EVICTION_INTERVAL_MILLIS);
        }
    }

    private BoxStatus createStatus()
    {
        ComputeResources free = rights.isValid() ? engine.freeCapacity() : ComputeResources.NONE;
        StoreLiveness.Contact contact = storeLiveness.lastContact();
        return BoxStatus.newBuilder().setBox(self.id()).setHall(self.hall())
                .setStoreEvidenceBox(contact.box()).setStoreEvidenceNumber(contact.number())
                .setStoreEvidenceAgeMillis(contact.ageMillis()).setMapEpoch(assignmentMaps.epoch())
                .setConfigRevision(config.revision()).setRosterVersion(roster.version())
                .setFreeSlots(free.slots()).setFreeCpuMillis(free.cpuMillis())
                .setFreeMemoryMib(free.memoryMib()).setFreeAccelerators(free.accelerators())
                .setLeaving(leaving.get()).setPeerAddress(self.peerAddress())
                .setWaiting(engine.waitingCount()).build();
    }

    private BoxReport createReport()
    {
        Map<String, Boolean> boxes = new HashMap<>();
        assignmentMaps.map().ifPresent(
                map -> map.boxes().keySet().forEach(box -> boxes.put(box, peers.isReachable(box))));
        return new BoxReport(self.id(), self.hall(), isReady(), rightsState(), session.isStoreAvailable(),
                config.revision(), assignmentMaps.epoch(), boxes,
                assignmentMaps.map().map(map -> map.workersOf(self.id())).orElse(List.of()),
                keys.ownedSlots().size(), keys.recordCount(), engine.freeCapacity(), engine.waitingCount());
    }

    private boolean isReady()
    {
        return !leaving.get() && activeConfig.get() != null && assignmentMaps.map().isPresent();
    }

    /** @return the id of this box */
    public String id()
    {
        return self.id();
    }

    /** @return the address for callers */
    public InetSocketAddress callerAddress()
    {
        return callerServer.address();
    }

    /** @return the address for operators */
    public InetSocketAddress operatorAddress()
    {
        return operatorServer.address();
    }

    /**
     * Stops gracefully: reports that it is not ready, transfers its workers and key slots to peers,
     * completes the requests in flight and leaves the assignment map. Waits at most the configured
     * drain time.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void stop() throws InterruptedException
    {
        if (!leaving.compareAndSet(false, true))
        {
            return;
        }
        events.record(EventType.PROCESS_STOPPING, self.id(), "");
        long deadline = SteadyClock.nanos() + TimeUnit.SECONDS.toNanos(settings.timing().drainSeconds());
        tryStep(session::announceLeaving);
        rebalancer.startLeaving();
        Thread.sleep(READINESS_GRACE_MILLIS);
        while (!rebalancer.ownsNothing() && hasPeers() && SteadyClock.nanos() - deadline < 0)
        {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        callerServer.stopAccepting();
        while (callerServer.inFlight() + peerCallHandler.inFlight() > 0 && SteadyClock.nanos() - deadline < 0)
        {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        int unfinished = callerServer.inFlight() + peerCallHandler.inFlight();
        tryStep(this::leaveMap);
        tryStep(session::end);
        events.record(EventType.PROCESS_STOPPED, self.id(), unfinished + " requests in flight");
        close();
    }

    private boolean hasPeers()
    {
        return !peers.reachableStatuses().isEmpty();
    }

    private void leaveMap() throws InterruptedException
    {
        Optional<AssignmentMaps.Versioned> current = assignmentMaps.versioned();
        boolean listed = current.isPresent() && current.get().map().boxes().containsKey(self.id());
        if (listed && rebalancer.ownsNothing())
        {
            mapStore.change(current.get().revision(), MapPlanner.afterLeaving(current.get().map(), self.id()),
                    MapStore.noBoxes());
        }
    }

    /** A step of the shutdown that may fail because the store is not available. */
    private interface ShutdownStep
    {
        void run() throws InterruptedException;
    }

    private void tryStep(ShutdownStep step) throws InterruptedException
    {
        try
        {
            step.run();
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.STORE_LOST, self.id(), "shutdown step failed: " + e.getMessage());
        }
    }

    @Override
    public void close()
    {
        if (!closed.compareAndSet(false, true))
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
