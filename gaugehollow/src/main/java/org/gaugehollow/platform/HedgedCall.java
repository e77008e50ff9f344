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

import org.gaugehollow.model.AttemptOutcomes;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;

/**
 * Repeats a call while earlier attempts are unanswered and returns the first answer. Suitable for
 * calls that are safe to execute twice: reads, and conditional writes whose condition no longer
 * holds once they are applied.
 */
public final class HedgedCall
{
    private static final int HEDGE_DELAY_MILLIS = 350;
    private static final int MAX_ATTEMPTS = 3;
    /** Limit for calls that never return, far above the timeouts of the calls themselves. */
    private static final int MAX_WAIT_MILLIS = 10_000;

    private HedgedCall()
    {
    }

    /**
     * A call that can be repeated.
     *
     * @param <T> the type of the result
     */
    @FunctionalInterface
    public interface Call<T>
    {
        /**
         * @return the answer
         * @throws InterruptedException if the thread is interrupted
         */
        T run() throws InterruptedException;
    }

    /**
     * Executes a read.
     *
     * @param call the call, which may run several times concurrently
     * @param <T> the type of the result
     * @return the first answer
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException the first failure, if no attempt succeeded before it;
     *             {@code STORE_UNAVAILABLE} if no attempt returns
     */
    public static <T> T read(Call<T> call) throws InterruptedException
    {
        return new Attempts<>(call, false).run();
    }

    /**
     * Executes a write.
     *
     * @param call the call, which may run several times concurrently
     * @param <T> the type of the result
     * @return the first answer
     * @throws InterruptedException if the thread is interrupted
     * @throws GaugehollowException {@code STORE_OUTCOME_UNKNOWN} if an attempt may have been or may
     *             still be applied; otherwise the failure of the latest attempt
     */
    public static <T> T write(Call<T> call) throws InterruptedException
    {
        return new Attempts<>(call, true).run();
    }

    /** The attempts of one call. */
    private static final class Attempts<T>
    {
        private final Call<T> call;
        private final boolean write;
        private final AttemptOutcomes outcomes = new AttemptOutcomes();
        private final CompletableFuture<T> result = new CompletableFuture<>();

        Attempts(Call<T> call, boolean write)
        {
            this.call = call;
            this.write = write;
        }

        T run() throws InterruptedException
        {
            try
            {
                for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++)
                {
                    startAttempt();
                    if (completesWithin(HEDGE_DELAY_MILLIS))
                    {
                        return result.get();
                    }
                }
                startAttempt();
                if (completesWithin(MAX_WAIT_MILLIS))
                {
                    return result.get();
                }
            }
            catch (ExecutionException e)
            {
                throw e.getCause() instanceof GaugehollowException failure
                        ? failure
                        : new IllegalStateException(e);
            }
            throw new GaugehollowException(
                    write ? ResultCode.STORE_OUTCOME_UNKNOWN : ResultCode.STORE_UNAVAILABLE,
                    "no attempt returned within " + MAX_WAIT_MILLIS + " ms");
        }

        private boolean completesWithin(int millis) throws InterruptedException, ExecutionException
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

        private void startAttempt()
        {
            if (outcomes.begin())
            {
                Thread.ofVirtual().name("hedged-call").start(this::runAttempt);
            }
        }

        private void runAttempt()
        {
            try
            {
                result.complete(call.run());
            }
            catch (GaugehollowException e)
            {
                onFailure(e);
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
         * Fails a read immediately, but a write only once its outcome is decided: an attempt that is still
         * pending may be applied after another one was rejected.
         */
        private void onFailure(GaugehollowException failure)
        {
            Optional<GaugehollowException> decided = outcomes.end(failure);
            if (write)
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
