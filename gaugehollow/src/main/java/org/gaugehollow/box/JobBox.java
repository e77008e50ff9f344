/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.AddressClaim;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpHandler;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpServer;
import org.gaugehollow.net.NetAddress;
import org.gaugehollow.net.NetLoops;
import org.gaugehollow.peer.PeerDirectory;
import org.gaugehollow.peer.PeerServer;
import org.gaugehollow.peer.generated.PeerProtocol.Frame;
import org.gaugehollow.placement.WaitingFirstScore;
import org.gaugehollow.placement.WorkerScore;
import org.gaugehollow.platform.KeyFollower;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.schedule.AdviceDispatcher;
import org.gaugehollow.schedule.CellPlatform;
import org.gaugehollow.schedule.OwnerElection;
import org.gaugehollow.schedule.OwnerMonitor;
import org.gaugehollow.schedule.OwnerWarmup;
import org.gaugehollow.schedule.TimedBacklog;
import org.gaugehollow.supervise.Supervisor;
import org.gaugehollow.time.SteadyClock;

/**
 * A box of a cell that runs jobs. Each box accepts jobs for any queue; one box at a time is the
 * owner, which manages the workers and schedules the jobs. This class wires the components together
 * and shuts them down gracefully.
 */
public final class JobBox implements AutoCloseable
{
    private static final int ID_SUFFIX_LENGTH = 6;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final long DEREGISTRATION_MILLIS = 2_600;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long DRAIN_MARGIN_MILLIS = 400;
    private static final double ACCELERATOR_RESERVE = 0.5;
    private static final WorkerScore SCORE = new WaitingFirstScore(ACCELERATOR_RESERVE);

    private final JobBoxSettings settings;
    private final String id;
    private final EventLog events;
    private final Metrics metrics = new Metrics();
    private final NetLoops loops;
    private final CellPlatform platform;
    private final MonitoredStore store;
    private final Supervisor supervisor;
    private final CellConfigCache config;
    private final ConfigProbe configProbe;
    private final BoxRegistry registry;
    private final OwnerMonitor ownerMonitor;
    private final OwnerElection election;
    private final AdmissionControl admission;
    private final PeerDirectory peerDirectory;
    private final PeerTermProbe termProbe;
    private final PeerServer peerServer;
    private final HttpServer callerServer;
    private final HttpServer readinessServer;
    private final HttpServer metricsServer;
    private final AtomicBoolean leaving = new AtomicBoolean();

    /**
     * Shared components that an adapter uses to open the platform.
     *
     * @param loops event loops
     * @param events event log
     * @param metrics metrics registry
     */
    public record PlatformContext(NetLoops loops, EventLog events, Metrics metrics)
    {
    }

    /** Creates the service that answers callers. */
    @FunctionalInterface
    public interface CallerServiceFactory
    {
        /**
         * Creates the service.
         *
         * @param config supplier of the newest configuration
         * @param intake operations on jobs
         * @return the service that answers callers' requests
         */
        CallerService create(Supplier<CellConfig> config, JobIntake intake);
    }

    /**
     * Starts a box.
     *
     * @param settings validated settings
     * @param openPlatform opens the platform
     * @param serviceFactory creates the service for callers
     */
    public JobBox(JobBoxSettings settings, Function<PlatformContext, CellPlatform> openPlatform,
            CallerServiceFactory serviceFactory)
    {
        InetSocketAddress peerAddress = NetAddress.parse(settings.peerAddress());
        AddressClaim addressClaim = new AddressClaim(peerAddress);
        this.settings = settings;
        this.id = settings.box() + '~' + UUID.randomUUID().toString().substring(0, ID_SUFFIX_LENGTH);
        this.events = new EventLog(id, new HybridClock(System::currentTimeMillis), Optional.of(metrics));
        InetAddress sourceAddress = NetAddress.parse(settings.callerAddress()).getAddress();
        this.loops = new NetLoops(Optional.of(sourceAddress));
        CellPlatform openedPlatform = openPlatform.apply(new PlatformContext(loops, events, metrics));
        this.store = new MonitoredStore(openedPlatform.store(), events, SteadyClock::nanos);
        this.platform = new MonitoredPlatform(openedPlatform, store);
        this.supervisor = new Supervisor(id, events);
        this.config = new CellConfigCache(platform, events);
        this.configProbe = new ConfigProbe(store, platform.configKey(), config);
        this.peerDirectory = new PeerDirectory(loops, events, metrics);
        AdviceDispatcher adviceDispatcher = new AdviceDispatcher(platform.advice(), events);
        this.termProbe = new PeerTermProbe(id, settings.peerAddress(), peerDirectory);
        this.registry = new BoxRegistry(id,
                new BoxRegistry.Entry(settings.peerAddress(), settings.processorMillis()), store,
                peerDirectory, termProbe, settings.hall(), adviceDispatcher, events);
        this.ownerMonitor = new OwnerMonitor(new PeerOwnerProbe(registry, this::onBacklog), store::isStable,
                registry::isOutranked, SteadyClock::nanos);
        this.election = new OwnerElection(id, platform, config, ownerMonitor, registry, adviceDispatcher,
                SCORE, settings.stopCosts(), supervisor.child("owner"), settings.statusSeconds(), events);
        this.admission = new AdmissionControl(() -> election.status().backlog(), election::owner,
                () -> registry.peers().size() + 1, SteadyClock::nanos, events);
        JobIntake intake = new JobIntake(store, new PeerJobNotice(registry, election), admission, events,
                metrics);
        CallerService service = new FreshConfigService(serviceFactory.create(config, intake), configProbe);
        addressClaim.close();
        this.peerServer = new PeerServer(loops, peerAddress, events, call -> handlePeerCall(call, service));
        termProbe.onListening(addressClaim.nanos().orElseGet(SteadyClock::nanos));
        StorePeerFinder storePeers = new StorePeerFinder(registry::peers, new PeerStoreProbe(registry),
                SteadyClock::nanos);
        this.callerServer = startServer(settings.callerAddress(), new CallerRelay(service,
                () -> storePeers.filter(registry.relayPeers()), events, SteadyClock::nanos));
        this.readinessServer = startServer(settings.readinessAddress(), this::handleReadiness);
        this.metricsServer = startServer(settings.metricsAddress(), this::handleMetrics);
        registerGauges();
        startTasks();
        events.record(EventType.PROCESS_STARTED, id,
                "callers " + settings.callerAddress() + ", peers " + settings.peerAddress());
    }

