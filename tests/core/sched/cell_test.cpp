/**
 * @file cell_test.cpp Jobs and tasks in a cell, with lost answers, takeovers
 * and lost runners.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

BOOST_FIXTURE_TEST_SUITE(CellSuite, CellFixture)

/** Guards against a start before the chosen runner is durable: a new owner
 *  would not know where the task may run. */
BOOST_AUTO_TEST_CASE(StartWaitsForTheCommit) {
  AddRunner("a");
  Submit(Spec(1));
  PlaceTasks(m_cell, m_now);
  BOOST_TEST(Take<StartOrder>().empty());
  CommitAll();
  const auto starts = Take<StartOrder>();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_run.Value() == 1U);
}

/** Guards against reporting an end that a later owner may not know. */
BOOST_AUTO_TEST_CASE(CompletionIsShownOnlyWhenDurable) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  Report(
      runner, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Running));
  CommitAll();
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Completed));
}

/** Guards against acknowledging an end, which makes the runner drop it, before
 *  it is durable. */
BOOST_AUTO_TEST_CASE(EndIsAcknowledgedOnlyWhenDurable) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1, 2));
  StartAll();
  Report(
      runner, {{{JobId(1), 0, 0, 1}, RunNumber(1), "", 10, 0}},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  BOOST_TEST(m_cell.m_runners[0].m_storedEnd.Value() == 0U);
  CommitAll();
  BOOST_TEST(m_cell.m_runners[0].m_storedEnd.Value() == 1U);
}

/** Guards against a renewal that makes a runner's new instance drop an end
 *  that nobody has read, so that the task is started again (found by
 *  sched_property_test, seed 137066389292558). */
BOOST_AUTO_TEST_CASE(EndsAreAcknowledgedOnlyToAKnownInstance) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1, 2));
  StartAll();
  Report(
      runner, {{{JobId(1), 0, 0, 1}, RunNumber(1), "", 10, 0}},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  CommitAll();
  AdvanceTime(milliseconds(20));
  const auto fresh = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(fresh.has_value());
  BOOST_TEST(fresh->m_lastSeen.Value() == 1U);
  ApplyRenewalFailure(m_cell, runner, OrderOutcome::Unknown, m_now);
  AdvanceTime(milliseconds(500));
  const auto later = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(later.has_value());
  BOOST_TEST(later->m_lastSeen.Value() == 0U);
}

/** Guards against counting one failed run twice when the owner stops between
 *  the commit and the acknowledgement (found by scale-1 --seed 772). */
BOOST_AUTO_TEST_CASE(FailedRunCountsOnceAcrossTakeover) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  const EndRow end{
      EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Failed, ""};
  Report(runner, {}, {end});
  CommitAll();
  TakeOver();
  const RunnerIndex again = AddRunner("a");
  Report(again, {}, {end});
  BOOST_TEST(TaskOf(1).m_failedRuns.m_count == 1);
}

/** Guards against endless restarts of a job that can never succeed. */
BOOST_AUTO_TEST_CASE(JobFailsAfterItsAttempts) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  for (uint64_t run = 1; run <= 3; ++run) {
    AdvanceTime(seconds(20));
    BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
    Report(runner, {},
           {{EndNumber(run),
             {JobId(1), 0, 0, 0},
             RunNumber(run),
             EndKind::Failed,
             ""}});
  }
  CommitAll();
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Failed));
  BOOST_TEST(StartAll().empty());
}

/** Guards against a second run while the first may still begin: an unanswered
 *  start is stopped before the task is placed again. */
BOOST_AUTO_TEST_CASE(UnansweredStartIsStoppedBeforeTheNextRun) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  const auto starts = StartAll(OrderOutcome::Unknown);
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  AdvanceTime(milliseconds(100));
  Report(runner, {}, {});
  BOOST_TEST(StartAll().empty());
  AdvanceRunners(m_cell, m_now);
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::Applied, m_now);
  AdvanceTime(milliseconds(10));
  Report(runner, {}, {});
  const auto second = StartAll();
  BOOST_REQUIRE_EQUAL(second.size(), 1U);
  BOOST_TEST(second[0].m_run.Value() == 2U);
}

/** Guards against a second run of a task whose start was executed although its
 *  answer was lost. */
BOOST_AUTO_TEST_CASE(ListedRunIsKeptAfterALostAnswer) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll(OrderOutcome::Unknown);
  AdvanceTime(milliseconds(5));
  Report(runner, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 1, 0}}, {});
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().empty());
  BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Running));
}

