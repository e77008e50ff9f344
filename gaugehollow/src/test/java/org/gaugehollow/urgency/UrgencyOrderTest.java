/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.urgency;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against orders under which jobs that can be in time wait behind jobs that can't. */
class UrgencyOrderTest
{
    private static final double CORES = 1_600;
    private static final ReplayedLoad.Kind SHORT = new ReplayedLoad.Kind(0, 1, 10, 4.5, 800, 252, 1.5);
    private static final ReplayedLoad.Kind QUICK = new ReplayedLoad.Kind(0, 2, 10, 4.5, 800, 252, 1.5);
    private static final ReplayedLoad.Kind LARGE = new ReplayedLoad.Kind(2, 2, 21, 9, 3_800, 1_203, 2);
    /** The largest tenth of the large kind. */
    private static final ReplayedLoad.Kind LARGEST = new ReplayedLoad.Kind(2, 2, 40, 9, 3_800, 1_203, 2);

    /** Priority first, then jobs that miss even if their estimates are too low last, then age. */
    private static final Comparator<JobUrgency> BY_PRIORITY = Comparator
            .comparing((JobUrgency job) -> job.outlook() == Outlook.TOO_LATE)
            .thenComparing(JobUrgency::priority).thenComparing(job -> !job.outlook().mayBeInTime())
            .thenComparing(JobUrgency::sequence);
    /** The same benefit first, but the least slack before age. */
    private static final Comparator<JobUrgency> BY_SLACK = Comparator.comparing(JobUrgency::outlook)
            .thenComparing(JobUrgency::priority).thenComparing(JobUrgency::slackMillis);

    private static ReplayedLoad load(double quickFactor, double largeFactor)
    {
        ReplayedLoad load = new ReplayedLoad(1);
        load.add(SHORT, 2 * quickFactor, 0, 60_000);
        load.add(QUICK, 3 * quickFactor, 0, 60_000);
        load.add(LARGE, 0.7 * largeFactor, 0, 60_000);
        return load;
    }

    private static ReplayedLoad afterBurst(double largeFactor)
    {
        ReplayedLoad load = load(1, 1);
        load.add(LARGE, 0.7 * (largeFactor - 1), 15_000, 25_000);
        return load;
    }

    private static double benefit(List<ReplayedLoad.Job> jobs)
    {
        return jobs.stream().mapToDouble(ReplayedLoad.Job::benefit).sum();
    }

    private static long inTime(List<ReplayedLoad.Job> jobs, Predicate<ReplayedLoad.Kind> kind)
    {
        return jobs.stream().filter(job -> kind.test(job.kind) && job.benefit() == 1).count();
    }

    /** Guards against an order that costs jobs their objective although all of them fit. */
    @Test
    void allJobsAreInTimeWithoutOverload()
    {
        List<ReplayedLoad.Job> jobs = load(1, 1).run(CORES, UrgencyOrder.WITHIN_CUSTOMER);
        assertThat(inTime(jobs, kind -> true)).isEqualTo(jobs.size());
    }

    /**
     * Guards against a backlog after a burst of large jobs in which each job is served just too late.
     */
    @Test
    void moreJobsAreInTimeAfterABurstOfLargeJobs()
    {
        double before = benefit(afterBurst(2.5).run(CORES, BY_PRIORITY));
        double after = benefit(afterBurst(2.5).run(CORES, UrgencyOrder.WITHIN_CUSTOMER));
        assertThat(after).isGreaterThan(before);
    }

    /** Guards against a lasting overload under which old jobs that miss make all later ones miss. */
    @Test
    void moreLargeJobsAreInTimeUnderLastingOverload()
    {
        List<ReplayedLoad.Job> before = load(1.2, 1.4).run(CORES, BY_PRIORITY);
        List<ReplayedLoad.Job> after = load(1.2, 1.4).run(CORES, UrgencyOrder.WITHIN_CUSTOMER);
        assertThat(inTime(after, LARGE::equals)).isAtLeast(inTime(before, LARGE::equals) * 5 / 4);
        assertThat(benefit(after)).isGreaterThan(benefit(before));
    }

