/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpMessage;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.platform.StoreListing;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.DefaultHttpHeaders;

/**
 * Guards against wrong outcome reports for a request that was attempted more than once, through
 * peers or at several boxes.
 */
class OutcomeAcrossBoxesTest
{
    private static final String ID = "00000000000000aa";
    private static final QueueSpec QUEUE = new QueueSpec("urgent", "service", 0, 2, 250, 1.5, null);
    private static final JobSpec JOB = new JobSpec("text", List.of(new StepSpec(1, 1, 1, 0, 1, List.of(),
            false, false, false, null, null, 0, false, false, null, 0, false, 0)), 0, 0, 0);
    private static final HttpMessage REQUEST = new HttpMessage("POST", "/queue/" + ID, "",
            new DefaultHttpHeaders(), "{}".getBytes(StandardCharsets.UTF_8));

    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final FakeStore store = new FakeStore();

    /** A store whose writes time out and can be applied later, or that rejects all calls. */
    private final class UnansweredStore extends FakeStore
    {
        private final List<StoreTransaction> unansweredWrites = new ArrayList<>();
        private boolean rejecting;
        private int calls;

        private void onCall()
        {
            if (rejecting)
            {
                throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "the store answered 503");
            }
            calls++;
        }

        @Override
        public synchronized Optional<StoredValue> get(String key)
        {
            onCall();
            return store.get(key);
        }

        @Override
        public synchronized StoreListing list(String prefix)
        {
            onCall();
            return store.list(prefix);
        }

        @Override
        public synchronized Optional<Long> commit(StoreTransaction transaction)
        {
            onCall();
            unansweredWrites.add(transaction);
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "no answer in time");
        }

        void applyUnansweredWrites() throws InterruptedException
        {
            for (StoreTransaction transaction : unansweredWrites)
            {
                store.commit(transaction);
            }
        }
    }

    private JobIntake intake(FakeStore boxStore)
    {
        return new JobIntake(new MonitoredStore(boxStore, events, SteadyClock::nanos), new NoOpJobListener(),
                events, new Metrics());
    }

    private static long deadlineIn(long millis)
    {
        return SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** A call that is expected to fail. */
    private interface ThrowingCall
    {
        void run() throws InterruptedException;
    }

    private static ResultCode codeOf(ThrowingCall call)
    {
        return assertThrows(GaugehollowException.class, call::run).code();
    }

    /** A box reports only its own attempt: it cannot know of an unanswered write of another box. */
    @Test
    void rejectionAtOneBoxDoesNotCoverUnansweredWriteOfAnother() throws InterruptedException
    {
        UnansweredStore first = new UnansweredStore();
        UnansweredStore second = new UnansweredStore();
        second.rejecting = true;
        assertThat(codeOf(() -> intake(first).submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(400))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(codeOf(() -> intake(second).submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(400))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(second.calls).isEqualTo(0);
        assertThat(store.list(JobKeys.JOBS).values()).isEmpty();
        first.applyUnansweredWrites();
        assertThat(store.list(JobKeys.JOBS).values()).hasSize(1);
        assertThat(intake(store).state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void unansweredCancellationTakesEffectAfterRejectionAtAnotherBox() throws InterruptedException
    {
        intake(store).submit(JobScope.of(QUEUE), ID, JOB, deadlineIn(400));
        UnansweredStore first = new UnansweredStore();
        UnansweredStore second = new UnansweredStore();
        second.rejecting = true;
        assertThat(codeOf(() -> intake(first).cancel(JobScope.of(QUEUE), ID, deadlineIn(400))))
                .isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        assertThat(codeOf(() -> intake(second).cancel(JobScope.of(QUEUE), ID, deadlineIn(400))))
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        first.applyUnansweredWrites();
        assertThat(intake(store).state(JobScope.of(QUEUE), ID)).isEqualTo(JobState.CANCELLED);
    }

    private static List<ResultCode> failureCodes(Outcome outcome)
    {
        return Arrays.stream(ResultCode.values()).filter(code -> code.outcome() == outcome).toList();
    }

    private static List<ResultCode> failureCodes()
    {
        return Arrays.stream(ResultCode.values()).filter(code -> code.outcome() != Outcome.ANSWERED).toList();
    }

    private static CallerService rejecting(ResultCode code)
    {
        return request ->
        {
            throw new GaugehollowException(code, "own");
        };
    }

    /** Creates a relay whose peers fail with these codes in call order. */
    private CallerRelay relay(ResultCode own, ResultCode... peerCodes)
    {
        AtomicInteger nextPeer = new AtomicInteger();
        Map<String, CallerRelay.Peer> peers = new LinkedHashMap<>();
        for (int i = 0; i < peerCodes.length; i++)
        {
            peers.put("peer-" + i, request ->
            {
                throw new GaugehollowException(peerCodes[nextPeer.getAndIncrement()], "peer");
            });
        }
        return new CallerRelay(rejecting(own), () -> peers, events, SteadyClock::nanos);
    }

    private static Outcome outcome(CallerRelay relay)
    {
        return codeOf(() -> relay.answer(REQUEST)).outcome();
    }

    @Test
    void peerFailureDoesNotSettleUnansweredLocalWrite()
    {
        for (ResultCode peer : failureCodes())
        {
            assertWithMessage(peer.name()).that(outcome(relay(ResultCode.STORE_OUTCOME_UNKNOWN, peer)))
                    .isEqualTo(Outcome.UNKNOWN);
        }
    }

    @Test
    void nextPeerDoesNotSettleUnknownOutcomeOfFirstPeer()
    {
        for (ResultCode lost : failureCodes(Outcome.UNKNOWN))
        {
            for (ResultCode next : failureCodes())
            {
                assertWithMessage(lost + ", then " + next)
                        .that(outcome(relay(ResultCode.STORE_UNAVAILABLE, lost, next)))
                        .isEqualTo(Outcome.UNKNOWN);
            }
        }
    }

    @Test
    void unknownLocalOutcomeStaysUnknownForAnyCode()
    {
        for (ResultCode own : failureCodes(Outcome.UNKNOWN))
        {
            for (ResultCode peer : failureCodes())
            {
                assertWithMessage(own + ", then " + peer).that(outcome(relay(own, peer)))
                        .isEqualTo(Outcome.UNKNOWN);
            }
        }
    }

    /** Guards against reporting the failed peer lookup, which implies that nothing was run. */
    @Test
    void outcomeStaysUnknownWhenPeersCannotBeFound()
    {
        CallerRelay relay = new CallerRelay(rejecting(ResultCode.STORE_OUTCOME_UNKNOWN), () ->
        {
            throw new GaugehollowException(ResultCode.RESOURCE_INVALID, "not an address");
        }, events, SteadyClock::nanos);
        assertThat(outcome(relay)).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void requestIsNotRunWhenNoAttemptMayHaveRun()
    {
        for (ResultCode peer : failureCodes(Outcome.NOT_RUN))
        {
            assertWithMessage(peer.name()).that(outcome(relay(ResultCode.STORE_UNAVAILABLE, peer)))
                    .isEqualTo(Outcome.NOT_RUN);
        }
    }
}
