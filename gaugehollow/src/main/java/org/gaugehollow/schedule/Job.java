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

/** One accepted job in the owner's memory. Guarded by the ledger's lock. */
final class Job
{
    /** A job that takes more than this many times its objective is of no worth any more. */
    private static final int LATE_FACTOR = 3;
    /** A step's chain of work holds one call for advice on so many workers, as the users count it. */
    private static final int USUAL_WORKERS = 30;
    /** Room for estimates that are too low. */
    private static final double ESTIMATE_ROOM = 1.5;

    private final JobRecord record;
    private final long chainMillis;
    private final long acceptedRevision;
    /** Whether it has no objective of its own: it has due times or runs until it is cancelled. */
    private final boolean isOpen;
    private final TreeMap<Integer, List<Step>> rounds = new TreeMap<>();
    private boolean beyondWeight;
    private JobState state = JobState.QUEUED;
    private QueueSpec queue;
    private long changes;
    private long changesInWrite;
    private long changesWritten;

    Job(JobRecord record, long acceptedRevision)
    {
        this.record = record;
        this.acceptedRevision = acceptedRevision;
        this.queue = record.queue();
        this.chainMillis = chainMillis(record.job().steps(), step -> false);
        this.isOpen = record.job().repeatCount() > 0
                || record.job().steps().stream().anyMatch(StepSpec::longRunning);
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

    private long dueMillis(int round)
    {
        return record.job().repeatCount() == 0
                ? Long.MIN_VALUE
                : record.job().startAtMillis() + round * record.job().intervalMillis();
    }

    /**
     * Whether the job is so late that nothing is gained by hurrying it any more. Jobs with due times
     * and long-running ones never are.
     */
    boolean isTooLate(long wallMillis)
    {
        return !isOpen && wallMillis - record.acceptedMillis() > LATE_FACTOR * latestObjectiveMillis();
    }

    /** Its objective where its estimates are as much too low as may be. */
    private long latestObjectiveMillis()
    {
        return objectiveMillis((long) (ESTIMATE_ROOM * chainMillis));
    }

    private long objectiveMillis(long chain)
    {
        return queue.targetMillis() + (long) (queue.stretch() * chain);
    }

    /**
     * How much longer than the rest of its steps the job may take from now on and still meet its
     * objective, in milliseconds; negative if it cannot. A step that is not done counts whole.
     */
    long spareMillis(long wallMillis)
    {
        return record.acceptedMillis() + objectiveMillis(chainMillis) - restMillis() - wallMillis;
    }

    /**
     * How much longer than its chain of steps the job may take from its acceptance, in milliseconds.
     */
    long wholeSpareMillis()
    {
        return objectiveMillis(chainMillis) - chainMillis;
    }

    /**
     * Whether the job can surely no longer meet its objective, also where its estimates are too low.
     * Jobs with due times and long-running ones always can.
     */
    boolean isOverdue(long wallMillis)
    {
        long latest = record.acceptedMillis() + latestObjectiveMillis();
        return !isOpen && wallMillis + restMillis() > latest;
    }

    /** The longest chain of the steps that are not done, by their estimates. */
    private long restMillis()
    {
        List<Step> steps = round(0);
        return chainMillis(record.job().steps(), step -> steps.get(step).isDone());
    }

    /** The longest chain of steps by their estimates, some of them left out. */
    private long chainMillis(List<StepSpec> steps, IntPredicate isLeftOut)
    {
        long[] ends = new long[steps.size()];
        long adviceMillis = (long) queue.adviceIfNeeded().map(advice -> advice.expectedMillis(USUAL_WORKERS))
                .orElse(0.0).doubleValue();
        long longest = 0;
        for (int i = 0; i < ends.length; i++)
        {
            long begin = 0;
            for (int earlier : steps.get(i).dependsOn())
            {
                begin = Math.max(begin, ends[earlier]);
            }
            ends[i] = begin + (isLeftOut.test(i) ? 0 : steps.get(i).estimateMillis() + adviceMillis);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** The steps with tasks that wait for a start and whose turn has come. */
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

    /** Whether all tasks of the steps that a step waits for have ended well. */
    private static boolean isReady(Step step, List<Step> round)
    {
        for (int earlier : step.spec().dependsOn())
        {
            if (!round.get(earlier).isDone())
            {
                return false;
            }
        }
        return true;
    }

    boolean allDone()
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
        List<RoundProgress> all = new ArrayList<>();
        rounds.values()
                .forEach(steps -> all.add(new RoundProgress(steps.stream().map(Step::progress).toList())));
        return new JobProgress(record.queue().name(), state, all, record.customer());
    }

    List<Step> steps()
    {
        return rounds.values().stream().flatMap(List::stream).toList();
    }

    /** Whether it is over and nothing of it may run any more. */
    boolean isFinished()
    {
        return state.isFinal() && occupying().isEmpty();
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

    /** Its progress has changed in a way that the store has to know. */
    void changed()
    {
        changes++;
    }

    /** Its progress as it stands is about to be written. */
    void beginWrite()
    {
        changesInWrite = changes;
    }

    /** The store has the progress whose write began last. */
    void endWrite()
    {
        changesWritten = changesInWrite;
    }

    /** Whether the store may lack a change of its progress. */
    boolean isUnwritten()
    {
        return changesWritten < changes;
    }

    /** Whether it has due times or runs until it is cancelled. */
    boolean isOpen()
    {
        return isOpen;
    }

    /** Whether its customer sent it beyond its weight. */
    boolean isBeyondWeight()
    {
        return beyondWeight;
    }

    void setBeyondWeight(boolean value)
    {
        beyondWeight = value;
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
