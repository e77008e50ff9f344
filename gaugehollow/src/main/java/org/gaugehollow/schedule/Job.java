/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntPredicate;

import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;

/** An accepted job in the cell state. Guarded by the lock of the cell state. */
final class Job
{
    /** Multiple of its objective after which a job no longer benefits from planning ahead of others. */
    private static final int MAX_LATE_FACTOR = 3;
    /**
     * Number of workers in a typical advice call, used to estimate the duration of the call. The users
     * count one call for as many workers into the critical path for each step.
     */
    private static final int TYPICAL_ADVICE_WORKERS = 30;
    /** Factor by which the actual duration may exceed the estimates. */
    private static final double ESTIMATE_TOLERANCE = 1.5;

    private final JobRecord record;
    private final long criticalPathMillis;
    private final long acceptedRevision;
    /** Whether the job has due times or runs until it is cancelled, and so has no objective. */
    private final boolean openEnded;
    private final TreeMap<Integer, List<Step>> rounds = new TreeMap<>();
    private boolean beyondWeight;
    private JobState state = JobState.QUEUED;
    private QueueSpec queue;
    private long changeCount;
    private long changeCountInWrite;
    private long writtenChangeCount;

    Job(JobRecord record, long acceptedRevision)
    {
        this.record = record;
        this.acceptedRevision = acceptedRevision;
        this.queue = record.queue();
        this.criticalPathMillis = criticalPathMillis(record.job().steps(), step -> false);
        this.openEnded = record.job().repeatCount() > 0
                || record.job().steps().stream().anyMatch(StepSpec::longRunning);
    }

    /** Returns the steps of a repetition, which are created on first use. */
    List<Step> round(int number)
    {
        return rounds.computeIfAbsent(number, this::createRound);
    }

