/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.AttemptOutcomes;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpExchange;
import org.gaugehollow.net.HttpHandler;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.net.HttpRequest;

/**
 * Answers callers' requests, relaying them to a peer with store access if this box has none. The
 * peer uses its own configuration and the same write condition, so a relayed request is safe even
 * if an earlier attempt took effect. If no peer can help, the error reply closes the caller's
 * connection so that the caller reconnects to another box.
 */
final class CallerRelay implements HttpHandler
{
    /** Time for which a peer that did not help is skipped. */
    private static final long PEER_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_PEERS = 2;

    /** A peer to which requests can be relayed. */
    @FunctionalInterface
    interface Peer
    {
        /**
         * Relays a request to the peer.
         *
         * @param request the caller's request
         * @return the peer's answer
         * @throws InterruptedException if the thread is interrupted
         * @throws GaugehollowException {@code PEER_UNREACHABLE} if the request was not sent,
         *             {@code PEER_LOST} if it may have been sent, or the peer's own error code
         */
        HttpReply answer(HttpRequest request) throws InterruptedException;
    }

    /** Finds peers that may be able to answer a request. */
    @FunctionalInterface
    interface PeerFinder
    {
        /**
         * @return the peers by box id
         * @throws InterruptedException if the thread is interrupted
         */
        Map<String, Peer> find() throws InterruptedException;
    }

    private final CallerService localService;
    private final PeerFinder peerFinder;
    private final EventLog events;
    private final LongSupplier nanoTime;
    private final Map<String, Long> backoffStarts = new ConcurrentHashMap<>();

    /**
     * @param localService answers requests on this box
     * @param peerFinder finds the peers to relay to
     * @param events event log
     * @param nanoTime monotonic clock in nanoseconds
     */
    CallerRelay(CallerService localService, PeerFinder peerFinder, EventLog events, LongSupplier nanoTime)
    {
        this.localService = localService;
        this.peerFinder = peerFinder;
        this.events = events;
        this.nanoTime = nanoTime;
    }

    @Override
    public void handle(HttpExchange exchange) throws InterruptedException
    {
        try
        {
            exchange.respond(answer(exchange.request()));
        }
        catch (GaugehollowException e)
        {
            recordFailure(exchange.request(), e);
            if (!canPeerHelp(e.code()))
            {
                throw e;
            }
            exchange.respond(HttpReply.error(e), true);
        }
    }

    /** Must run before the reply is sent, so that the event is logged even if the box crashes then. */
    private void recordFailure(HttpRequest request, GaugehollowException e)
    {
        events.record(EventType.CALL_REFUSED, request.path(), request.method() + ' ' + e.code().httpStatus()
                + ' ' + e.code() + ", " + e.code().outcome().label() + ": " + e.getMessage());
    }

    /** Answers a request locally or, if that fails and a peer can help, through a peer. */
    HttpReply answer(HttpRequest request) throws InterruptedException
    {
        try
        {
            return localService.answer(request);
        }
        catch (GaugehollowException e)
        {
            if (!canPeerHelp(e.code()))
            {
                throw e;
            }
            return relayToPeers(request, e);
        }
    }

    private HttpReply relayToPeers(HttpRequest request, GaugehollowException localFailure)
            throws InterruptedException
    {
        AttemptOutcomes attempts = new AttemptOutcomes();
        attempts.addFailure(localFailure);
        for (Map.Entry<String, Peer> peer : selectPeers(request))
        {
            try
            {
                HttpReply reply = peer.getValue().answer(request);
                recordRelay(request, peer.getKey(), String.valueOf(reply.status()));
                return reply;
            }
            catch (GaugehollowException e)
            {
                recordRelay(request, peer.getKey(), e.code() + ": " + e.getMessage());
                attempts.addFailure(asStoreFailure(e));
                if (!canPeerHelp(e.code()))
                {
                    break;
                }
                backoffStarts.put(peer.getKey(), nanoTime.getAsLong());
            }
        }
        throw attempts.failure();
    }

    private void recordRelay(HttpRequest request, String peer, String outcome)
    {
        events.record(EventType.CALL_RELAYED, request.path(), "over " + peer + ": " + outcome);
    }

    /** Returns no peers if the lookup fails, so that the local attempt's outcome is reported. */
    private Map<String, Peer> findPeers(HttpRequest request) throws InterruptedException
    {
        try
        {
            return peerFinder.find();
        }
        catch (GaugehollowException e)
        {
            recordRelay(request, "nobody", e.code() + ": " + e.getMessage());
            return Map.of();
        }
    }

    private List<Map.Entry<String, Peer>> selectPeers(HttpRequest request) throws InterruptedException
    {
        Map<String, Peer> found = findPeers(request);
        backoffStarts.values().removeIf(start -> nanoTime.getAsLong() - start > PEER_BACKOFF_NANOS);
        List<Map.Entry<String, Peer>> candidates = new ArrayList<>();
        for (Map.Entry<String, Peer> peer : found.entrySet())
        {
            if (!backoffStarts.containsKey(peer.getKey()))
            {
                candidates.add(peer);
            }
        }
        Collections.shuffle(candidates);
        return candidates.subList(0, Math.min(MAX_PEERS, candidates.size()));
    }

    private static boolean canPeerHelp(ResultCode code)
    {
        return switch (code)
        {
            case STORE_UNAVAILABLE, STORE_OUTCOME_UNKNOWN, CONFIG_NOT_READY, CONFIG_MAY_BE_OLD,
                    PEER_UNREACHABLE, PEER_LOST, QUEUE_FULL ->
                true;
            default -> false;
        };
    }

    /** Maps a peer's failure that left the request not run to {@code STORE_UNAVAILABLE}. */
    private static GaugehollowException asStoreFailure(GaugehollowException e)
    {
        boolean notRun = canPeerHelp(e.code()) && e.code().outcome() == Outcome.NOT_RUN;
        return notRun ? new GaugehollowException(ResultCode.STORE_UNAVAILABLE, e.getMessage(), e) : e;
    }
}
