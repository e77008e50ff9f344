/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import org.gaugehollow.admission.CompletionRate;
import org.gaugehollow.job.Cancellation;
import org.gaugehollow.job.CellConfig;
import org.gaugehollow.job.JobProgress;
import org.gaugehollow.job.JobRecord;
import org.gaugehollow.job.JobState;
import org.gaugehollow.worker.HeartbeatReply;
import org.gaugehollow.worker.HeartbeatReply.EndedRun;
import org.gaugehollow.worker.HeartbeatReply.RunningRun;
import org.gaugehollow.worker.WorkerEntry;

/**
 * In-memory state of the cell's jobs and workers, kept by the cell's owner. It performs no I/O:
 * each change returns the {@link Effects} to send and store.
 * <p>
 * Not thread-safe. Callers must hold the monitor of this object, which is the lock of the cell
 * state.
 */
final class CellState
{
    /** Maximum number of run ends in a heartbeat reply; a full list may omit others. */
    private static final int MAX_REPORTED_ENDS = 500;

    private final LongSupplier nanoTime;
    private final Map<String, Job> jobs = new HashMap<>();
    private final RetiredJobs retired;
    private final TrackedWorkers workers;
    private final CrashGuard crashGuard;
    private final RunEndHandler runEnds;
    private final JobRestoration restoration;
    private final SpeedMonitor speeds;
    private final WeightLimiter weightLimiter = new WeightLimiter();
    private final CompletionRate completions = new CompletionRate();
    /** Jobs accepted since the last planning round, which are not yet classified by weight. */
    private final List<Job> unclassifiedJobs = new ArrayList<>();
    private CellConfig config = CellConfig.NONE;

    /**
     * @param nanoTime monotonic clock, in nanoseconds
     * @param unknownLeaseNanos time for which an unreachable worker may still run tasks of an earlier
     *            owner, in nanoseconds
     */
    CellState(LongSupplier nanoTime, long unknownLeaseNanos)
    {
        this.nanoTime = nanoTime;
        this.retired = new RetiredJobs(nanoTime);
        this.workers = new TrackedWorkers(nanoTime, unknownLeaseNanos);
        this.crashGuard = new CrashGuard(workers);
        this.speeds = new SpeedMonitor(workers);
        this.runEnds = new RunEndHandler(this, nanoTime);
        this.restoration = new JobRestoration(workers, crashGuard, nanoTime);
    }

    /** Returns whether a job's record was read, including jobs that have ended. */
    boolean isKnown(String job)
    {
        return jobs.containsKey(job) || retired.isFinished(job);
    }

    /** Adds an accepted job. Has no effect if the job is already known. */
    Effects accept(JobRecord record, long revision, JobProgress progress, long wallMillis)
    {
        Effects effects = new Effects();
        if (isKnown(record.id()))
        {
            return effects;
        }
        boolean hasEnded = record.hasEnded() || progress != null && progress.state().isFinal();
        if (hasEnded)
        {
            acceptEnded(record, revision, progress, effects);
            return effects;
        }
        Job job = newJob(record, revision);
        job.beginDueRounds(wallMillis);
        if (progress != null)
        {
            restoration.restore(job, progress);
        }
        jobs.put(job.id(), job);
        unclassifiedJobs.add(job);
        if (retired.takeCancellation(job.id()).filter(c -> c.appliesTo(record)).isPresent())
        {
            finish(job, JobState.CANCELLED, effects);
        }
        // the last owner may have ended while the other run of a task that was done was being stopped
        completeIfAllDone(job, effects);
        return effects;
    }

    private Job newJob(JobRecord record, long revision)
    {
        Job job = new Job(record, revision);
        config.queue(record.queue().name()).ifPresent(job::setQueue);
        return job;
    }

    /**
     * Adds a job that has already ended. Its runs may continue until their stops are confirmed; until
     * then they use capacity and count against the customer's quota.
     */
    private void acceptEnded(JobRecord record, long revision, JobProgress progress, Effects effects)
    {
        if (record.hasEnded() || progress.rounds() == null)
        {
            retired.add(record.id());
            return;
        }
        Job job = newJob(record, revision);
        restoration.restore(job, progress);
        jobs.put(job.id(), job);
        stopAll(job, effects);
        effects.markChanged(job);
    }

    /** Cancels a job. The cancellation may arrive before the job itself. */
    Effects cancel(String id, Cancellation cancellation)
    {
        Effects effects = new Effects();
        Job job = jobs.get(id);
        if (!isKnown(id))
        {
            retired.cancelEarly(id, cancellation);
        }
        else if (job != null && cancellation.appliesTo(job.record()))
        {
            finish(job, JobState.CANCELLED, effects);
        }
        return effects;
    }

