/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;

import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Guards against refusing a job that could be served, and against accepting one that can't. */
class AdmissionPolicyTest
{
    private static final QueueSpec QUEUE = new QueueSpec("check", "service", 1, 2, 250, 1.5, null);
    private static final long DRAIN = 1_000_000;
    /** Work whose drain takes ten times the useful time of {@link #job}. */
    private static final long HUGE = DRAIN * 100;
    private static final int TASK_CPU = 2_000;
    private static final ComputeResources NO_ROOM = new ComputeResources(0, TASK_CPU - 1, 1_000, 0);
    private static final ComputeResources ROOM = new ComputeResources(0, TASK_CPU, 1_000, 0);

    private final RecentAdmissions recent = new RecentAdmissions();

    private static StepSpec step(boolean longRunning)
    {
        return new StepSpec(10, TASK_CPU, 100, 0, 700, List.of(), false, false, false, null, null, 0, false,
                longRunning, null, 0, false, 0);
    }

    private static JobSpec job()
    {
        return new JobSpec("", List.of(step(false)), 0, 0, 0);
    }

    private static WaitingClass waiting(int priority, boolean beyondWeight, boolean late, long coreMillis)
    {
        return new WaitingClass("service", priority, beyondWeight, late, coreMillis, 1, 0);
    }

    private static BacklogAccount account(ComputeResources largestFree, long free, long claimed,
            WaitingClass... waiting)
    {
        return new BacklogAccount("owner", 1, List.of(waiting),
                List.of(new ServiceCapacity("service", largestFree, free, claimed, DRAIN)), Set.of("loud"));
    }

    private static BacklogAccount full(WaitingClass... waiting)
    {
        return account(NO_ROOM, 0, 0, waiting);
    }

    private boolean isRefused(JobSpec job, String customer, BacklogAccount account, long ageMillis)
    {
        return AdmissionPolicy.decide(JobDemand.of(QUEUE, job), customer, account, ageMillis, recent, false)
                .refused();
    }

    private boolean isRefused(BacklogAccount account)
    {
        return isRefused(job(), null, account, 100);
    }

    @Test
    void jobThatCannotBeServedInUsefulTimeIsRefused()
    {
        assertThat(isRefused(full(waiting(1, false, false, HUGE)))).isTrue();
    }

    @Test
    void oldAccountIsNotUsed()
    {
        BacklogAccount account = full(waiting(1, false, false, HUGE));
        assertThat(isRefused(job(), null, account, AdmissionPolicy.MAX_AGE_MILLIS)).isTrue();
        assertThat(isRefused(job(), null, account, AdmissionPolicy.MAX_AGE_MILLIS + 1)).isFalse();
    }

    @Test
    void jobsWithoutObjectiveAreNeverRefused()
    {
        BacklogAccount account = full(waiting(1, false, false, HUGE));
        JobSpec timed = new JobSpec("", List.of(step(false)), 3, 1_000, 1_000);
        JobSpec lasting = new JobSpec("", List.of(step(false), step(true)), 0, 0, 0);
        assertThat(isRefused(timed, null, account, 100)).isFalse();
        assertThat(isRefused(lasting, null, account, 100)).isFalse();
        JobDemand withoutObjective = JobDemand.of(QueueSpec.named("check"), job());
        assertThat(withoutObjective.hasObjective()).isFalse();
    }

    /** Guards against taking a wait for advice or for a plan for a lack of capacity. */
    @Test
    void nothingIsRefusedWhileUnclaimedCapacityIsFree()
    {
        WaitingClass waiting = waiting(1, false, false, HUGE);
        assertThat(isRefused(account(ROOM, 5_000, 3_000, waiting))).isFalse();
        assertThat(isRefused(account(ROOM, 5_000, 3_001, waiting))).isTrue();
    }

    @Test
    void lessUrgentWorkDoesNotCount()
    {
        assertThat(isRefused(full(waiting(2, false, false, HUGE)))).isFalse();
        assertThat(isRefused(full(waiting(0, false, false, HUGE)))).isTrue();
    }

    /** Jobs that miss their objective are planned behind newer ones. */
    @Test
    void jobsThatMissTheirObjectiveDoNotCountForOneThatMeetsIt()
    {
        assertThat(isRefused(full(waiting(1, false, true, HUGE)))).isFalse();
        assertThat(isRefused(full(waiting(0, false, true, HUGE)))).isTrue();
    }

    @Test
    void backlogBeyondWeightCountsOnlyForCustomersBeyondTheirs()
    {
        BacklogAccount account = full(waiting(0, true, false, HUGE));
        assertThat(isRefused(job(), "quiet", account, 100)).isFalse();
        assertThat(isRefused(job(), "loud", account, 100)).isTrue();
        assertThat(isRefused(job(), "loud", full(waiting(2, false, false, HUGE)), 100)).isTrue();
    }

    @Test
    void ownAcceptancesCountUntilTheAccountContainsThem()
    {
        BacklogAccount account = full(waiting(1, false, false, DRAIN));
        assertThat(isRefused(account)).isFalse();
        JobDemand demand = JobDemand.of(QUEUE, job());
        long jobs = HUGE / demand.coreMillis();
        for (int i = 0; i < jobs; i++)
        {
            recent.add(demand, false, 1_000);
        }
        assertThat(isRefused(account)).isTrue();
        recent.removeBefore(1_001);
        assertThat(isRefused(account)).isFalse();
    }

    /** Guards against flapping: a box that refuses goes on until the wait is clearly shorter. */
    @Test
    void refusingEndsAtAShorterWaitThanItBegins()
    {
        JobDemand demand = JobDemand.of(QUEUE, job());
        long limit = demand.usefulMillis() - demand.chainMillis();
        BacklogAccount account = full(waiting(1, false, false, DRAIN * limit * 9 / 10 / 1_000));
        assertThat(AdmissionPolicy.decide(demand, null, account, 0, recent, false).refused()).isFalse();
        assertThat(AdmissionPolicy.decide(demand, null, account, 0, recent, true).refused()).isTrue();
    }

    @Test
    void aWaitThatIsShortIsNoReasonWhateverTheObjective()
    {
        QueueSpec hopeless = new QueueSpec("check", "service", 1, 2, 1, 0.1, null);
        BacklogAccount account = full(waiting(1, false, false, DRAIN / 2));
        assertThat(AdmissionPolicy.decide(JobDemand.of(hopeless, job()), null, account, 0, recent, false)
                .refused()).isFalse();
    }

    @Property
    boolean moreWorkNeverTurnsARefusalIntoAnAcceptance(@ForAll @LongRange(min = 0, max = HUGE) long work,
            @ForAll @LongRange(min = 0, max = HUGE) long more, @ForAll boolean late)
    {
        boolean refused = isRefused(full(waiting(1, false, false, work), waiting(1, false, late, 0)));
        boolean refusedWithMore = isRefused(
                full(waiting(1, false, false, work), waiting(1, false, late, more)));
        return !refused || refusedWithMore;
    }
}