    private HttpServer startServer(String address, HttpHandler handler)
    {
        return new HttpServer(loops, NetAddress.parse(address), MAX_BODY_BYTES, events, handler);
    }

    private Frame.Builder handlePeerCall(Frame call, CallerService service) throws InterruptedException
    {
        return switch (call.getBodyCase())
        {
            case ADVICE -> PeerAdvice.handle(call.getAdvice(), platform.advice());
            case OWNER -> PeerOwnerProbe.handle(call.getOwner(), id, election, ownerMonitor);
            case RELAY -> PeerRelay.handle(call.getRelay(), service);
            case STORE -> PeerStoreProbe.handle(store);
            case TERM -> termProbe.handle(call.getTerm(), election::endReplacedTerm);
            case VOUCH -> registry.witnesses().handle(call.getVouch());
            case END_VOUCHING -> registry.witnesses().handle(call.getEndVouching());
            case JOB_NOTICE -> PeerJobNotice.handle(call.getJobNotice(), election);
            default ->
                throw new GaugehollowException(ResultCode.PEER_BAD_CALL, "unexpected " + call.getBodyCase());
        };
    }

    private void onBacklog(TimedBacklog backlog)
    {
        admission.onBacklog(backlog);
    }

    private void registerGauges()
    {
        metrics.gauge("gaugehollow_config_version", "Version of the configuration in force.",
                () -> config.get().version());
        metrics.gauge("gaugehollow_expected_wait_seconds",
                "Expected wait of the newest submission of a queue in the last seconds, by queue.", "queue",
                admission::expectedWaitSeconds);
        metrics.gauge("gaugehollow_backlog_age_seconds",
                "Age of the owner's account of the waiting work; 0 if there is none.",
                admission::accountAgeSeconds);
        OwnerGauges.register(metrics, election);
    }

    private void startTasks()
    {
        supervisor.start("config", new KeyFollower(store, platform.configKey(), config, events));
        supervisor.start("registry", registry);
        supervisor.start("config-probe", configProbe);
        supervisor.start("peers", new KeyFollower(store, JobKeys.BOXES, registry, events));
        supervisor.start("election", election);
        supervisor.start("rehearsal", new OwnerWarmup(election, registry, SCORE));
    }

    private void handleReadiness(HttpExchange exchange) throws InterruptedException
    {
        exchange.respond(HttpReply.of(isReady() ? HTTP_OK : HTTP_UNAVAILABLE, "text/plain", new byte[0]));
    }

    private void handleMetrics(HttpExchange exchange) throws InterruptedException
    {
        exchange.respond(HttpReply.of(HTTP_OK, Metrics.CONTENT_TYPE, metrics.scrape()));
    }

    /** @return whether this box can serve callers */
    public boolean isReady()
    {
        return !leaving.get() && config.get().version() > 0 && !store.isUnresponsive();
    }

    /** @return the id of this incarnation of the box */
    public String id()
    {
        return id;
    }

    /** @return the event log */
    public EventLog events()
    {
        return events;
    }

    /**
     * Shuts down gracefully: resigns as owner, serves callers until the load balancer has had time to
     * remove this box, then waits for the requests in flight within the drain time.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void stop() throws InterruptedException
    {
        if (!leaving.compareAndSet(false, true))
        {
            return;
        }
        long drainDeadline = SteadyClock.nanos()
                + (settings.drainSeconds() * MILLIS_PER_SECOND - DRAIN_MARGIN_MILLIS) * 1_000_000L;
        events.record(EventType.PROCESS_STOPPING, id, "");
        election.resign();
        Thread.sleep(Math.min(DEREGISTRATION_MILLIS, settings.drainSeconds() * MILLIS_PER_SECOND / 2));
        callerServer.stopAccepting();
        while (callerServer.inFlight() > 0 && SteadyClock.nanos() < drainDeadline)
        {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        events.record(EventType.PROCESS_STOPPED, id, "requests in flight: " + callerServer.inFlight());
        close();
    }

    @Override
    public void close()
    {
        supervisor.close();
        callerServer.close();
        readinessServer.close();
        metricsServer.close();
        peerServer.close();
        peerDirectory.close();
        store.close();
        loops.close();
    }
}
