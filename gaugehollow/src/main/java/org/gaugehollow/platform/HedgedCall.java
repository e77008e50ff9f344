/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.gaugehollow.model.GaugehollowException;

/**
 * Sends a call again while the ones before have no answer, and takes the first answer. For calls
 * that must not wait for an answer that was lost, and do no harm if they are carried out twice:
 * reads, and writes under a condition that the write itself ends.
 */
public final class HedgedCall
{
    private static final int NEXT_MILLIS = 350;
    private static final int MOST = 3;

    private HedgedCall()
    {
    }

    /**
     * A call.
     *
     * @param <T> what it brings
     */
    @FunctionalInterface
    public interface Call<T>
    {
        /**
         * @return the answer
         * @throws InterruptedException if the process stops
         */
        T run() throws InterruptedException;
    }

    /**
     * Calls.
     *
     * @param call the call, which may run several times side by side
     * @param <T> what it brings
     * @return the first answer
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException the first failure, if no try was answered before
     */
    public static <T> T first(Call<T> call) throws InterruptedException
    {
        CompletableFuture<T> result = new CompletableFuture<>();
        AtomicInteger open = new AtomicInteger();
        try
        {
            for (int i = 1; i < MOST; i++)
            {
                Thread.ofVirtual().name("hedged-call").start(() -> complete(result, call, open));
                try
                {
                    return result.get(NEXT_MILLIS, TimeUnit.MILLISECONDS);
                }
                catch (TimeoutException e)
                {
                    // the next try goes out beside this one
                }
            }
            complete(result, call, open);
            return result.get();
        }
        catch (ExecutionException e)
        {
            throw e.getCause() instanceof GaugehollowException known ? known : new IllegalStateException(e);
        }
    }

    private static <T> void complete(CompletableFuture<T> result, Call<T> call, AtomicInteger open)
    {
        open.incrementAndGet();
        try
        {
            result.complete(call.run());
        }
        catch (GaugehollowException e)
        {
            int others = open.decrementAndGet();
            result.completeExceptionally(others == 0
                    ? e
                    : new GaugehollowException(e.code(), e.getMessage() + "; " + others + " tries still open",
                            e));
        }
        catch (InterruptedException e)
        {
            Thread.currentThread().interrupt();
            result.completeExceptionally(e);
        }
        catch (RuntimeException e)
        {
            result.completeExceptionally(e);
        }
    }
}
