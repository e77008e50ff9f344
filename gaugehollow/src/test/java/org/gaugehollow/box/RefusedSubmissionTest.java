/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.gaugehollow.admission.AdmissionPolicy;
import org.gaugehollow.admission.BacklogAccount;
import org.gaugehollow.admission.ServiceCapacity;
import org.gaugehollow.admission.WaitingClass;
import org.gaugehollow.event.EventLog;
import org.gaugehollow.event.HybridClock;
import org.gaugehollow.event.Metrics;
import org.gaugehollow.job.JobKeys;
import org.gaugehollow.job.JobScope;
import org.gaugehollow.job.JobSpec;
import org.gaugehollow.job.QueueSpec;
import org.gaugehollow.job.StepSpec;
import org.gaugehollow.model.ComputeResources;
import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Outcome;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.HttpReply;
import org.gaugehollow.platform.FakeStore;
import org.gaugehollow.platform.MonitoredStore;
import org.gaugehollow.schedule.TimedBacklog;
import org.gaugehollow.time.SteadyClock;
import org.junit.jupiter.api.Test;

import com.google.common.collect.Range;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against a refusal of a job that runs, and against refusals on an outdated account. */
class RefusedSubmissionTest
{
    private static final String ID = "00000000000000aa";
    private static final String OWNER = "owner~1";
    private static final QueueSpec QUEUE = new QueueSpec("check", "service", 1, 2, 250, 1.5, null);
    private static final JobSpec JOB = new JobSpec("text", List.of(new StepSpec(10, 2_000, 100, 0, 700,
            List.of(), false, false, false, null, null, 0, false, false, null, 0, false, 0)), 0, 0, 0);

    private final FakeStore store = new FakeStore();
    private final Metrics metrics = new Metrics();
    private final EventLog events = new EventLog("test", new HybridClock(System::currentTimeMillis));
    private final AtomicLong clock = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    private String owner = OWNER;
    private TimedBacklog ownBacklog = TimedBacklog.NONE;
    private final AdmissionControl admission = new AdmissionControl(() -> ownBacklog, () -> owner, () -> 1,
            clock::get, events);
    private final JobIntake box = new JobIntake(new MonitoredStore(store, events, SteadyClock::nanos),
            new NoOpJobListener(), admission, events, metrics);

    private static BacklogAccount account(long term, long coreMillis)
    {
        return new BacklogAccount(OWNER, term,
                List.of(new WaitingClass("service", 1, false, false, coreMillis, 1, 0)),
                List.of(new ServiceCapacity("service", ComputeResources.NONE, 0, 0, 1_000_000)), Set.of());
    }

    private static BacklogAccount overload(long term)
    {
        return account(term, 1_000_000_000);
    }

    private void receive(BacklogAccount account)
    {
        admission.onBacklog(new TimedBacklog(Optional.of(account), clock.get()));
    }

    private void submit(String id) throws InterruptedException
    {
        box.submit(JobScope.of(QUEUE), id, JOB, clock.get() + TimeUnit.SECONDS.toNanos(3));
    }

    /** Submits a job; returns the failure, or nothing if it was accepted. */
    private Optional<GaugehollowException> trySubmit(String id)
    {
        try
        {
            box.submit(JobScope.of(QUEUE), id, JOB, SteadyClock.nanos() + TimeUnit.MILLISECONDS.toNanos(250));
            return Optional.empty();
        }
        catch (GaugehollowException e)
        {
            return Optional.of(e);
        }
        catch (InterruptedException e)
        {
            throw new IllegalStateException(e);
        }
    }

    private boolean hasEvent(String text)
    {
        return events.since(0).stream().anyMatch(event -> event.toString().contains(text));
    }

    @Test
    void refusedJobIsNotWrittenAndItsCallerReturnsInTime()
    {
        receive(overload(1));
        GaugehollowException refusal = assertThrows(GaugehollowException.class, () -> submit(ID));
        assertThat(refusal.code()).isEqualTo(ResultCode.BACKLOG_TOO_LONG);
        assertThat(refusal.code().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(store.commits()).isEqualTo(0);
        HttpReply reply = HttpReply.error(refusal);
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.headers().get("Retry-After")).isEqualTo("3");
    }

    /** A caller whose accepted job is refused would believe that it never runs. */
    @Test
    void acceptedJobIsAcceptedAgainWhileOthersAreRefused() throws InterruptedException
    {
        submit(ID);
        receive(overload(1));
        submit(ID);
        assertThat(store.commits()).isEqualTo(1);
    }

