/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.TryOutcomes;

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
     * Reads.
     *
     * @param call the call, which may run several times side by side
     * @param <T> what it brings
     * @return the first answer
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException the first failure, if no try was answered before
     */
    public static <T> T read(Call<T> call) throws InterruptedException
    {
        return new Tries<>(call, false).run();
    }

    /**
     * Writes.
     *
     * @param call the call, which may run several times side by side
     * @param <T> what it brings
     * @return the first answer
     * @throws InterruptedException if the process stops
     * @throws GaugehollowException {@code STORE_OUTCOME_UNKNOWN} if a try may have been carried out, or
     *             may be yet; else the refusal of the newest try
     */
    public static <T> T write(Call<T> call) throws InterruptedException
    {
        return new Tries<>(call, true).run();
    }

    /** The tries of one call. */
    private static final class Tries<T>
    {
        private final Call<T> call;
        private final boolean writes;
        private final TryOutcomes outcomes = new TryOutcomes();
        private final CompletableFuture<T> result = new CompletableFuture<>();

        Tries(Call<T> call, boolean writes)
        {
            this.call = call;
            this.writes = writes;
        }

        T run() throws InterruptedException
        {
            try
            {
                for (int sent = 1; sent < MOST; sent++)
                {
                    send();
                    if (isOverWithin(NEXT_MILLIS))
                    {
                        return result.get();
                    }
                }
                send();
                return result.get();
            }
            catch (ExecutionException e)
            {
                throw e.getCause() instanceof GaugehollowException known
                        ? known
                        : new IllegalStateException(e);
            }
        }

        private boolean isOverWithin(int millis) throws InterruptedException, ExecutionException
        {
            try
            {
                result.get(millis, TimeUnit.MILLISECONDS);
                return true;
            }
            catch (TimeoutException e)
            {
                return false;
            }
        }

        private void send()
        {
            if (outcomes.begin())
            {
                Thread.ofVirtual().name("hedged-call").start(this::runTry);
            }
        }

        private void runTry()
        {
            try
            {
                result.complete(call.run());
            }
            catch (GaugehollowException e)
            {
                failed(e);
            }
            catch (InterruptedException e)
            {
                Thread.currentThread().interrupt();
                result.completeExceptionally(e);
            }
            catch (RuntimeException | Error e)
            {
                result.completeExceptionally(e);
            }
        }

        /**
         * A write that is turned away says nothing of one that is still under way: that one is carried out
         * up to seconds after its sender gave it up. Of refusals told without waiting for it, 230 tasks
         * were started on three days of lost answers and boxes turned away.
         */
        private void failed(GaugehollowException failure)
        {
            Optional<GaugehollowException> decided = outcomes.end(failure);
            if (writes)
            {
                decided.ifPresent(result::completeExceptionally);
            }
            else
            {
                result.completeExceptionally(failure);
            }
        }
    }
}
