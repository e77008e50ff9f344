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

/** A platform in memory. */
final class FakePlatform implements CellPlatform
{
    private static final String WORKERS = "workers/";
    private static final byte USABLE = 1;
    private static final byte UNUSABLE = 2;
    private static final int WHOLE_CPU = 16_000;
    private static final int CPU_PER_UNIT = 1_000;
    private static final byte WHOLE_UNITS = WHOLE_CPU / CPU_PER_UNIT;
    /** Where an entry tells when its life was born. */
    private static final int BORN = 2;

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

    /** Lists a worker; its state must have been set before. */
    FakeWorker addWorker(String id) throws InterruptedException
    {
        FakeWorker worker = new FakeWorker();
        add(id, worker);
        return worker;
    }

    /** Lists a worker that was made before. */
    void add(String id, FakeWorker worker) throws InterruptedException
    {
        workers.put(id, worker);
        list(id);
    }

    /** Lists a life of a worker, which tells when it was born, in place of the one before. */
    void addLife(String id, byte born, FakeWorker worker) throws InterruptedException
    {
        addLife(id, born, worker, WHOLE_UNITS);
    }

    /** The same, with a room of so many processors. */
    void addLife(String id, byte born, FakeWorker worker, byte processors) throws InterruptedException
    {
        workers.put(new WorkerIncarnation(id, born).text(), worker);
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{USABLE, processors, born}));
    }

    /** A box has accepted a job. */
    void accept(JobRecord job) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(JobKeys.job(job.id()), JobCodec.writeRecord(job)));
    }

    /** Lists a worker that was added before. */
    void list(String id) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{USABLE}));
    }

    /** A worker tells of a room of so many processors. */
    void resize(String id, int processors) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{USABLE, (byte) processors}));
    }

    /** Another writer puts an entry in a worker's place that names no worker. */
    void spoil(String id) throws InterruptedException
    {
        store.commit(new StoreTransaction().put(WORKERS + id, new byte[]{UNUSABLE}));
    }

    /** A worker's entry goes from the store; the worker lives on. */
    void unlist(String id) throws InterruptedException
    {
        store.commit(new StoreTransaction().delete(WORKERS + id));
    }

    /** What the advice service answers from now on. */
    void answerAdvice(AdvicePort answers)
    {
        advice = answers;
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
        if (value[0] != USABLE)
        {
            throw new GaugehollowException(ResultCode.STORE_BAD_ANSWER, "no worker");
        }
        String id = workerId(key);
        long born = value.length > BORN ? value[BORN] : WorkerIncarnation.START_UNKNOWN;
        return TestJobs.worker(new WorkerIncarnation(id, born),
                value.length > 1 ? value[1] * CPU_PER_UNIT : WHOLE_CPU);
    }

    @Override
    public String workerId(String key)
    {
        return key.substring(WORKERS.length());
    }

    @Override
    public WorkerPort openWorker(WorkerEntry worker, BooleanSupplier mayOrder)
    {
        return workers.get(worker.incarnation().text());
    }

    @Override
    public AdvicePort advice()
    {
        return (step, ids, timeout) -> advice.advise(step, ids, timeout);
    }
}