    /** An answer that the job does not run needs the store's word that it is not there. */
    @Test
    void nothingIsPromisedWhileTheStoreDoesNotAnswerReads() throws InterruptedException
    {
        submit(ID);
        receive(overload(1));
        store.failReads(true);
        submit(ID);
        assertThat(store.commits()).isEqualTo(1);
    }

    @Test
    void nothingIsRefusedWithoutAFreshAccountOfTheCurrentOwner() throws InterruptedException
    {
        submit("0000000000000001");
        receive(overload(2));
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(AdmissionPolicy.MAX_AGE_MILLIS + 1));
        submit("0000000000000002");
        receive(overload(2));
        assertThrows(GaugehollowException.class, () -> submit("0000000000000003"));
        owner = "other~2";
        submit("0000000000000003");
    }

    @Test
    void accountOfAnEarlierTermDoesNotReplaceANewerOne() throws InterruptedException
    {
        receive(account(5, 1));
        receive(overload(4));
        submit(ID);
        assertThat(store.commits()).isEqualTo(1);
    }

    @Test
    void ownerWithoutWaitingWorkEndsTheRefusals() throws InterruptedException
    {
        receive(overload(1));
        assertThrows(GaugehollowException.class, () -> submit(ID));
        admission.onBacklog(new TimedBacklog(Optional.empty(), clock.get()));
        submit(ID);
    }

    @Test
    void ownerUsesItsOwnAccount()
    {
        owner = "self~1";
        ownBacklog = new TimedBacklog(Optional.of(overload(1)), clock.get());
        assertThrows(GaugehollowException.class, () -> submit(ID));
        assertThat(admission.accountAgeSeconds()).isEqualTo(0);
        assertThat(admission.expectedWaitSeconds().get("check")).isGreaterThan(100.0);
    }

    /** Guards against a box that accepts without limit between two accounts. */
    @Test
    void acceptancesSinceTheAccountCount() throws InterruptedException
    {
        BacklogAccount small = new BacklogAccount(OWNER, 1,
                List.of(new WaitingClass("service", 1, false, false, 1, 1, 0)),
                List.of(new ServiceCapacity("service", ComputeResources.NONE, 0, 0, 14_000)), Set.of());
        receive(small);
        int accepted = 0;
        while (accepted < 100 && trySubmit(String.format("%016x", accepted)).isEmpty())
        {
            accepted++;
        }
        assertThat(accepted).isIn(Range.closed(5, 20));
    }

    @Test
    void operatorSeesWhenRefusingBeginsAndEnds()
    {
        receive(overload(1));
        for (int i = 0; i < 3; i++)
        {
            assertThrows(GaugehollowException.class, () -> submit(ID));
        }
        assertThat(hasEvent("REFUSING_BEGAN")).isTrue();
        assertThat(hasEvent("REFUSING_ENDED")).isFalse();
        clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_100));
        receive(account(1, 1));
        assertThat(hasEvent("REFUSING_ENDED")).isTrue();
        assertThat(hasEvent("refused: 3")).isTrue();
        String scraped = new String(metrics.scrape(), StandardCharsets.UTF_8);
        assertThat(scraped).contains("gaugehollow_jobs_refused_total{queue=\"check\"} 3.0");
    }

    /** Whatever answers are lost: a job that was told "not run" has no record. */
    @Property(tries = 30)
    void refusedJobHasNoRecord(@ForAll @Size(max = 6) List<@IntRange(min = 0, max = 3) Integer> faults)
    {
        for (int i = 0; i < faults.size(); i++)
        {
            store.loseAnswers(faults.get(i) == 1 ? 2 : 0);
            store.loseWrites(faults.get(i) == 2 ? 2 : 0);
            store.failReads(faults.get(i) == 3);
            receive(i % 2 == 0 ? account(1, 1) : overload(1));
            String id = String.format("%016x", i / 2);
            Optional<GaugehollowException> failure = trySubmit(id);
            store.failReads(false);
            if (failure.isPresent() && failure.get().code() == ResultCode.BACKLOG_TOO_LONG)
            {
                assertThat(store.get(JobKeys.job(id))).isEmpty();
            }
            else if (failure.isEmpty())
            {
                assertThat(store.get(JobKeys.job(id))).isPresent();
            }
        }
    }
}
