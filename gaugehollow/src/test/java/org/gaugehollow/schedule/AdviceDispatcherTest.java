/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;
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
        return new AdviceDispatcher.Call("step", List.of("w1"), 500, 1, 1, AdviceDispatcher.Need.NOW);
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

    private static AdviceDispatcher.Call call(AdviceDispatcher.Need need)
    {
        return new AdviceDispatcher.Call("other", List.of("w1"), 50, 0, 1, need);
    }

    /** Returns a dispatcher of four channels of which two carry calls until the latch is released. */
    private AdviceDispatcher withTwoBusyPeers(CountDownLatch release) throws InterruptedException
    {
        AdviceDispatcher dispatcher = new AdviceDispatcher(working(OWN), events);
        for (int i = 0; i < 2; i++)
        {
            dispatcher.add("busy" + i, (step, workers, timeoutMillis) ->
            {
                attempts.add("busy");
                release.await();
                return ADVICE;
            });
            OwnerTerm.inBackground("busy", () -> dispatcher.advise(longCall(), () -> true));
        }
        dispatcher.add("free", working("free"));
        assertThat(TestJobs.waitUntil(2_000, () -> attempts.size() == 2)).isTrue();
        attempts.clear();
        return dispatcher;
    }

    /** Guards against an urgent call that waits behind a call for a later step. */
    @Test
    void callAheadLeavesTheLastFreeChannelToUrgentCalls() throws InterruptedException
    {
        CountDownLatch release = new CountDownLatch(1);
        AdviceDispatcher dispatcher = withTwoBusyPeers(release);
        assertThat(dispatcher.advise(call(AdviceDispatcher.Need.AHEAD), () -> true)).isEmpty();
        assertThat(dispatcher.advise(longCall(), () -> true)).hasValue(ADVICE);
        release.countDown();
        assertThat(TestJobs.waitUntil(2_000, () ->
        {
            try
            {
                return dispatcher.advise(call(AdviceDispatcher.Need.AHEAD), () -> true).isPresent();
            }
            catch (InterruptedException e)
            {
                throw new IllegalStateException(e);
            }
        })).isTrue();
        assertThat(attempts.subList(0, 2)).containsExactly("free", "busy").inOrder();
    }

    /**
     * Guards against a job that is too late and waits for advice for ever while the channels are busy.
     */
    @Test
    void callForJobThatIsTooLateIsNotPassedOverForEver() throws InterruptedException
    {
        CountDownLatch release = new CountDownLatch(1);
        AdviceDispatcher dispatcher = withTwoBusyPeers(release);
        long startNanos = SteadyClock.nanos();
        assertThat(dispatcher.advise(call(AdviceDispatcher.Need.TOO_LATE), () -> true)).hasValue(ADVICE);
        assertThat(SteadyClock.nanos() - startNanos).isAtLeast(TimeUnit.MILLISECONDS.toNanos(900));
        release.countDown();
    }

    /** Guards against jobs in time that wait for the advice of late jobs of a more urgent queue. */
    @Test
    void callsForJobsInTimePrecedeThoseForLateJobs() throws InterruptedException
    {
        CountDownLatch release = new CountDownLatch(1);
        List<String> steps = new CopyOnWriteArrayList<>();
        AdviceDispatcher dispatcher = new AdviceDispatcher((step, workers, timeoutMillis) ->
        {
            steps.add(step);
            release.await();
            return ADVICE;
        }, events);
        OwnerTerm.inBackground("first", () -> dispatcher.advise(longCall(), () -> true));
        assertThat(TestJobs.waitUntil(2_000, () -> steps.size() == 1)).isTrue();
        Thread late = advise(dispatcher, "late", 0, AdviceDispatcher.Need.LATE);
        Thread inTime = advise(dispatcher, "in time", 0, AdviceDispatcher.Need.NOW);
        Thread lessUrgent = advise(dispatcher, "less urgent", 2, AdviceDispatcher.Need.NOW);
        for (Thread waiting : List.of(late, inTime, lessUrgent))
        {
            assertThat(TestJobs.waitUntil(2_000, () -> waiting.getState() == Thread.State.TIMED_WAITING))
                    .isTrue();
        }
        release.countDown();
        late.join();
        inTime.join();
        lessUrgent.join();
        assertThat(steps).containsExactly("step", "in time", "less urgent", "late").inOrder();
    }

    private static Thread advise(AdviceDispatcher dispatcher, String step, int priority,
            AdviceDispatcher.Need need)
    {
        return OwnerTerm.inBackground(step, () -> dispatcher
                .advise(new AdviceDispatcher.Call(step, List.of("w1"), 50, priority, 1, need), () -> true));
    }
}
