/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.junit.jupiter.api.Test;

/**
 * Guards against executing a write that was reported as not run, when an attempt is rejected just
 * as the next one is due. Holding the lock of the outcomes widens the race window.
 */
class HedgedCallRaceTest
{
    private static final int ROUNDS = 20;
    /** Longer than the delay before the second attempt. */
    private static final int LOCK_HELD_MILLIS = 450;
    private static final int SETTLE_MILLIS = 50;

    @Test
    void aRejectedWriteIsNotSentAgain() throws ReflectiveOperationException, InterruptedException
    {
        int violations = 0;
        for (int i = 0; i < ROUNDS; i++)
        {
            violations += isRejectedButExecuted() ? 1 : 0;
        }
        assertThat(violations).isEqualTo(0);
    }

    private static boolean isRejectedButExecuted() throws ReflectiveOperationException, InterruptedException
    {
        AtomicInteger attempts = new AtomicInteger();
        AtomicInteger executions = new AtomicInteger();
        AtomicReference<Object> outcomesLock = new AtomicReference<>();
        HedgedCall.Call<Integer> call = () -> attempts.incrementAndGet() == 1
                ? rejectAfterDelay(outcomesLock.get())
                : executions.incrementAndGet();
        Class<?> type = Class.forName(HedgedCall.class.getName() + "$Attempts");
        Constructor<?> constructor = type.getDeclaredConstructor(HedgedCall.Call.class, boolean.class);
        constructor.setAccessible(true);
        Object write = constructor.newInstance(call, true);
        Field outcomes = type.getDeclaredField("outcomes");
        outcomes.setAccessible(true);
        outcomesLock.set(outcomes.get(write));
        Method run = type.getDeclaredMethod("run");
        run.setAccessible(true);
        boolean rejected = false;
        try
        {
            run.invoke(write);
        }
        catch (InvocationTargetException e)
        {
            rejected = e.getCause() instanceof GaugehollowException rejection
                    && rejection.code().outcome() == Outcome.NOT_RUN;
        }
        Thread.sleep(SETTLE_MILLIS);
        return rejected && executions.get() > 0;
    }

    private static int rejectAfterDelay(Object outcomesLock) throws InterruptedException
    {
        synchronized (outcomesLock)
        {
            Thread.sleep(LOCK_HELD_MILLIS);
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "rejected");
        }
    }
}
