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
 * All that the cell's owner knows of jobs and workers. It sends and writes nothing: each change
 * returns what has to be sent and written. Every method must be called by a thread that holds the
 * ledger's monitor.
 */
final class CellState
{
    /** A worker lists at most this many ends at once; a full list may hide others. */
    private static final int MOST_ENDS = 500;

    private final LongSupplier nanoTime;
    private final Map<String, Job> jobs = new HashMap<>();
    private final RetiredJobs retired;
    private final TrackedWorkers workers;
    private final CrashGuard crashGuard;
    private final RunEndHandler runEnds;
    private final JobRestoration restoration;
    private final WeightRates rates = new WeightRates();
    /** Accepted since jobs had their turns last, not rated yet. */
    private final List<Job> fresh = new ArrayList<>();
    private CellConfig config = CellConfig.NONE;

    /**
     * @param nanoTime a monotonic clock
     * @param unknownLeaseNanos how long after now a worker that cannot be reached may still run what an
     *            earlier owner started
     */
    CellState(LongSupplier nanoTime, long unknownLeaseNanos)
    {
        this.nanoTime = nanoTime;
        this.retired = new RetiredJobs(nanoTime);
        this.workers = new TrackedWorkers(nanoTime, unknownLeaseNanos);
        this.crashGuard = new CrashGuard(workers);
        this.runEnds = new RunEndHandler(this, nanoTime);
        this.restoration = new JobRestoration(workers, crashGuard, nanoTime);
    }

    /** Whether a job was read, be it over or not. */
    boolean knows(String job)
    {
        return jobs.containsKey(job) || retired.isFinished(job);
    }

    /** Adds an accepted job; one that is known already is left as it is. */
    Effects accept(JobRecord record, long revision, JobProgress progress, long wallMillis)
    {
        Effects effects = new Effects();
        if (knows(record.id()))
        {
            return effects;
        }
        boolean isOver = record.hasEnded() || progress != null && progress.state().isFinal();
        if (isOver)
        {
            acceptOver(record, revision, progress, effects);
            return effects;
        }
        Job job = newJob(record, revision);
        job.beginDueRounds(wallMillis);
        if (progress != null)
        {
            restoration.restore(job, progress);
        }
        jobs.put(job.id(), job);
        fresh.add(job);
        if (retired.takeCancellation(job.id()).filter(c -> c.appliesTo(record)).isPresent())
        {
            finish(job, JobState.CANCELLED, effects);
        }
        return effects;
    }

    private Job newJob(JobRecord record, long revision)
    {
        Job job = new Job(record, revision);
        config.queue(record.queue().name()).ifPresent(job::setQueue);
        return job;
    }

