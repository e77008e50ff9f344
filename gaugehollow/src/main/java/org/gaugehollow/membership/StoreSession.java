/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gaugehollow.config.ConfigCache;
import org.gaugehollow.config.StoreKeys;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.platform.StoreTransaction;
import org.gaugehollow.platform.StoredValue;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/** Keeps this box registered in the store under a lease and renews it. */
public final class StoreSession implements SupervisedTask
{
    private static final int RENEWALS_PER_LEASE = 4;
    private static final int RETRIES_PER_LEASE = 10;
    private static final int MILLIS = 1_000;
    private static final double JITTER = 0.2;

    private final BoxIdentity self;
    private final PlatformStore store;
    private final Rights rights;
    private final StoreLiveness evidence;
    private final ConfigCache config;
    private final EventLog events;
    private final int leaseSeconds;
    private final Semaphore wake = new Semaphore(0);
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create();
    private long lease;
    private volatile boolean leaving;
    private volatile boolean answering;

    /**
     * @param self this box
     * @param store the platform's service
     * @param rights what a renewal extends
     * @param evidence told of the store's answers
     * @param config given the hall's map after each registration
     * @param events where gains and losses are recorded
     * @param leaseSeconds how long the store keeps a silent lease
     */
    public StoreSession(BoxIdentity self, PlatformStore store, Rights rights, StoreLiveness evidence,
            ConfigCache config, EventLog events, int leaseSeconds)
    {
        this.self = self;
        this.store = store;
        this.rights = rights;
        this.evidence = evidence;
        this.config = config;
        this.events = events;
        this.leaseSeconds = leaseSeconds;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            int perLease = keepOnce() ? RENEWALS_PER_LEASE : RETRIES_PER_LEASE;
            double jittered = (double) leaseSeconds * MILLIS / perLease * (1 - JITTER * random.nextDouble());
            if (wake.tryAcquire((long) jittered, TimeUnit.MILLISECONDS))
            {
                wake.drainPermits();
            }
        }
    }

    /** Renews at once, because a peer says that the store answers again. */
    public void renewNow()
    {
        wake.release();
    }

    /** @return whether the store answered the last call */
    public boolean storeAnswers()
    {
        return answering;
    }

    /**
     * Registers the leaving mark at once.
     *
     * @throws InterruptedException if the process stops
     */
    public synchronized void announceLeaving() throws InterruptedException
    {
        leaving = true;
        if (lease != 0)
        {
            putMember();
        }
    }

    /**
     * Gives the lease back at the end of a planned stop.
     *
     * @throws InterruptedException if the process stops
     */
    public synchronized void end() throws InterruptedException
    {
        rights.revoke();
        if (lease != 0)
        {
            store.revokeLease(lease);
            lease = 0;
        }
    }

    private synchronized boolean keepOnce() throws InterruptedException
    {
        try
        {
            if (lease == 0)
            {
                register();
            }
            else
            {
                renew();
            }
            noteAnswering(true, "");
            return true;
        }
        catch (GaugehollowException e)
        {
            noteAnswering(false, e.getMessage());
            return false;
        }
    }

    private void renew() throws InterruptedException
    {
        long sentAt = SteadyClock.nanos();
        boolean known = store.renewLease(lease);
        evidence.recordContact();
        if (known)
        {
            rights.renew(sentAt);
            return;
        }
        lease = 0;
        rights.revoke();
        events.record(EventType.LEASE_LOST, self.id(), "");
        register();
    }

    private void register() throws InterruptedException
    {
        long sentAt = SteadyClock.nanos();
        lease = store.grantLease(leaseSeconds * MILLIS);
        evidence.recordContact();
        try
        {
            putMember();
            readMap();
        }
        catch (GaugehollowException e)
        {
            lease = 0;
            throw e;
        }
        rights.renew(sentAt);
        events.record(EventType.LEASE_GRANTED, self.id(), "lease " + lease);
    }

    /**
     * Conditional on what is there, so that a delayed earlier write cannot tie the key to an older
     * lease again.
     */
    private void putMember() throws InterruptedException
    {
        String key = StoreKeys.member(self.hall(), self.id());
        long held = store.get(key).map(StoredValue::modRevision).orElse(0L);
        byte[] record = Json.write(new MemberRecord(self.id(), self.peerAddress(), leaving));
        if (store.commit(new StoreTransaction().require(key, held).put(key, record, lease)).isEmpty())
        {
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN,
                    "an earlier registration came late");
        }
    }

    /** Once this box's key is there nobody can take over from it, so the map read now is true of it. */
    private void readMap() throws InterruptedException
    {
        String name = StoreKeys.hallMap(self.hall());
        Optional<StoredValue> map = store.get(StoreKeys.CONFIG + name);
        map.ifPresent(v -> config.applyOwn(new ConfigEntry(name, v.modRevision(), v.value(), false)));
    }

    private void noteAnswering(boolean now, String text)
    {
        if (now != answering)
        {
            answering = now;
            events.record(now ? EventType.STORE_FOUND : EventType.STORE_LOST, self.id(), text);
        }
    }
}
