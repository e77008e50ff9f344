/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;
import org.junit.jupiter.api.Test;

/** Tests which channels carry the calls to the advice service when channels fail. */
class AdviceDispatcherTest
{
    private static final Advice ADVICE = new Advice(List.of(), 1_000);
    private static final String OWN = "own";
    /** Longer than the time for which a channel is not used after a failure. */
    private static final int BACKOFF_MILLIS = 1_200;

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    /** The channels of all attempts in order. */
    private final List<String> attempts = new CopyOnWriteArrayList<>();

    private AdvicePort working(String channel)
    {
        return (step, workers, timeoutMillis) ->
        {
            attempts.add(channel);
            return ADVICE;
        };
    }

    private AdvicePort failing(String channel)
    {
        return (step, workers, timeoutMillis) ->
        {
            attempts.add(channel);
            throw new GaugehollowException(ResultCode.PEER_LOST, "no reply from " + channel);
        };
    }

    private static AdviceDispatcher.Call longCall()
    {
        return new AdviceDispatcher.Call("step", List.of("w1"), 500, 1, 1);
    }

    /** Guards against tasks that are never started because all channels to peers fail. */
    @Test
    void longCallThatFailedOnPeerUsesOwnChannel() throws InterruptedException
    {
        AdviceDispatcher dispatcher = new AdviceDispatcher(working(OWN), events);
        for (int i = 0; i < 6; i++)
        {
            dispatcher.add("peer" + i, failing("peer" + i));
        }
        assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        assertThat(attempts).containsExactly("peer0", OWN).inOrder();
    }

    /** Guards against long calls that delay urgent ones while the channels to peers work. */
    @Test
    void longCallsDoNotUseOwnChannelWhilePeersWork() throws InterruptedException
    {
        AdviceDispatcher dispatcher = new AdviceDispatcher(working(OWN), events);
        dispatcher.add("peer", working("peer"));
        for (int i = 0; i < 3; i++)
        {
            assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        }
        assertThat(attempts).containsExactly("peer", "peer", "peer");
    }

    /** Guards against further calls that each wait for the peer that failed last. */
    @Test
    void peerWhoseLastCallFailedIsUsedAfterTheOthers() throws InterruptedException
    {
        AdviceDispatcher dispatcher = new AdviceDispatcher(failing(OWN), events);
        dispatcher.add("bad", failing("bad"));
        dispatcher.add("good", working("good"));
        assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        attempts.clear();
        Thread.sleep(BACKOFF_MILLIS);
        assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        assertThat(attempts).containsExactly("good");
    }

    /** Guards against peers that are given up for good. */
    @Test
    void peerWhoseLastCallFailedIsUsedIfNoOtherIsFree() throws InterruptedException
    {
        AdviceDispatcher dispatcher = new AdviceDispatcher(working(OWN), events);
        dispatcher.add("bad", failing("bad"));
        assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        assertThat(attempts).containsExactly("bad", OWN, "bad", OWN).inOrder();
    }
}
