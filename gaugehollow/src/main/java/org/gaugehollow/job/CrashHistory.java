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
 * The workers that crashed, or may have crashed, while they had a run of a task. Stored with the
 * task's progress, so that it survives a change of owner.
 *
 * @param crashes one entry for each worker incarnation, in the order of detection
 */
public record CrashHistory(List<Crash> crashes)
{
    /** The empty history. */
    public static final CrashHistory NONE = new CrashHistory(List.of());

    /** How far a worker crash is attributed to the task. */
    public enum Attribution
    {
        /** The worker crashed right after it started the run. */
        AT_START,
        /** The worker crashed after the run had been active for some time. */
        LATER,
        /**
         * The worker became unresponsive right after the start, or crashed before it was known to have the
         * run. It may not have crashed, or not because of the task.
         */
        UNPROVEN,
        /** The crash was attributed to another task, which failed as poison. */
        EXPLAINED
    }

    /**
     * The crash of one worker incarnation.
     *
     * @param worker the id of the incarnation
     * @param evidence how far the crash is attributed to the task
     */
    public record Crash(String worker, Attribution evidence)
    {
    }

    /** Copies the list; null is read as empty. */
    public CrashHistory
    {
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }

    /**
     * Adds a crash, or replaces the recorded crash of the same incarnation.
     *
     * @param worker the id of a worker incarnation
     * @param attribution how far the crash is attributed to the task
     * @return the updated history
     */
    public CrashHistory with(String worker, Attribution attribution)
    {
        List<Crash> updated = new ArrayList<>(without(worker).crashes());
        updated.add(new Crash(worker, attribution));
        return new CrashHistory(updated);
    }

    /**
     * Marks the given workers' crashes right after a start as explained and drops their other crashes,
     * except those explained before.
     *
     * @param workers the ids of the worker incarnations whose crashes were attributed to another task
     * @return the updated history
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

    /** @return the ids of the worker incarnations that are known to have crashed during a run */
    public Set<String> provenWorkers()
    {
        return crashes.stream().filter(
                crash -> crash.evidence() == Attribution.AT_START || crash.evidence() == Attribution.LATER)
                .map(Crash::worker).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Removes the unproven crash of a worker incarnation that turned out not to have crashed.
     *
     * @param worker the id of the incarnation
     * @return the updated history, or this history if it contains no such crash
     */
    public CrashHistory withoutUnproven(String worker)
    {
        return crashes.contains(new Crash(worker, Attribution.UNPROVEN)) ? without(worker) : this;
    }

    /**
     * Removes the crash of a worker incarnation.
     *
     * @param worker the id of the incarnation
     * @return the updated history
     */
    public CrashHistory without(String worker)
    {
        return new CrashHistory(crashes.stream().filter(crash -> !crash.worker().equals(worker)).toList());
    }

    /**
     * @param attribution an attribution
     * @return the number of crashes with that attribution
     */
    public int count(Attribution attribution)
    {
        return (int) crashes.stream().filter(crash -> crash.evidence() == attribution).count();
    }

    /** @return whether there are no crashes */
    @JsonIgnore
    public boolean isEmpty()
    {
        return crashes.isEmpty();
    }
}