    /**
     * Runs of a job that is over may go on until their stops are known to be done; they take room and
     * count against the customer's quota, whoever owns the cell.
     */
    private void acceptOver(JobRecord record, long revision, JobProgress progress, Effects effects)
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
        effects.changed(job);
    }

    /** Cancels a job; the cancellation may be known before the job is. */
    Effects cancel(String id, Cancellation cancellation)
    {
        Effects effects = new Effects();
        Job job = jobs.get(id);
        if (!knows(id))
        {
            retired.cancelEarly(id, cancellation);
        }
        else if (job != null && cancellation.appliesTo(job.record()))
        {
            finish(job, JobState.CANCELLED, effects);
        }
        return effects;
    }

    /** Whether nothing of a job is to be started any more, or its cancellation is known before it. */
    boolean knowsCancelled(String id)
    {
        Job job = jobs.get(id);
        boolean isLive = job != null && !job.state().isFinal();
        return !isLive && (knows(id) || retired.isCancelledEarly(id));
    }

    /** Brings a job to its end; what runs of it is stopped. */
    static void finish(Job job, JobState state, Effects effects)
    {
        if (job.state().isFinal())
        {
            return;
        }
        job.setState(state);
        effects.changed(job);
        stopAll(job, effects);
    }

    private static void stopAll(Job job, Effects effects)
    {
        for (Task task : job.occupying())
        {
            if (task.phase() != Task.Phase.STOPPING)
            {
                effects.stop(task);
            }
        }
    }

    /** Forgets a job whose record is gone from the store. */
    void forget(String id)
    {
        retired.forget(id);
    }

    /** Drops a job of which nothing is left to do or to write: ends of its runs are then ignored. */
    void dropIfFinished(Job job)
    {
        if (job.isFinished() && !job.isUnwritten())
        {
            jobs.remove(job.id());
            retired.add(job.id());
        }
    }

    /** The jobs of which nothing is left to do. */
    RetiredJobs retired()
    {
        return retired;
    }

    /** Takes a newer configuration. */
    void configure(CellConfig newest)
    {
        config = newest;
        jobs.values().forEach(job -> newest.queue(job.queue().name()).ifPresent(job::setQueue));
    }

    /** A worker's life is over or its lease has surely lapsed: nothing runs there any more. */
    Effects onWorkerLost(TrackedWorker slot, WorkerLossCause end)
    {
        Effects effects = new Effects();
        slot.setLeaseHeld(false);
        slot.clearOrphanRuns();
        List<Task> guilty = crashGuard.onWorkerLost(slot, end, effects);
        for (Task task : slot.tasks())
        {
            effects.addLostRun(task, slot, end);
            releaseLost(task, effects);
        }
        guilty.forEach(task -> giveUp(task, effects));
        failPoisonTasks(effects);
        return effects;
    }

    /** Gives up the tasks that turn out to crash their workers. */
    Effects failPoisonTasks()
    {
        Effects effects = new Effects();
        failPoisonTasks(effects);
        return effects;
    }

    /** One task that is given up explains crashes of others, which may clear them. */
    private void failPoisonTasks(Effects effects)
    {
        for (Task task : crashGuard.check())
        {
            if (crashGuard.isPoison(task))
            {
                giveUp(task, effects);
            }
        }
    }

    private void giveUp(Task task, Effects effects)
    {
        if (!task.step().job().state().isFinal())
        {
            effects.givenUp(task);
            crashGuard.confirmPoison(task);
            finish(task.step().job(), JobState.FAILED, effects);
        }
    }

    private static void releaseLost(Task task, Effects effects)
    {
        effects.changed(task.step().job());
        release(task, effects);
    }

    /**
     * Nothing of a task runs any more where it was; a job that is over is written, and then dropped.
     */
    static void release(Task task, Effects effects)
    {
        task.release();
        Job job = task.step().job();
        finishIfAllDone(job, effects);
        if (job.state().isFinal())
        {
            effects.changed(job);
        }
    }

    static void finishIfAllDone(Job job, Effects effects)
    {
        if (job.allDone())
        {
            finish(job, JobState.COMPLETED, effects);
        }
    }

    /**
     * Takes note of what a worker answered to a look.
     *
     * @param slot the worker
     * @param answer its answer
     * @param lastSeen the number of the last end that was read before
     * @param sentNanos when the look was sent
     * @return what changed
     */
    Effects applyHeartbeat(TrackedWorker slot, HeartbeatReply answer, long lastSeen, long sentNanos)
    {
        Effects effects = new Effects();
        long now = nanoTime.getAsLong();
        slot.readClock(answer.clockMillis(), now);
        slot.recordHeartbeat(now);
        crashGuard.onWorkerResponded(slot);
        for (EndedRun end : answer.ended())
        {
            if (end.number() > lastSeen)
            {
                runEnds.handle(slot, end, effects);
            }
        }
        Set<Task> present = new HashSet<>();
        slot.clearOrphanRuns();
        for (RunningRun run : answer.running())
        {
            running(slot, run, present, effects);
        }
        if (answer.ended().size() < MOST_ENDS)
        {
            releaseMissing(slot, present, sentNanos, effects);
        }
        return effects;
    }

    private void running(TrackedWorker slot, RunningRun run, Set<Task> present, Effects effects)
    {
        Task task = find(run.task());
        if (task == null || !task.isAt(slot, run.run()))
        {
            slot.addOrphanRun(task == null ? null : task.step());
            effects.stopUnknown(slot, run.task(), run.run());
            return;
        }
        long now = nanoTime.getAsLong();
        present.add(task);
        task.begun(now);
        task.observe(run.percent(), run.gauge(), now);
        saveCheckpoint(task, run.checkpoint());
    }

    /** Keeps the state that a run has saved, for its whole gang if it has one. */
    static void saveCheckpoint(Task task, String state)
    {
        if (task.step().spec().gang())
        {
            task.step().savedByGang(state);
        }
        else
        {
            task.saved(state);
        }
    }

    private void releaseMissing(TrackedWorker slot, Set<Task> present, long sentNanos, Effects effects)
    {
        for (Task task : slot.tasks())
        {
            boolean settledBefore = task.settledNanos() != Task.UNSETTLED && task.settledNanos() < sentNanos;
            if (!present.contains(task) && settledBefore)
            {
                releaseLost(task, effects);
            }
        }
    }

    /** The task of a full name, if its job is known and not over. */
    Task find(String fullName)
    {
        TaskName name = TaskName.parse(fullName);
        Job job = name == null ? null : jobs.get(name.job());
        return job == null ? null : job.find(name);
    }

    /** The jobs that have a task whose turn has come, in the order of their turns. */
    List<Job> waitingByUrgency(long wallMillis)
    {
        rates.rate(fresh, config.customers());
        fresh.clear();
        return JobOrder.waiting(jobs.values(), wallMillis);
    }

    /** The priority of the least urgent queue that has tasks on workers; 0 goes first. */
    int leastUrgentRunning()
    {
        int least = 0;
        for (TrackedWorker slot : workers.all())
        {
            for (Task task : slot.tasks())
            {
                least = Math.max(least, task.step().job().queue().priority());
            }
        }
        return least;
    }

    /** How many jobs of each queue have not begun; those with due times are left out. */
    Map<String, Integer> pending()
    {
        Map<String, Integer> counts = new TreeMap<>();
        for (Job job : jobs.values())
        {
            if (job.state() == JobState.QUEUED && job.record().job().repeatCount() == 0)
            {
                counts.merge(job.queue().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** What is known of tasks that crash their workers. */
    CrashGuard crashGuard()
    {
        return crashGuard;
    }

    /** The workers, listed or not. */
    TrackedWorkers slots()
    {
        return workers;
    }

    Collection<TrackedWorker> workers()
    {
        return workers.all();
    }

    /** Takes a worker's newest entry; returns its slot. */
    TrackedWorker list(WorkerEntry entry)
    {
        return workers.list(entry);
    }

    Optional<TrackedWorker> worker(String id)
    {
        return workers.find(id);
    }

    CellConfig config()
    {
        return config;
    }
}
