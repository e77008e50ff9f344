/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The workers that crashed, or may have, while they had a run of one task. It lies in the store
 * with the task's progress, so that what one owner has learnt holds for the next.
 *
 * @param crashes one entry for each life of a worker, in the order in which they were noticed
 */
public record CrashHistory(List<Crash> crashes)
{
    /** No worker has crashed under the task. */
    public static final CrashHistory NONE = new CrashHistory(List.of());

    /** What a crash says of the task. */
    public enum Attribution
    {
        /** The worker crashed right after it had started the run. */
        AT_START,
        /** The worker crashed after the run had been at work for a while. */
        LATER,
        /**
         * The worker fell silent right after the start, or crashed before it was known to have the run: it
         * may not have crashed, or not under the task.
         */
        UNPROVEN,
        /** Another task was given up for the crash. */
        EXPLAINED
    }

    /**
     * The end of one life of a worker.
     *
     * @param worker its id
     * @param evidence what is known of it
     */
    public record Crash(String worker, Attribution evidence)
    {
    }

    /** Takes a copy of the list. */
    public CrashHistory
    {
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }

    /**
     * @param worker the id of a worker's life
     * @param evidence what is known now; it takes the place of what was known of that life before
     * @return the history with it
     */
    public CrashHistory with(String worker, Attribution attribution)
    {
        List<Crash> updated = new ArrayList<>(without(worker).crashes());
        updated.add(new Crash(worker, attribution));
        return new CrashHistory(updated);
    }

    /**
     * @param workers the ids of workers' lives for whose crashes another task was given up
     * @return the history in which their crashes are explained; only those right after a start still
     *         count
     */
    public CrashHistory withExplained(Set<String> workers)
    {
        List<Crash> remaining = new ArrayList<>();
        for (Crash crash : crashes)
        {
            boolean isExplained = workers.contains(crash.worker());
            if (isExplained && crash.evidence() == Attribution.AT_START)
            {
                remaining.add(new Crash(crash.worker(), Attribution.EXPLAINED));
            }
            else if (!isExplained || crash.evidence() == Attribution.EXPLAINED)
            {
                remaining.add(crash);
            }
        }
        return new CrashHistory(remaining);
    }

    /** @return the ids of the workers' lives that surely crashed under a run, for all that is known */
    public Set<String> proven()
    {
        return crashes.stream().filter(
                crash -> crash.evidence() == Attribution.AT_START || crash.evidence() == Attribution.LATER)
                .map(Crash::worker).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * @param worker the id of a worker's life that has turned out not to have crashed
     * @return the history without it
     */
    public CrashHistory without(String worker)
    {
        return new CrashHistory(crashes.stream().filter(crash -> !crash.worker().equals(worker)).toList());
    }

    /**
     * @param evidence a kind of evidence
     * @return how many lives of workers ended that way
     */
    public int count(Attribution attribution)
    {
        return (int) crashes.stream().filter(crash -> crash.evidence() == attribution).count();
    }

    /** @return whether there is nothing in it */
    @JsonIgnore
    public boolean isEmpty()
    {
        return crashes.isEmpty();
    }
}
