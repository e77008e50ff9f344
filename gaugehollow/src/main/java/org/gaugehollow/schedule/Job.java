/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;

/** One accepted job in the owner's memory. Guarded by the ledger's lock. */
final class Job
{
    private final JobRecord record;
    private final long acceptedRevision;
    private final TreeMap<Integer, List<Step>> rounds = new TreeMap<>();
    private JobState state = JobState.QUEUED;
    private QueueSpec queue;

    Job(JobRecord record, long acceptedRevision)
    {
        this.record = record;
        this.acceptedRevision = acceptedRevision;
        this.queue = record.queue();
    }

    /** The steps of a repetition, made when they are first asked for. */
    List<Step> round(int number)
    {
        return rounds.computeIfAbsent(number, this::makeRound);
    }

    private List<Step> makeRound(int number)
    {
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < record.job().steps().size(); i++)
        {
            steps.add(new Step(this, number, i, record.job().steps().get(i)));
        }
        return steps;
    }

    /** Makes the repetitions that are due, in milliseconds since 1970. */
    void beginDueRounds(long wallMillis)
    {
        for (int k = rounds.size(); k < record.job().rounds(); k++)
        {
            if (wallMillis < dueMillis(k))
            {
                return;
            }
            round(k);
        }
    }

    /** When the next repetition is due; far away if all have begun. */
    long nextDueMillis()
    {
        return rounds.size() < record.job().rounds() ? dueMillis(rounds.size()) : Long.MAX_VALUE;
    }

    private long dueMillis(int round)
    {
        return record.job().repeatCount() == 0
                ? Long.MIN_VALUE
                : record.job().startAtMillis() + round * record.job().intervalMillis();
    }

    /** Whether all tasks of the steps that a step waits for have ended well. */
    boolean isReady(Step step)
    {
        List<Step> round = rounds.get(step.round());
        return step.spec().dependsOn().stream().allMatch(earlier -> round.get(earlier).isDone());
    }

    boolean allDone()
    {
        return rounds.size() == record.job().rounds()
                && rounds.values().stream().flatMap(List::stream).allMatch(Step::isDone);
    }

    JobProgress progress()
    {
        if (state.isFinal())
        {
            return new JobProgress(state, null);
        }
        List<RoundProgress> all = new ArrayList<>();
        rounds.values()
                .forEach(steps -> all.add(new RoundProgress(steps.stream().map(Step::progress).toList())));
        return new JobProgress(state, all);
    }

    List<Step> steps()
    {
        return rounds.values().stream().flatMap(List::stream).toList();
    }

    /** The tasks that take room somewhere. */
    List<Task> occupying()
    {
        return steps().stream().flatMap(step -> step.tasks().stream()).filter(Task::occupies).toList();
    }

    Task find(TaskName name)
    {
        List<Step> round = rounds.get(name.round());
        if (round == null || name.step() >= round.size())
        {
            return null;
        }
        List<Task> tasks = round.get(name.step()).tasks();
        return name.index() < tasks.size() ? tasks.get(name.index()) : null;
    }

    void setQueue(QueueSpec newest)
    {
        queue = newest;
    }

    void setState(JobState newState)
    {
        state = newState;
    }

    String id()
    {
        return record.id();
    }

    JobRecord record()
    {
        return record;
    }

    QueueSpec queue()
    {
        return queue;
    }

    JobState state()
    {
        return state;
    }

    long acceptedRevision()
    {
        return acceptedRevision;
    }
}