/** Guards against a cancelled job that runs on, and against a cancellation
 *  that is lost at a takeover. */
BOOST_AUTO_TEST_CASE(CancelSurvivesATakeover) {
  AddRunner("a");
  Submit(Spec(1));
  StartAll();
  BOOST_TEST(CancelJob(m_cell, JobId(1), m_now).has_value());
  BOOST_TEST(Take<StopOrder>().size() == 1U);
  CommitAll();
  TakeOver();
  const RunnerIndex runner = AddRunner("a");
  Report(runner, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 50, 0}}, {});
  AdvanceTime(seconds(1));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(!Take<StopOrder>().empty());
  BOOST_TEST(StartAll().empty());
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Cancelled));
}

/** Guards against a step that starts before all tasks of an earlier one. */
BOOST_AUTO_TEST_CASE(StepsWaitForTheirPredecessors) {
  const RunnerIndex runner = AddRunner("a");
  JobSpec spec = Spec(1, 2);
  spec.m_steps.push_back(spec.m_steps[0]);
  spec.m_steps[1].m_after = {0};
  Submit(std::move(spec));
  BOOST_TEST(StartAll().size() == 2U);
  Report(
      runner, {{{JobId(1), 0, 0, 1}, RunNumber(1), "", 1, 0}},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  BOOST_TEST(StartAll().empty());
  Report(
      runner, {},
      {{EndNumber(2), {JobId(1), 0, 0, 1}, RunNumber(1), EndKind::Done, ""}});
  BOOST_TEST(StartAll().size() == 2U);
}

/** Guards against tasks on a runner that is draining. */
BOOST_AUTO_TEST_CASE(DrainingRunnerGetsNoWork) {
  const RunnerIndex runner = AddRunner("a");
  RunnerEntry entry = m_cell.m_runners[runner.Value()].m_entry;
  entry.m_draining = true;
  UpdateRunner(m_cell, entry, m_now, m_unixNow);
  Submit(Spec(1));
  BOOST_TEST(StartAll().empty());
  entry.m_draining = false;
  UpdateRunner(m_cell, entry, m_now, m_unixNow);
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a run that no stored state asks for: an order of an earlier
 *  owner that the runner executed late. */
BOOST_AUTO_TEST_CASE(UnknownRunIsStopped) {
  const RunnerIndex runner = AddRunner("a");
  Report(runner, {{{JobId(9), 0, 0, 0}, RunNumber(4), "", 1, 0}}, {});
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST(stops[0].m_run.Value() == 4U);
}

/** Guards against a task without progress on a runner that seems healthy. */
BOOST_AUTO_TEST_CASE(StalledTaskIsMoved) {
  const RunnerIndex first = AddRunner("a");
  const RunnerIndex second = AddRunner("b");
  Submit(Spec(1));
  const RunnerIndex used = StartAll().at(0).m_runner;
  AdvanceTime(seconds(5));
  Report(used, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 0, 0}}, {});
  BOOST_TEST(Take<StopOrder>().size() == 1U);
  Report(used, {},
         {{EndNumber(1),
           {JobId(1), 0, 0, 0},
           RunNumber(1),
           EndKind::Stopped,
           ""}});
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == (used == first ? second : first)));
}

/** Guards against a runner that is never used again after a quarantine because
 *  long-running tasks are still there (found by a random search, mix --seed
 *  479839697604). */
BOOST_AUTO_TEST_CASE(QuarantineEndsBesideLongRunningTasks) {
  const RunnerIndex runner = AddRunner("a");
  m_cell.m_settings.m_maxQuarantineShare = 1.0;
  JobSpec longRunning = Spec(1);
  longRunning.m_steps[0].m_longRunning = true;
  Submit(std::move(longRunning));
  StartAll();
  JobSpec failing = Spec(2, 3);
  Submit(std::move(failing));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 3U);
  const RunningRow kept{{JobId(1), 0, 0, 0}, RunNumber(1), "", 100, 0};
  std::vector<EndRow> ends;
  for (uint32_t index = 0; index < 3; ++index) {
    ends.push_back({EndNumber(index + 1),
                    {JobId(2), 0, 0, index},
                    RunNumber(1),
                    EndKind::Failed,
                    ""});
  }
  Report(runner, {kept}, ends);
  CommitAll();
  BOOST_TEST(StartAll().empty());
  AdvanceTime(seconds(5));
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().size() == 1U);
  AdvanceTime(seconds(10));
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().size() == 2U);
}