    private List<Step> createRound(int number)
    {
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < record.job().steps().size(); i++)
        {
            steps.add(new Step(this, number, i, record.job().steps().get(i)));
        }
        return steps;
    }

    /** Creates the repetitions that are due at the given time, in milliseconds since 1970. */
    void beginDueRounds(long wallMillis)
    {
        for (int round = rounds.size(); round < record.job().rounds(); round++)
        {
            if (wallMillis < dueMillis(round))
            {
                return;
            }
            round(round);
        }
    }

    private long dueMillis(int round)
    {
        return record.job().repeatCount() == 0
                ? Long.MIN_VALUE
                : record.job().startAtMillis() + round * record.job().intervalMillis();
    }

    /**
     * Returns whether the job is so late that hurrying it brings no benefit. Never true for
     * long-running jobs or jobs with due times.
     */
    boolean isTooLate(long wallMillis)
    {
        return !openEnded
                && wallMillis - record.acceptedMillis() > MAX_LATE_FACTOR * tolerantObjectiveMillis();
    }

    /**
     * Returns the objective under the assumption that the estimates are too low by the tolerated
     * factor.
     */
    private long tolerantObjectiveMillis()
    {
        return objectiveMillis((long) (ESTIMATE_TOLERANCE * criticalPathMillis));
    }

    private long objectiveMillis(long criticalPath)
    {
        return queue.targetMillis() + (long) (queue.stretch() * criticalPath);
    }

    /**
     * Returns the delay that the job can take from now on and still meet its objective, in
     * milliseconds; negative if it cannot meet it. Steps that are not done count with their whole
     * estimate.
     */
    long slackMillis(long wallMillis)
    {
        return record.acceptedMillis() + objectiveMillis(criticalPathMillis) - remainingMillis() - wallMillis;
    }

    /** Returns the time from the acceptance of the job to its objective, in milliseconds. */
    long objectiveMillis()
    {
        return objectiveMillis(criticalPathMillis);
    }

    /** Returns the estimated critical path of the steps that are not done, without the given one. */
    long remainingMillisWithout(Step excluded)
    {
        List<Step> steps = round(0);
        return criticalPathMillis(record.job().steps(),
                step -> step == excluded.number() || steps.get(step).isDone());
    }

    /** Returns the delay that the job could take at its acceptance, in milliseconds. */
    long initialSlackMillis()
    {
        return objectiveMillis(criticalPathMillis) - criticalPathMillis;
    }

    /**
     * Returns whether the job will miss its objective even if its estimates are too low. Never true for
     * long-running jobs or jobs with due times.
     */
    boolean willMissObjective(long wallMillis)
    {
        long deadlineMillis = record.acceptedMillis() + tolerantObjectiveMillis();
        return !openEnded && wallMillis + remainingMillis() > deadlineMillis;
    }

    /** Returns whether each repetition of the job has an objective for its end. */
    boolean hasObjective()
    {
        return objectiveMillis(criticalPathMillis) > 0
                && record.job().steps().stream().noneMatch(StepSpec::longRunning);
    }

    /**
     * Returns the time until the objective of a repetition, in milliseconds; negative if it has passed.
     */
    long millisToObjective(int round, long wallMillis)
    {
        long beginMillis = record.job().repeatCount() == 0 ? record.acceptedMillis() : dueMillis(round);
        return beginMillis + objectiveMillis(criticalPathMillis) - wallMillis;
    }

    /** Returns the time until the end of a repetition no longer has a value, in milliseconds. */
    long millisToUseless(int round, long wallMillis)
    {
        return millisToObjective(round, wallMillis)
                + (MAX_LATE_FACTOR - 1) * objectiveMillis(criticalPathMillis);
    }

    /** Returns the estimated critical path of the steps of a repetition that are not done. */
    long remainingMillis(int round)
    {
        List<Step> steps = round(round);
        return criticalPathMillis(record.job().steps(), step -> steps.get(step).isDone());
    }

    /** Returns the estimated critical path of the steps that are not done. */
    private long remainingMillis()
    {
        List<Step> steps = round(0);
        return criticalPathMillis(record.job().steps(), step -> steps.get(step).isDone());
    }

    /** Returns the estimated critical path of the steps, without those excluded. */
    private long criticalPathMillis(List<StepSpec> steps, IntPredicate isExcluded)
    {
        long[] ends = new long[steps.size()];
        long adviceMillis = (long) queue.adviceIfNeeded()
                .map(advice -> advice.expectedMillis(TYPICAL_ADVICE_WORKERS)).orElse(0.0).doubleValue();
        long longest = 0;
        for (int i = 0; i < ends.length; i++)
        {
            long start = 0;
            for (int dependency : steps.get(i).dependsOn())
            {
                start = Math.max(start, ends[dependency]);
            }
            ends[i] = start + (isExcluded.test(i) ? 0 : steps.get(i).estimateMillis() + adviceMillis);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Returns the steps with waiting tasks whose dependencies are done. */
    List<Step> waitingSteps()
    {
        List<Step> waiting = new ArrayList<>();
        for (List<Step> round : rounds.values())
        {
            for (Step step : round)
            {
                if (step.hasWaiting() && isReady(step, round))
                {
                    waiting.add(step);
                }
            }
        }
        return waiting;
    }

    /** Returns whether all dependencies of a step are done. */
    private static boolean isReady(Step step, List<Step> round)
    {
        for (int dependency : step.spec().dependsOn())
        {
            if (!round.get(dependency).isDone())
            {
                return false;
            }
        }
        return true;
    }

    boolean areAllStepsDone()
    {
        return rounds.size() == record.job().rounds()
                && rounds.values().stream().flatMap(List::stream).allMatch(Step::isDone);
    }

    JobProgress progress()
    {
        if (isFinished())
        {
            return new JobProgress(record.queue().name(), state, null, record.customer());
        }
        List<RoundProgress> roundProgress = new ArrayList<>();
        rounds.values().forEach(
                steps -> roundProgress.add(new RoundProgress(steps.stream().map(Step::progress).toList())));
        return new JobProgress(record.queue().name(), state, roundProgress, record.customer());
    }

    List<Step> steps()
    {
        return rounds.values().stream().flatMap(List::stream).toList();
    }

    /** Returns whether the job has ended and no run of it may still exist. */
    boolean isFinished()
    {
        return state.isFinal() && tasksOnWorkers().isEmpty();
    }

    /** Returns the tasks and copies that are on workers. */
    List<Task> tasksOnWorkers()
    {
        return steps().stream().flatMap(step -> step.runsOnWorkers().stream()).toList();
    }

    Task findTask(TaskName name)
    {
        List<Step> round = rounds.get(name.round());
        if (round == null || name.step() >= round.size())
        {
            return null;
        }
        List<Task> tasks = round.get(name.step()).tasks();
        return name.index() < tasks.size() ? tasks.get(name.index()) : null;
    }

    /** Records a change of the progress that must be stored. */
    void markChanged()
    {
        changeCount++;
    }

    /** Marks the current progress as being written. */
    void beginWrite()
    {
        changeCountInWrite = changeCount;
    }

    /** Marks the progress of the latest write as stored. */
    void endWrite()
    {
        writtenChangeCount = changeCountInWrite;
    }

    /** Returns whether the store may lack a change of the progress. */
    boolean isUnwritten()
    {
        return writtenChangeCount < changeCount;
    }

    /** Returns whether the job has due times or runs until it is cancelled. */
    boolean isOpenEnded()
    {
        return openEnded;
    }

    /** Returns whether the job exceeds its customer's weight. */
    boolean isBeyondWeight()
    {
        return beyondWeight;
    }

    void setBeyondWeight(boolean value)
    {
        beyondWeight = value;
    }

    void setQueue(QueueSpec newQueue)
    {
        queue = newQueue;
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