    /** Guards against spreading the capacity over many jobs that all miss, as the least slack does. */
    @Test
    void ageServesMoreJobsInTimeThanSlackUnderOverloadOfQuickJobs()
    {
        double bySlack = benefit(load(7, 0.4).run(CORES, BY_SLACK));
        double byPriority = benefit(load(7, 0.4).run(CORES, BY_PRIORITY));
        double after = benefit(load(7, 0.4).run(CORES, UrgencyOrder.WITHIN_CUSTOMER));
        assertThat(after).isGreaterThan(bySlack * 1.1);
        assertThat(after).isGreaterThan(byPriority * 1.1);
    }

    /** Guards against an order that serves the small jobs of a kind at the cost of the large ones. */
    @Test
    void largestTenthIsServedAtLeastHalfAsOftenAsItsKind()
    {
        List<ReplayedLoad.Job> jobs = new ArrayList<>();
        for (int seed = 1; seed <= 6; seed++)
        {
            ReplayedLoad load = new ReplayedLoad(seed);
            load.add(QUICK, 6, 0, 60_000);
            load.add(LARGE, 0.84, 0, 60_000);
            load.add(LARGEST, 0.09, 0, 60_000);
            jobs.addAll(load.run(CORES, UrgencyOrder.WITHIN_CUSTOMER));
        }
        assertThat(servedShare(jobs, LARGEST::equals))
                .isAtLeast(servedShare(jobs, kind -> kind.priority() == LARGE.priority()) / 2);
    }

    private static double servedShare(List<ReplayedLoad.Job> jobs, Predicate<ReplayedLoad.Kind> kind)
    {
        return jobs.stream().filter(job -> kind.test(job.kind)).mapToDouble(job -> job.benefit() > 0 ? 1 : 0)
                .average().orElseThrow();
    }

    @Provide
    Arbitrary<JobUrgency> urgencies()
    {
        return Combinators.combine(Arbitraries.of(Outlook.class), Arbitraries.integers().between(0, 2),
                Arbitraries.longs().between(-9_000, 9_000), Arbitraries.of(true, false),
                Arbitraries.longs().between(0, 9)).as(JobUrgency::new);
    }

    /** Guards against sorting that fails or depends on the order in which jobs were read. */
    @Property
    void orderIsTransitiveAndDecidesByBenefitWithinAPriority(@ForAll("urgencies") JobUrgency a,
            @ForAll("urgencies") JobUrgency b, @ForAll("urgencies") JobUrgency c)
    {
        Comparator<JobUrgency> order = UrgencyOrder.WITHIN_CUSTOMER;
        assertThat(Integer.signum(order.compare(a, b))).isEqualTo(-Integer.signum(order.compare(b, a)));
        if (order.compare(a, b) <= 0 && order.compare(b, c) <= 0)
        {
            assertThat(order.compare(a, c)).isAtMost(0);
        }
        boolean aHasBenefit = a.outlook() != Outlook.TOO_LATE;
        boolean bHasBenefit = b.outlook() != Outlook.TOO_LATE;
        boolean precedes = aHasBenefit && !bHasBenefit
                || aHasBenefit == bHasBenefit && a.priority() < b.priority()
                || a.priority() == b.priority() && a.outlook().mayBeInTime() && !b.outlook().mayBeInTime();
        if (precedes)
        {
            assertThat(order.compare(a, b)).isLessThan(0);
        }
    }

    /** Guards against an outlook that gets better by waiting. */
    @Property
    void outlookNeverImprovesByWaiting(@ForAll("objectives") Objective objective,
            @ForAll("delays") long elapsed, @ForAll("delays") long wait)
    {
        long remaining = objective.criticalPathMillis();
        Outlook before = objective.outlook(elapsed, remaining);
        assertThat(objective.outlook(elapsed + wait, remaining)).isAtLeast(before);
        assertThat(before == Outlook.IN_TIME).isEqualTo(objective.slackMillis(elapsed, remaining) >= 0);
    }

    @Provide
    Arbitrary<Objective> objectives()
    {
        return Combinators.combine(Arbitraries.longs().between(0, 5_000),
                Arbitraries.doubles().between(0.5, 10), Arbitraries.longs().between(1, 20_000))
                .as(Objective::new);
    }

    @Provide
    Arbitrary<Long> delays()
    {
        return Arbitraries.longs().between(0, 100_000);
    }
}