/** Guards against a runner that is never used again after a connection loss:
 *  without tasks it got no renewal, and without an answer it got no tasks
 *  (found by a random search, mix --seed 479839697604). */
BOOST_AUTO_TEST_CASE(RunnerIsUsedAgainAfterAConnectionLoss) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  for (int step = 0; step < 40; ++step) {
    if (NextRenewal(m_cell, runner, m_now)) {
      ApplyRenewalFailure(m_cell, runner, OrderOutcome::Unknown, m_now);
    }
    AdvanceTime(milliseconds(500));
    AdvanceRunners(m_cell, m_now);
  }
  BOOST_TEST(StartAll().empty());
  AdvanceTime(seconds(1));
  BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  Report(runner, {}, {});
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a job that runs although its caller was told that it never
 *  does, and against resources that stay reserved for it. */
BOOST_AUTO_TEST_CASE(UnstoredJobsCanBeWithdrawn) {
  AddRunner("a");
  Submit(Spec(1));
  StartAll();
  BOOST_TEST(SubmitJob(m_cell, Spec(2), m_now, m_unixNow).has_value());
  BOOST_TEST(SubmitJob(m_cell, Spec(3), m_now, m_unixNow).has_value());
  PlaceTasks(m_cell, m_now);
  const auto gone = WithdrawUnstored(m_cell, {JobId(3)});
  BOOST_REQUIRE_EQUAL(gone.size(), 1U);
  BOOST_TEST((gone[0] == JobId(2)));
  BOOST_TEST(m_cell.m_jobs.size() == 2U);
  BOOST_TEST(PendingJobs(m_cell, QueueId("queue")) == 1U);
  BOOST_TEST(m_cell.m_runners[0].m_tasks.size() == 2U);
  CommitAll();
  BOOST_TEST(Take<StartOrder>().size() == 1U);
}

/** Guards against losing a checkpoint when a task is moved or another owner
 *  takes over. */
BOOST_AUTO_TEST_CASE(CheckpointSurvivesATakeover) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  Report(runner, {},
         {{EndNumber(1),
           {JobId(1), 0, 0, 0},
           RunNumber(1),
           EndKind::Stopped,
           "half"}});
  CommitAll();
  TakeOver();
  AddRunner("a");
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_checkpoint == "half");
}

/** Guards against a gang that starts without all of its members. */
BOOST_AUTO_TEST_CASE(GangIsPlacedWholeOrNotAtAll) {
  AddRunner("a", 8000);
  JobSpec spec = Spec(1, 3);
  spec.m_steps[0].m_gang = true;
  Submit(std::move(spec));
  BOOST_TEST(StartAll().empty());
  BOOST_TEST((m_cell.m_runners[0].m_reserved == Resources()));
  // A failed search changes nothing that would have to be stored.
  BOOST_TEST(!HasCommit(m_cell));
  BOOST_TEST(TaskOf(1).m_run.Value() == 0U);
  AddRunner("b", 8000);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 3U);
  for (const StartOrder& start : starts) {
    BOOST_TEST((start.m_run == starts[0].m_run));
  }
}

/** Guards against accepting a job twice when the answer was lost. */
BOOST_AUTO_TEST_CASE(SameIdIsOneJob) {
  Submit(Spec(1));
  Submit(Spec(1));
  BOOST_TEST(m_cell.m_counts.m_accepted == 1U);
  BOOST_TEST(PendingJobs(m_cell, QueueId("queue")) == 1U);
}

/** Guards against steps that depend on each other and never begin. */
BOOST_AUTO_TEST_CASE(CycleOfStepsIsRefused) {
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_after = {0};
  BOOST_TEST(!CheckJob(spec).has_value());
  spec.m_steps[0].m_after = {5};
  BOOST_TEST(!CheckJob(spec).has_value());
}

/** Guards against long-running jobs that take all cores from short steps, and
 *  against a reserve that keeps a task of a started job from its new run. */
BOOST_AUTO_TEST_CASE(ReserveHoldsBackOnlyNewJobs) {
  AddRunner("a", 64000);
  AddRunner("b", 64000);
  JobSpec spec = Spec(1, 40);
  spec.m_steps[0].m_longRunning = true;
  Submit(spec);
  const size_t started = StartAll().size();
  BOOST_TEST(started >= 30U);
  BOOST_TEST(started < 32U);
  // Once the job has begun, the reserve does not hold back its tasks.
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().size() == 32U - started);
}

