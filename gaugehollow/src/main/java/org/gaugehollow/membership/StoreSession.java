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

/** Keeps this box registered in the store under a lease and renews the lease. */
public final class StoreSession implements SupervisedTask
{
    private static final int RENEWALS_PER_LEASE = 4;
    private static final int RETRIES_PER_LEASE = 10;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final double JITTER_FRACTION = 0.2;

    private final BoxIdentity self;
    private final PlatformStore store;
    private final Rights rights;
    private final StoreLiveness storeLiveness;
    private final ConfigCache config;
    private final EventLog events;
    private final int leaseSeconds;
    private final Semaphore wake = new Semaphore(0);
    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_128_PP.create();
    private long leaseId;
    private volatile boolean leaving;
    private volatile boolean storeAvailable;

    /**
     * @param self the identity of this box
     * @param store the store
     * @param rights the rights that a renewal extends
     * @param storeLiveness records the contacts with the store
     * @param config receives the assignment map after each registration
     * @param events the event log for lease changes and store availability
     * @param leaseSeconds the time to live of the lease in seconds
     */
    public StoreSession(BoxIdentity self, PlatformStore store, Rights rights, StoreLiveness storeLiveness,
            ConfigCache config, EventLog events, int leaseSeconds)
    {
        this.self = self;
        this.store = store;
        this.rights = rights;
        this.storeLiveness = storeLiveness;
        this.config = config;
        this.events = events;
        this.leaseSeconds = leaseSeconds;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (true)
        {
            int attemptsPerLease = registerOrRenew() ? RENEWALS_PER_LEASE : RETRIES_PER_LEASE;
            double delayMillis = (double) leaseSeconds * MILLIS_PER_SECOND / attemptsPerLease
                    * (1 - JITTER_FRACTION * random.nextDouble());
            if (wake.tryAcquire((long) delayMillis, TimeUnit.MILLISECONDS))
            {
                wake.drainPermits();
            }
        }
    }

    /** Triggers an immediate renewal, since a peer reported that the store answers again. */
    public void renewNow()
    {
        wake.release();
    }

    /** @return whether the store answered the last call */
    public boolean isStoreAvailable()
    {
        return storeAvailable;
    }

    /**
     * Marks the registration of this box as leaving.
     *
     * @throws InterruptedException if the process stops
     */
    public synchronized void announceLeaving() throws InterruptedException
    {
        leaving = true;
        if (leaseId != 0)
        {
            putMember();
        }
    }

    /**
     * Revokes the rights and the lease at the end of a planned shutdown.
     *
     * @throws InterruptedException if the process stops
     */
    public synchronized void end() throws InterruptedException
    {
        rights.revoke();
        if (leaseId != 0)
        {
            store.revokeLease(leaseId);
            leaseId = 0;
        }
    }

    private synchronized boolean registerOrRenew() throws InterruptedException
    {
        try
        {
            if (leaseId == 0)
            {
                register();
            }
            else
            {
                renew();
            }
            setStoreAvailable(true, "");
            return true;
        }
        catch (GaugehollowException e)
        {
            setStoreAvailable(false, e.getMessage());
            return false;
        }
    }

    private void renew() throws InterruptedException
    {
        long sentAt = SteadyClock.nanos();
        boolean renewed = store.renewLease(leaseId);
        storeLiveness.recordContact();
        if (renewed)
        {
            rights.renew(sentAt);
            return;
        }
        leaseId = 0;
        rights.revoke();
        events.record(EventType.LEASE_LOST, self.id(), "");
        register();
    }

    private void register() throws InterruptedException
    {
        long sentAt = SteadyClock.nanos();
        leaseId = store.grantLease(leaseSeconds * MILLIS_PER_SECOND);
        storeLiveness.recordContact();
        try
        {
            putMember();
            readMap();
        }
        catch (GaugehollowException e)
        {
            leaseId = 0;
            throw e;
        }
        rights.renew(sentAt);
        events.record(EventType.LEASE_GRANTED, self.id(), "lease " + leaseId);
    }

    /**
     * Writes the registration on condition that it is unchanged since the read. This keeps a delayed
     * earlier write from binding the key to an older lease.
     */
    private void putMember() throws InterruptedException
    {
        String key = StoreKeys.member(self.hall(), self.id());
        long storedRevision = store.get(key).map(StoredValue::modRevision).orElse(0L);
        byte[] record = Json.write(new MemberRecord(self.id(), self.peerAddress(), leaving));
        if (store.commit(new StoreTransaction().require(key, storedRevision).put(key, record, leaseId))
                .isEmpty())
        {
            throw new GaugehollowException(ResultCode.STORE_OUTCOME_UNKNOWN,
                    "the registration was changed by a delayed earlier write");
        }
    }

    /**
     * Reads the assignment map. Once this box is registered no other box can take over from it, so its
     * assignments in this map stay valid.
     */
    private void readMap() throws InterruptedException
    {
        String name = StoreKeys.assignmentMap(self.hall());
        Optional<StoredValue> map = store.get(StoreKeys.CONFIG_PREFIX + name);
        map.ifPresent(v -> config.applyLocal(new ConfigEntry(name, v.modRevision(), v.value(), false)));
    }

    private void setStoreAvailable(boolean available, String reason)
    {
        if (available != storeAvailable)
        {
            storeAvailable = available;
            events.record(available ? EventType.STORE_FOUND : EventType.STORE_LOST, self.id(), reason);
        }
    }
}
