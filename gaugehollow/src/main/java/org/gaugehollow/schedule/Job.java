/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.gaugehollow.admission.Work;
import org.gaugehollow.job.CriticalPath;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobProgress.RoundProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.urgency.JobUrgency;
import org.gaugehollow.urgency.Objective;
import org.gaugehollow.urgency.Outlook;

/** An accepted job in the cell state. Guarded by the lock of the cell state. */
final class Job
{
    private final JobRecord record;
    private final long criticalPathMillis;
    private final long coreMillis;
    private final long acceptedRevision;
    /** Whether the job has due times or runs until it is cancelled, and so has no objective. */
    private final boolean openEnded;
    private final TreeMap<Integer, List<Step>> rounds = new TreeMap<>();
    private boolean beyondWeight;
    /** Null until the job is planned for the first time. */
    private JobUrgency urgency;
    private JobState state = JobState.QUEUED;
    /** Whether a worker is known to have begun a run of the job. */
    private boolean started;
    /** Whether {@link #started} follows only from the state that an earlier owner recorded. */
    private boolean startAssumed;
    /** Whether all starts so far were taken back. */
    private boolean requeued;
    private QueueSpec queue;
    private long changeCount;
    private long changeCountInWrite;
    private long writtenChangeCount;

    Job(JobRecord record, long acceptedRevision)
    {
        this.record = record;
        this.acceptedRevision = acceptedRevision;
        this.queue = record.queue();
        this.criticalPathMillis = CriticalPath.millis(record.job().steps(), queue, step -> false);
        this.coreMillis = Work.coreMillis(record.job());
        this.openEnded = record.job().hasOpenEnd();
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
     * Returns whether the job can still meet its objective if its remaining steps begin at the given
     * time. Long-running jobs and jobs with due times have no objective and are never late.
     */
    Outlook outlook(long wallMillis)
    {
        return openEnded
                ? Outlook.IN_TIME
                : objective().outlook(wallMillis - record.acceptedMillis(), remainingMillis());
    }

    /** Determines what decides the place of the job among others at the given time. */
    JobUrgency updateUrgency(long wallMillis)
    {
        urgency = new JobUrgency(outlook(wallMillis), queue.priority(), slackMillis(wallMillis), hasBegun(),
                acceptedRevision);
        return urgency;
    }

    /** Returns the urgency as of the latest update, if there was one. */
    Optional<JobUrgency> urgency()
    {
        return Optional.ofNullable(urgency);
    }

    /** Returns the outlook as of the latest update; in time before the first one. */
    Outlook latestOutlook()
    {
        return urgency == null ? Outlook.IN_TIME : urgency.outlook();
    }

    private Objective objective()
    {
        return new Objective(queue.targetMillis(), queue.stretch(), criticalPathMillis);
    }

    /** Returns whether a task of the job is on a worker or done. */
    private boolean hasBegun()
    {
        return steps().stream().flatMap(step -> step.tasks().stream())
                .anyMatch(task -> task.phase() != Task.Phase.WAITING);
    }

    /**
     * Returns the delay that the job can take from now on and still meet its objective, in
     * milliseconds; negative if it cannot meet it. Steps that are not done count with their whole
     * estimate.
     */
    long slackMillis(long wallMillis)
    {
        return objective().slackMillis(wallMillis - record.acceptedMillis(), remainingMillis());
    }

    /** Returns the time from the acceptance of the job to its objective, in milliseconds. */
    long objectiveMillis()
    {
        return objective().millis();
    }

    /** Returns the estimated critical path of the steps that are not done, without the given one. */
    long remainingMillisWithout(Step excluded)
    {
        List<Step> steps = round(0);
        return CriticalPath.millis(record.job().steps(), queue,
                step -> step == excluded.number() || steps.get(step).isDone());
    }

    /** Returns the delay that the job could take at its acceptance, in milliseconds. */
    long initialSlackMillis()
    {
        return objective().slackMillis(0, criticalPathMillis);
    }

    /** Returns whether each repetition of the job has an objective for its end. */
    boolean hasObjective()
    {
        return objective().millis() > 0 && record.job().steps().stream().noneMatch(StepSpec::longRunning);
    }

    /**
     * Returns the time until the objective of a repetition, in milliseconds; negative if it has passed.
     */
    long millisToObjective(int round, long wallMillis)
    {
        long beginMillis = record.job().repeatCount() == 0 ? record.acceptedMillis() : dueMillis(round);
        return beginMillis + objective().millis() - wallMillis;
    }

    /** Returns the time until the end of a repetition no longer has a value, in milliseconds. */
    long millisToUseless(int round, long wallMillis)
    {
        return millisToObjective(round, wallMillis) + objective().usefulMillis() - objective().millis();
    }

    /** Returns the estimated critical path of the steps of a repetition that are not done. */
    long remainingMillis(int round)
    {
        List<Step> steps = round(round);
        return CriticalPath.millis(record.job().steps(), queue, step -> steps.get(step).isDone());
    }

    private long remainingMillis()
    {
        return remainingMillis(0);
    }

    /** Returns the estimated work of the job, in core-milliseconds. */
    long coreMillis()
    {
        return coreMillis;
    }

    /**
     * Returns the estimated work of the tasks that wait for a start or for other steps, in
     * core-milliseconds. Long-running tasks count as no work, since it never ends.
     */
    long waitingCoreMillis()
    {
        long sum = 0;
        for (List<Step> round : rounds.values())
        {
            for (Step step : round)
            {
                sum += step.waitingCoreMillis();
            }
        }
        return sum;
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

    /**
     * Returns the steps that begin once the tasks that are on workers have ended: their dependencies
     * have no waiting task, but aren't all done.
     */
    List<Step> nextSteps()
    {
        List<Step> next = new ArrayList<>();
        for (List<Step> round : rounds.values())
        {
            for (Step step : round)
            {
                boolean isNext = step.hasWaiting() && !isReady(step, round) && step.spec().dependsOn()
                        .stream().noneMatch(number -> round.get(number).hasWaiting());
                if (isNext)
                {
                    next.add(step);
                }
            }
        }
        return next;
    }

    /** Returns the estimated time until the dependencies of a step are done, in milliseconds. */
    long millisUntilReady(Step step, long nowNanos)
    {
        List<Step> round = rounds.get(step.round());
        return step.spec().dependsOn().stream().flatMap(number -> round.get(number).tasks().stream())
                .filter(Task::isOnWorker).mapToLong(task -> task.remainingMillis(nowNanos)).max().orElse(0);
    }

    /** Returns whether all dependencies of a step of this job are done. */
    boolean isReady(Step step)
    {
        return isReady(step, rounds.get(step.round()));
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

    /** Restores the state recorded by an earlier owner, which may not have sent the recorded starts. */
    void restoreState(JobState recorded)
    {
        state = recorded;
        started = recorded != JobState.QUEUED;
        startAssumed = started;
    }

    /**
     * Records that a start is to be sent. The job is shown as running, since most starts succeed,
     * unless others were taken back before.
     */
    void onStartPlanned()
    {
        if (state == JobState.QUEUED && !requeued)
        {
            state = JobState.RUNNING;
        }
    }

    /** Records that a worker has begun a run of the job, which is shown as running from now on. */
    void markStarted()
    {
        started = true;
        startAssumed = false;
        if (state == JobState.QUEUED)
        {
            state = JobState.RUNNING;
        }
    }

    /**
     * Records that a run which an earlier owner recorded was never begun. The job has not started if
     * nothing else shows that it has.
     */
    void onRecordedRunMissing()
    {
        boolean hasOtherSign = steps().stream().flatMap(step -> step.tasks().stream())
                .anyMatch(Task::showsEarlierRun);
        if (startAssumed && !hasOtherSign)
        {
            started = false;
        }
    }

    /** Returns whether a worker is known to have begun a run of the job. */
    boolean hasStarted()
    {
        return started;
    }

    /** Shows the job as queued once all its starts were taken back. */
    void requeueIfNotStarted()
    {
        if (state == JobState.RUNNING && !started && tasksOnWorkers().isEmpty())
        {
            state = JobState.QUEUED;
            requeued = true;
        }
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
