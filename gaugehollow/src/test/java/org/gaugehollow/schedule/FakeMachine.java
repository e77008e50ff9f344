/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A machine with successive worker incarnations. Poison tasks crash the worker, which restarts
 * after a delay under another id. The entry of the previous worker remains listed for a while.
 */
final class FakeMachine
{
    /** Time from a crash to the restart. */
    private static final long DOWN_MILLIS = 150;
    /** Time from a restart until the entry of the previous worker is removed. */
    private static final long STALE_ENTRY_MILLIS = 1_000;

    private final FakePlatform platform;
    private final String name;
    private final Predicate<String> poisonTasks;
    private final List<FakeWorker> incarnations = new ArrayList<>();

    /**
     * Creates a machine and lists its first worker.
     *
     * @param platform lists the workers
     * @param name prefix of the worker ids, which are NAME-1, NAME-2 and so on
     * @param poisonTasks accepts the full names of the tasks that crash the worker
     */
    FakeMachine(FakePlatform platform, String name, Predicate<String> poisonTasks) throws InterruptedException
    {
        this.platform = platform;
        this.name = name;
        this.poisonTasks = poisonTasks;
        startIncarnation();
    }

    private synchronized void startIncarnation() throws InterruptedException
    {
        String id = name + '-' + (incarnations.size() + 1);
        FakeWorker worker = new FakeWorker();
        worker.crashOn(poisonTasks, () -> OwnerTerm.inBackground(id, () -> restart(id, worker)));
        incarnations.add(worker);
        platform.add(id, worker);
    }

    private void restart(String id, FakeWorker previous) throws InterruptedException
    {
        Thread.sleep(DOWN_MILLIS);
        previous.endIncarnation();
        startIncarnation();
        Thread.sleep(STALE_ENTRY_MILLIS);
        platform.unlist(id);
    }

    /** Returns the number of runs of a task that were started on all workers of this machine. */
    synchronized int startCount(String task)
    {
        return (int) incarnations.stream().flatMap(incarnation -> incarnation.startedRuns().stream())
                .filter(run -> run.startsWith(task + '/')).count();
    }
}
