/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

/** Guards against lost answers and against wrong outcomes of repeated writes. */
class HedgedCallTest
{
    @Test
    void theSecondAttemptAnswersWhenTheFirstAnswerIsLost() throws InterruptedException
    {
        AtomicInteger attempts = new AtomicInteger();
        CountDownLatch never = new CountDownLatch(1);
        long startNanos = SteadyClock.nanos();
        int answer = HedgedCall.read(() ->
        {
            int number = attempts.incrementAndGet();
            if (number == 1)
            {
                never.await();
            }
            return number;
        });
        assertThat(answer).isEqualTo(2);
        assertThat(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos)).isLessThan(700);
    }

    /** Guards against callers that wait forever for calls over connections that take no more data. */
    @Test
    void aCallWithoutAnyReturningAttemptFails()
    {
        CountDownLatch never = new CountDownLatch(1);
        HedgedCall.Call<Integer> hung = () ->
        {
            never.await();
            return 1;
        };
        assertTimeoutPreemptively(Duration.ofSeconds(15), () ->
        {
            GaugehollowException failure = assertThrows(GaugehollowException.class,
                    () -> HedgedCall.read(hung));
            assertThat(failure.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        });
        assertTimeoutPreemptively(Duration.ofSeconds(15), () ->
        {
            GaugehollowException failure = assertThrows(GaugehollowException.class,
                    () -> HedgedCall.write(hung));
            assertThat(failure.code()).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
        });
    }

    @Test
    void anAnsweredCallIsSentOnce() throws InterruptedException
    {
        AtomicInteger attempts = new AtomicInteger();
        assertThat(HedgedCall.read(attempts::incrementAndGet)).isEqualTo(1);
        Thread.sleep(400);
        assertThat(attempts.get()).isEqualTo(1);
    }

    @Test
    void aRejectedReadFailsImmediately()
    {
        GaugehollowException rejection = assertThrows(GaugehollowException.class, () -> HedgedCall.read(() ->
        {
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
        }));
        assertThat(rejection.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void aWriteFailsWhenEveryAttemptThrowsAnError()
    {
        Throwable failure = assertTimeoutPreemptively(Duration.ofSeconds(5),
                () -> assertThrows(Throwable.class, () -> HedgedCall.write(() ->
                {
                    throw new OutOfMemoryError("no memory");
                })));
        assertThat(failure).isNotNull();
    }

    @Test
    void aPendingWriteSucceedsAfterALaterAttemptIsRejected() throws InterruptedException
    {
        AtomicInteger attempts = new AtomicInteger();
        String answer = HedgedCall.write(() ->
        {
            if (attempts.incrementAndGet() > 1)
            {
                throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
            }
            Thread.sleep(600);
            return "done";
        });
        assertThat(answer).isEqualTo("done");
    }

    @Test
    void aWriteIsRejectedOnlyAfterEveryAttemptIsRejected()
    {
        AtomicInteger attempts = new AtomicInteger();
        long startNanos = SteadyClock.nanos();
        GaugehollowException rejection = assertThrows(GaugehollowException.class, () -> HedgedCall.write(() ->
        {
            if (attempts.incrementAndGet() == 1)
            {
                Thread.sleep(600);
            }
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
        }));
        assertThat(rejection.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(SteadyClock.nanos() - startNanos)).isAtLeast(600);
    }

    @Test
    void aWriteWithALostAttemptHasAnUnknownOutcome()
    {
        AtomicInteger attempts = new AtomicInteger();
        GaugehollowException rejection = assertThrows(GaugehollowException.class, () -> HedgedCall.write(() ->
        {
            if (attempts.incrementAndGet() == 1)
            {
                Thread.sleep(600);
                throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN, "no answer");
            }
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
        }));
        assertThat(rejection.code()).isEqualTo(ResultCode.STORE_OUTCOME_UNKNOWN);
    }
}