    /** Returns whether a job has ended, or its cancellation arrived before its record. */
    boolean isKnownCancelled(String id)
    {
        Job job = jobs.get(id);
        boolean isLive = job != null && !job.state().isFinal();
        return !isLive && (isKnown(id) || retired.isCancelledEarly(id));
    }

    /** Ends a job and stops its runs. */
    static void finish(Job job, JobState state, Effects effects)
    {
        if (job.state().isFinal())
        {
            return;
        }
        job.setState(state);
        effects.markChanged(job);
        stopAll(job, effects);
    }

    private static void stopAll(Job job, Effects effects)
    {
        for (Task task : job.tasksOnWorkers())
        {
            if (task.phase() != Task.Phase.STOPPING)
            {
                effects.stop(task);
            }
        }
    }

    /** Removes a job whose record was deleted from the store. */
    void onRecordRemoved(String id)
    {
        retired.remove(id);
    }

    /**
     * Removes a job that has finished and is completely written; later reports of its runs are ignored.
     */
    void dropIfFinished(Job job)
    {
        if (job.isFinished() && !job.isUnwritten())
        {
            jobs.remove(job.id());
            retired.add(job.id());
        }
    }

    /** Returns the jobs that need no further work. */
    RetiredJobs retired()
    {
        return retired;
    }

    /** Applies a newer configuration. */
    void configure(CellConfig newest)
    {
        config = newest;
        jobs.values().forEach(job -> newest.queue(job.queue().name()).ifPresent(job::setQueue));
    }

    /**
     * Handles the end of a worker's incarnation or the certain expiry of its lease: none of its runs
     * remains.
     */
    Effects onWorkerLost(TrackedWorker worker, WorkerLossCause cause)
    {
        Effects effects = new Effects();
        worker.setLeaseHeld(false);
        worker.clearOrphanRuns();
        worker.abandonedRuns().forEach(run -> run.task().endAbandonedRun(run.run()));
        List<Task> poisonTasks = crashGuard.onWorkerLost(worker, cause, effects);
        for (Task task : worker.tasks())
        {
            effects.addLostRun(task, worker, cause);
            releaseLost(task, effects);
        }
        poisonTasks.forEach(task -> failPoisonTask(task, effects));
        failPoisonTasks(effects);
        return effects;
    }

    /** Fails the jobs of tasks that are found to crash their workers. */
    Effects failPoisonTasks()
    {
        Effects effects = new Effects();
        failPoisonTasks(effects);
        return effects;
    }

    /** Fails poison tasks. Confirming one task may explain crashes of others and clear them. */
    private void failPoisonTasks(Effects effects)
    {
        for (Task task : crashGuard.check(effects))
        {
            if (crashGuard.isPoison(task))
            {
                failPoisonTask(task, effects);
            }
        }
    }

    private void failPoisonTask(Task task, Effects effects)
    {
        if (!task.step().job().state().isFinal())
        {
            effects.addPoisonTask(task);
            crashGuard.confirmPoison(task, effects);
            finish(task.step().job(), JobState.FAILED, effects);
        }
    }

    private static void releaseLost(Task task, Effects effects)
    {
        effects.markChanged(task.step().job());
        release(task, effects);
    }

    /**
     * Releases a task from its worker. If its job has ended, the job is written and can then be
     * removed.
     */
    static void release(Task task, Effects effects)
    {
        releaseRun(task, effects);
        Job job = task.step().job();
        completeIfAllDone(job, effects);
        if (job.state().isFinal())
        {
            effects.markChanged(job);
        }
    }

    /** Releases a task, or a copy that ends without completing its task, from its worker. */
    static void releaseRun(Task run, Effects effects)
    {
        if (run.isCopy() && !run.task().hasSucceeded())
        {
            effects.addSettledCopy(run, false);
        }
        run.release();
    }

    /** Completes a job all of whose steps are done. */
    static void completeIfAllDone(Job job, Effects effects)
    {
        if (job.areAllStepsDone())
        {
            finish(job, JobState.COMPLETED, effects);
        }
    }

    /**
     * Applies a worker's reply to a heartbeat.
     *
     * @param worker the worker
     * @param reply the worker's reply
     * @param lastEndNumber number of the last run end that was read before
     * @param sentNanos time at which the heartbeat was sent
     * @return the changes to send and store
     */
    Effects applyHeartbeat(TrackedWorker worker, HeartbeatReply reply, long lastEndNumber, long sentNanos)
    {
        Effects effects = new Effects();
        long now = nanoTime.getAsLong();
        worker.updateClock(reply.clockMillis(), now);
        worker.recordHeartbeat(now);
        crashGuard.onWorkerResponded(worker, effects);
        for (EndedRun end : reply.ended())
        {
            if (end.number() > lastEndNumber)
            {
                runEnds.handle(worker, end, effects);
            }
        }
        Set<Task> reportedTasks = new HashSet<>();
        worker.clearOrphanRuns();
        for (RunningRun run : reply.running())
        {
            handleReportedRun(worker, run, sentNanos, reportedTasks, effects);
        }
        if (reply.ended().size() < MAX_REPORTED_ENDS)
        {
            releaseMissingRuns(worker, reportedTasks, sentNanos, effects);
        }
        return effects;
    }

