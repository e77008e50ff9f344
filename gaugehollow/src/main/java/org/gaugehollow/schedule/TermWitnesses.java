/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.EventType;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.platform.PlatformStore;
import org.gaugehollow.schedule.Witnesses.Vouch;
import org.gaugehollow.supervise.SupervisedTask;
import org.gaugehollow.time.SteadyClock;

/**
 * Keeps the record of the owner's witnesses and asks them to vouch while the store doesn't confirm
 * the term. Reads the record of earlier owners first: their witnesses stay in it until they are
 * known to have stopped.
 */
final class TermWitnesses implements SupervisedTask
{
    private static final long PERIOD_MILLIS = 200;
    /** Time without a confirmation by the store after which the witnesses are asked. */
    private static final long MAX_UNCONFIRMED_MILLIS = 600;
    /** Number of boxes whose data halls are asked for at a time. */
    private static final int MAX_QUESTIONS = 4;
    /**
     * Time without a witness after which the owner renews leases without one. Boxes that start at the
     * same time register within this time.
     */
    private static final long MIN_UNWITNESSED_NANOS = 5_000_000_000L;
    /**
     * Limits the number of periods between two questions to a box that doesn't answer, as a power of 2.
     */
    private static final int MAX_BACKOFF = 6;

    private final OwnerValue stored;
    private final Witnesses witnesses;
    private final OwnerLease owner;
    private final EarlierLeases earlierLeases;
    private final EventLog events;
    /** Whether a box is in the data hall of this box, by address. */
    private final Map<String, Boolean> sameHall = new HashMap<>();
    /** Number of unanswered questions for the data hall of a box, by address. */
    private final Map<String, Integer> unanswered = new HashMap<>();
    private List<String> chosen = List.of();
    /** The record that was written last. */
    private WitnessRecord written = WitnessRecord.NONE;
    /** Whether the store certainly holds {@link #written}. */
    private boolean synced;
    /** Witnesses that the stored record names, whatever has become of a write without an answer. */
    private Set<String> recorded = Set.of();
    private long lastChosenNanos = SteadyClock.nanos();
    private long periods;
    private boolean vouched;

    /**
     * @param store the platform's store
     * @param witnesses the other boxes
     * @param owner this box's term
     * @param earlierLeases leases of earlier terms, which learns their witnesses
     * @param events log for the witnesses and their answers
     */
    TermWitnesses(PlatformStore store, Witnesses witnesses, OwnerLease owner, EarlierLeases earlierLeases,
            EventLog events)
    {
        this.stored = new OwnerValue(store, JobKeys.WITNESSES, owner);
        this.witnesses = witnesses;
        this.owner = owner;
        this.earlierLeases = earlierLeases;
        this.events = events;
    }

    @Override
    public void run() throws InterruptedException
    {
        while (!owner.hasEnded() && !earlierLeases.hasWitnessRecord())
        {
            read();
        }
        while (!owner.hasEnded())
        {
            if (owner.unconfirmedMillis() < MAX_UNCONFIRMED_MILLIS)
            {
                recordVouched(false, "");
                update();
            }
            else
            {
                askToVouch();
            }
            owner.awaitEnd(PERIOD_MILLIS);
        }
    }

    /** Reads the record of earlier owners, which can't change any more. */
    private void read() throws InterruptedException
    {
        try
        {
            earlierLeases.setWitnessRecord(WitnessRecord.read(stored.read()));
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.WITNESSES_RECORDED, owner.box(), "not read: " + e.getMessage());
            owner.awaitEnd(PERIOD_MILLIS);
        }
    }

    private void update() throws InterruptedException
    {
        List<String> candidates = witnesses.candidates();
        askForHalls(candidates);
        chosen = WitnessChoice.choose(chosen, candidates, sameHall);
        boolean isUnwitnessed = lacksWitness();
        if (!isUnwitnessed)
        {
            // From now on leases are granted as the next record says.
            owner.setUnwitnessed(false);
        }
        WitnessRecord next = createRecord(isUnwitnessed);
        if (synced && next.equals(written) || write(next))
        {
            owner.setUnwitnessed(isUnwitnessed);
        }
    }

    private WitnessRecord createRecord(boolean isUnwitnessed)
    {
        List<String> all = new ArrayList<>(chosen);
        earlierLeases.unresolvedWitnesses().stream().filter(address -> !all.contains(address))
                .forEach(all::add);
        return new WitnessRecord(all, isUnwitnessed || earlierLeases.mayBeUnwitnessed());
    }

    /** Returns whether this box has had no witness in its data hall for long, and can expect none. */
    private boolean lacksWitness()
    {
        if (!chosen.isEmpty())
        {
            lastChosenNanos = SteadyClock.nanos();
        }
        return SteadyClock.nanos() - lastChosenNanos >= MIN_UNWITNESSED_NANOS;
    }

    private void askForHalls(List<String> candidates) throws InterruptedException
    {
        sameHall.keySet().retainAll(candidates);
        unanswered.keySet().retainAll(candidates);
        periods++;
        boolean areBothKnown = sameHall.containsValue(true) && sameHall.containsValue(false);
        List<String> unknown = candidates.stream()
                .filter(address -> !areBothKnown && !sameHall.containsKey(address) && isToBeAsked(address))
                .limit(MAX_QUESTIONS).toList();
        for (String address : unknown)
        {
            Vouch answer = witnesses.vouch(address, owner.fence());
            if (answer.answered())
            {
                sameHall.put(address, answer.sameHall());
            }
            else
            {
                unanswered.merge(address, 1, Integer::sum);
            }
        }
    }

    private boolean isToBeAsked(String address)
    {
        return periods % (1L << Math.min(unanswered.getOrDefault(address, 0), MAX_BACKOFF)) == 0;
    }

    /** Writes the record and returns whether it is certainly stored. */
    private boolean write(WitnessRecord next) throws InterruptedException
    {
        synced = false;
        written = next;
        recorded = recorded.stream().filter(next.witnesses()::contains)
                .collect(Collectors.toUnmodifiableSet());
        try
        {
            if (!stored.write(next.write(), OwnerValue.NO_LEASE))
            {
                return false;
            }
        }
        catch (GaugehollowException e)
        {
            events.record(EventType.WITNESSES_RECORDED, owner.box(), "not written: " + e.getMessage());
            return false;
        }
        synced = true;
        recorded = Set.copyOf(next.witnesses());
        events.record(EventType.WITNESSES_RECORDED, owner.box(),
                next.witnesses() + (next.unwitnessed() ? ", leases may be renewed without witness" : ""));
        return true;
    }

    /** Asks the recorded witnesses in turn until one of them vouches. */
    private void askToVouch() throws InterruptedException
    {
        for (String address : chosen)
        {
            long sentNanos = SteadyClock.nanos();
            if (recorded.contains(address) && witnesses.vouch(address, owner.fence()).vouches())
            {
                owner.recordVouch(sentNanos);
                recordVouched(true, address);
                return;
            }
        }
    }

    private void recordVouched(boolean isVouched, String address)
    {
        if (vouched != isVouched)
        {
            vouched = isVouched;
            events.record(EventType.TERM_VOUCHED, owner.box(),
                    isVouched
                            ? "by " + address + ", not confirmed by the store for "
                                    + owner.unconfirmedMillis() + " ms"
                            : "no longer needed");
        }
    }
}