/** Guards against a long-running task that lost its run together with its
 *  owner and is held back for the reserve like one of a new job (found by a
 *  random search, lost-runners-then-owner --seed 34306353996). */
BOOST_AUTO_TEST_CASE(LostTaskIgnoresTheReserveAfterATakeover) {
  AddRunner("a", 64000);
  AddRunner("b", 64000);
  JobSpec spec = Spec(1, 4);
  spec.m_steps[0].m_longRunning = true;
  spec.m_steps[0].m_need.m_cores = Millicores(15500);
  Submit(spec);
  // All are placed by one commit, before any start is confirmed.
  BOOST_REQUIRE_EQUAL(StartAll().size(), 4U);
  TakeOver();
  AddRunner("c", 64000);
  AdvanceTime(seconds(12));
  AdvanceRunners(m_cell, m_now);
  // 62 of 64 cores leave less than the reserve, which holds back new jobs.
  BOOST_TEST(StartAll().size() == 4U);
}

/** Guards against memory growth by jobs that ended long ago. */
BOOST_AUTO_TEST_CASE(EndedJobsAreRemovedAfterTheRetention) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  Report(
      runner, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  CommitAll();
  AdvanceTime(seconds(200));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(m_cell.m_jobs.empty());
  BOOST_TEST(TakeCommit(m_cell, 10, m_now).m_removed.size() == 1U);
}

/** Guards against jobs that are neither accepted nor started while more jobs
 *  change than one commit holds: commits took the lowest ids first. */
BOOST_AUTO_TEST_CASE(EachChangedJobIsCommittedInTurn) {
  constexpr uint64_t kJobs = 8;
  constexpr size_t kRowsOfFourJobs = 8;
  for (uint64_t id = 1; id <= kJobs; ++id) {
    BOOST_REQUIRE(SubmitJob(m_cell, Spec(id), m_now, m_unixNow).has_value());
  }
  std::set<JobId> written;
  for (int commits = 0; commits < 3; ++commits) {
    const Commit commit = TakeCommit(m_cell, kRowsOfFourJobs, m_now);
    for (const JobWrite& write : commit.m_writes) written.insert(write.m_job);
    ApplyCommitted(m_cell, commit, m_now);
    // All jobs change again before the next commit.
    for (const auto& [id, job] : m_cell.m_jobs) m_cell.m_dirty.insert(id);
  }
  BOOST_TEST(written.size() == kJobs);
}

/** Guards against a scheduled job that begins too early, or twice. */
BOOST_AUTO_TEST_CASE(OccurrencesBeginAtTheirTimes) {
  AddRunner("a");
  JobSpec spec = Spec(1);
  spec.m_maxRuns = 2;
  spec.m_startTime = m_unixNow + UnixMillis(1000);
  spec.m_intervalMs = 500;
  Submit(std::move(spec));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(StartAll().empty());
  AdvanceTime(milliseconds(1000));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(StartAll().size() == 1U);
  AdvanceTime(milliseconds(500));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_task.m_occurrence == 1U);
}

/** Guards against a process that ends on each pass: the last task of an
 *  occurrence was put back into the queue, and then its end arrived, as its
 *  runner had been cut off (review/1). */
BOOST_AUTO_TEST_CASE(LateEndOfAWaitingTaskEndsItsOccurrence) {
  const RunnerIndex runner = AddRunner("a");
  JobSpec spec = Spec(1);
  spec.m_maxRuns = 2;
  spec.m_startTime = m_unixNow;
  spec.m_intervalMs = 100'000;
  Submit(std::move(spec));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_REQUIRE(StartAll().size() == 1U);
  BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  ApplyRenewalFailure(m_cell, runner, OrderOutcome::Unknown, m_now);
  RemoveRunner(m_cell, RunnerId("a"));
  AdvanceTime(seconds(11));
  AdvanceRunners(m_cell, m_now);
  BOOST_REQUIRE(StartAll().empty());
  BOOST_REQUIRE(m_cell.m_queue.size() == 1U);
  Report(
      runner, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  BOOST_TEST(m_cell.m_jobs.at(JobId(1)).m_occurrences.empty());
  BOOST_TEST(m_cell.m_queue.empty());
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