    private void handleReportedRun(TrackedWorker worker, RunningRun run, long sentNanos,
            Set<Task> reportedTasks, Effects effects)
    {
        Task task = findTask(run.task());
        Task known = task == null ? null : task.findRun(worker, run.run());
        if (known == null)
        {
            worker.addOrphanRun(task == null ? null : task.step());
            effects.stopOrphanRun(worker, run.task(), run.run());
            return;
        }
        long now = nanoTime.getAsLong();
        reportedTasks.add(known);
        effects.applyToState(known.step().job(), () -> known.markRunning(now));
        known.onListed(sentNanos);
        known.observe(run.percent(), run.gauge(), now);
        saveCheckpoint(known, run.checkpoint());
    }

    /** Stores a run's checkpoint, for the whole gang if the task belongs to one. */
    static void saveCheckpoint(Task task, String checkpoint)
    {
        if (task.step().spec().gang())
        {
            task.step().saveGangCheckpoint(checkpoint);
        }
        else
        {
            task.saveCheckpoint(checkpoint);
        }
    }

    private void releaseMissingRuns(TrackedWorker worker, Set<Task> reportedTasks, long sentNanos,
            Effects effects)
    {
        for (Task task : worker.tasks())
        {
            boolean wasSettledBefore = task.settledNanos() != Task.UNSETTLED
                    && task.settledNanos() < sentNanos;
            if (!reportedTasks.contains(task) && wasSettledBefore)
            {
                task.onRunMissing();
                releaseLost(task, effects);
                task.step().job().requeueIfNotStarted();
            }
        }
    }

    /** Returns the task with the given full name, or null if its job is unknown or was removed. */
    Task findTask(String fullName)
    {
        TaskName name = TaskName.parse(fullName);
        Job job = name == null ? null : jobs.get(name.job());
        return job == null ? null : job.findTask(name);
    }

    /** Returns the jobs with a task that is ready to start, in scheduling order. */
    List<Job> waitingByUrgency(long wallMillis)
    {
        weightLimiter.classify(unclassifiedJobs, config.customers());
        unclassifiedJobs.clear();
        return JobOrder.waitingByUrgency(jobs.values(), wallMillis);
    }

    /** Returns the jobs that have not ended. */
    List<Job> activeJobs()
    {
        return jobs.values().stream().filter(job -> !job.state().isFinal()).toList();
    }

    /** Returns the steps of jobs that have not ended with tasks that are ready to start. */
    List<Step> waitingSteps()
    {
        return activeJobs().stream().flatMap(job -> job.waitingSteps().stream()).toList();
    }

    /** Returns all jobs that are not yet removed, ended or not. */
    Collection<Job> jobs()
    {
        return jobs.values();
    }

    /** Returns the customers whose next job exceeds their weight. */
    Set<String> customersAtWeight(long wallMillis)
    {
        return weightLimiter.customersAtWeight(config.customers(), wallMillis);
    }

    /** Returns the measured rate of completed work. */
    CompletionRate completions()
    {
        return completions;
    }

    /**
     * Returns the number of jobs per queue that no worker is known to have started, without repeated
     * jobs.
     */
    Map<String, Integer> countQueuedJobs()
    {
        Map<String, Integer> counts = new TreeMap<>();
        for (Job job : jobs.values())
        {
            boolean isWaiting = !job.state().isFinal() && !job.hasStarted();
            if (isWaiting && job.record().job().repeatCount() == 0)
            {
                counts.merge(job.queue().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns the guard that detects tasks that crash their workers. */
    CrashGuard crashGuard()
    {
        return crashGuard;
    }

    /** Returns all tracked workers, whether or not they are listed. */
    TrackedWorkers trackedWorkers()
    {
        return workers;
    }

    /** Returns the monitor of the workers' speeds. */
    SpeedMonitor speeds()
    {
        return speeds;
    }

    /**
     * Returns how long runs take on a worker relative to the typical worker; 1 if unknown or about
     * typical.
     */
    double slowness(TrackedWorker worker)
    {
        return worker.speed().slowness();
    }

    Collection<TrackedWorker> workers()
    {
        return workers.all();
    }

    /** Applies a worker's newest entry and returns the tracked worker. */
    TrackedWorker updateWorker(WorkerEntry entry)
    {
        return workers.update(entry);
    }

    Optional<TrackedWorker> findWorker(String id)
    {
        return workers.find(id);
    }

    CellConfig config()
    {
        return config;
    }
}
