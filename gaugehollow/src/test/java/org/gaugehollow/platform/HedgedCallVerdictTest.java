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
 * The only try of a write is turned away in the very moment in which the next one is due. Either
 * that one is not sent any more, or it counts: a write that is told as not run must never be
 * carried out. The moment is made longer by holding the lock under which tries are counted, as if
 * the processor were taken away there.
 */
class HedgedCallVerdictTest
{
    private static final int ROUNDS = 20;
    /** Until after the second try is due, which is after 350 ms. */
    private static final int HELD_UP_MILLIS = 450;
    private static final int SETTLE_MILLIS = 50;

    @Test
    void aWriteThatIsToldAsNotRunIsNotSentAgain() throws ReflectiveOperationException, InterruptedException
    {
        int carriedOut = 0;
        for (int i = 0; i < ROUNDS; i++)
        {
            carriedOut += isToldAsNotRunAndCarriedOut() ? 1 : 0;
        }
        assertThat(carriedOut).isEqualTo(0);
    }

    private static boolean isToldAsNotRunAndCarriedOut()
            throws ReflectiveOperationException, InterruptedException
    {
        AtomicInteger tries = new AtomicInteger();
        AtomicInteger done = new AtomicInteger();
        AtomicReference<Object> counted = new AtomicReference<>();
        HedgedCall.Call<Integer> call = () -> tries.incrementAndGet() == 1
                ? turnedAway(counted.get())
                : done.incrementAndGet();
        Class<?> type = Class.forName(HedgedCall.class.getName() + "$Tries");
        Constructor<?> make = type.getDeclaredConstructor(HedgedCall.Call.class, boolean.class);
        make.setAccessible(true);
        Object write = make.newInstance(call, true);
        Field outcomes = type.getDeclaredField("outcomes");
        outcomes.setAccessible(true);
        counted.set(outcomes.get(write));
        Method run = type.getDeclaredMethod("run");
        run.setAccessible(true);
        boolean toldAsNotRun = false;
        try
        {
            run.invoke(write);
        }
        catch (InvocationTargetException e)
        {
            toldAsNotRun = e.getCause() instanceof GaugehollowException refusal
                    && refusal.code().outcome() == Outcome.NOT_RUN;
        }
        Thread.sleep(SETTLE_MILLIS);
        return toldAsNotRun && done.get() > 0;
    }

    private static int turnedAway(Object counted) throws InterruptedException
    {
        synchronized (counted)
        {
            Thread.sleep(HELD_UP_MILLIS);
            throw new GaugehollowException(ResultCode.STORE_UNAVAILABLE, "turned away");
        }
    }
}
