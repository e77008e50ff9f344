/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobCodec;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.worker.Advice;
import org.gaugehollow.worker.AdvicePort;
import org.gaugehollow.worker.WorkerEntry;
import org.gaugehollow.worker.WorkerIncarnation;
import org.gaugehollow.worker.WorkerPort;

/** In-memory platform. */
final class FakePlatform implements CellPlatform
{
    private static final String WORKERS = "workers/";
    private static final byte VALID = 1;
    private static final byte INVALID = 2;
    private static final int DEFAULT_CPU_MILLIS = 16_000;
    private static final int CPU_MILLIS_PER_UNIT = 1_000;
    private static final byte DEFAULT_UNITS = DEFAULT_CPU_MILLIS / CPU_MILLIS_PER_UNIT;
    /** Index of the start time in a worker's entry. */
    private static final int START_TIME_INDEX = 2;

    private final FakeStore store;
    private final Map<String, FakeWorker> workers = new ConcurrentHashMap<>();
    private volatile AdvicePort advice = (step, ids, timeout) -> new Advice(List.of(), 0);

    FakePlatform()
    {
        this(new FakeStore());
    }

    FakePlatform(FakeStore store)
    {
        this.store = store;
    }

    /** Adds and lists a new worker. */
    FakeWorker addWorker(String id) throws InterruptedException
    {
        FakeWorker worker = new FakeWorker();
        add(id, worker);
        return worker;
    }

    /** Adds and lists an existing worker. */
    void add(String id, FakeWorker worker) throws InterruptedException
    {
        workers.put(id, worker);
        list(id);
    }

    /** Lists an incarnation of a worker with its start time, which replaces the previous one. */
    void addIncarnation(String id, byte startTime, FakeWorker worker) throws InterruptedException
    {
        addIncarnation(id, startTime, worker, DEFAULT_UNITS);
    }

    /** Lists an incarnation of a worker with the given number of processors. */
    void addIncarnation(String id, byte startTime, FakeWorker worker, byte processors)
            throws InterruptedException
    {
        workers.put(new WorkerIncarnation(id, startTime).text(), worker);
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{VALID, processors, startTime}));
    }

    /** Writes the record of an accepted job. */
    void accept(JobRecord job) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(JobKeys.job(job.id()), JobCodec.writeRecord(job)));
    }

    /** Writes the cancellation of a job. */
    void cancel(String job) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(JobKeys.cancellation(job), new byte[]{'1'}));
    }

    /** Returns whether the stored progress of a job says that it was cancelled and has no runs left. */
    boolean isCancelledAndFinished(String job)
    {
        return store.get(JobKeys.progress(job)).map(value -> JobCodec.readProgress(value.value()))
                .filter(progress -> progress.state() == JobState.CANCELLED && progress.rounds() == null)
                .isPresent();
    }

    /** Lists a worker that was added before. */
    void list(String id) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{VALID}));
    }

    /** Changes the number of processors that a worker's entry reports. */
    void resize(String id, int processors) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{VALID, (byte) processors}));
    }

    /** Replaces a worker's entry by one that is invalid. */
    void writeInvalidEntry(String id) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{INVALID}));
    }

    /** Deletes a worker's entry; the worker keeps running. */
    void unlist(String id) throws InterruptedException
    {
        store.commit(new StoreTransaction().delete(WORKERS + id));
    }

    /** Sets the advice service that answers later calls. */
    void setAdvice(AdvicePort newAdvice)
    {
        advice = newAdvice;
    }

    FakeStore fakeStore()
    {
        return store;
    }

    @Override
    public PlatformStore store()
    {
        return store;
    }

    @Override
    public String configKey()
    {
        return "config";
    }

    @Override
    public CellConfig readConfig(byte[] value)
    {
        return CellConfig.NONE;
    }

    @Override
    public String workerPrefix()
    {
        return WORKERS;
    }

    @Override
    public WorkerEntry readWorker(String key, byte[] value)
    {
        if (value[0] != VALID)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "not a worker");
        }
        String id = workerId(key);
        long startTime = value.length > START_TIME_INDEX
                ? value[START_TIME_INDEX]
                : WorkerIncarnation.START_UNKNOWN;
        return TestJobs.worker(new WorkerIncarnation(id, startTime),
                value.length > 1 ? value[1] * CPU_MILLIS_PER_UNIT : DEFAULT_CPU_MILLIS);
    }

    @Override
    public String workerId(String key)
    {
        return key.substring(WORKERS.length());
    }

    @Override
    public WorkerPort openWorker(WorkerEntry worker, BooleanSupplier maySendCommands)
    {
        return workers.get(worker.incarnation().text());
    }

    @Override
    public AdvicePort advice()
    {
        return (step, ids, timeout) -> advice.advise(step, ids, timeout);
    }
}
