/**
 * @file runner_instance_test.cpp Leases and instances of runners, and what an
 * owner or the next one may conclude from them.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/placement_func.h"

namespace bronze::sched {

namespace {

struct RunnerInstanceFixture : CellFixture {
  /** Starts job 1 on the runner, which is then cut off for longer than its
   * lease and leaves the list, so that the task waits again. */
  void StartAndLoseRun(RunnerIndex aRunner) {
    Submit(Spec(1));
    BOOST_REQUIRE(StartAll().size() == 1U);
    BOOST_REQUIRE(NextRenewal(m_cell, aRunner, m_now).has_value());
    ApplyRenewalFailure(m_cell, aRunner, OrderOutcome::Unknown, m_now);
    RemoveRunner(m_cell, m_cell.m_runners[aRunner.Value()].m_entry.m_id);
    AdvanceTime(seconds(11));
    AdvanceRunners(m_cell, m_now);
  }

  /** The runner reports that job 1 is done, as its first end. */
  void ReportDone(RunnerIndex aRunner) {
    Report(
        aRunner, {},
        {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  }

  /** Job 1 ends on the runner, and is stored. @return the start of job 2 there,
   *  which has no answer yet. */
  StartOrder EndOneJobAndStartAnother(RunnerIndex aRunner) {
    Submit(Spec(1));
    BOOST_REQUIRE(StartAll().size() == 1U);
    ReportDone(aRunner);
    Submit(Spec(2));
    PlaceTasks(m_cell, m_now);
    CommitAll();
    const auto starts = Take<StartOrder>();
    BOOST_REQUIRE(starts.size() == 1U);
    return starts[0];
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerInstanceSuite, RunnerInstanceFixture)

/** Guards against a second run while a runner that a new owner cannot reach
 *  may still execute the first. */
BOOST_AUTO_TEST_CASE(TakeoverWaitsForTheLeaseOfAnUnreachableRunner) {
  AddRunner("a");
  Submit(Spec(1));
  StartAll();
  TakeOver();
  AddRunner("b");
  for (int step = 0; step < 10; ++step) {
    AdvanceTime(seconds(1));
    AdvanceRunners(m_cell, m_now);
    BOOST_TEST(StartAll().empty());
  }
  AdvanceTime(seconds(12));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a new owner that waits for the longest lease from its own
 *  takeover on, although the lease of an unresponsive runner had almost ended
 *  (found by the test day lost-runners-then-owner, --seed 293918851835). */
BOOST_AUTO_TEST_CASE(SuccessorKnowsTheLeaseOfAnUnresponsiveRunner) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  const TimePoint lastOrder = m_now;
  for (int step = 0; step < 12; ++step) {
    ApplyRenewalFailure(m_cell, runner, OrderOutcome::Unknown, m_now);
    AdvanceTime(milliseconds(500));
    AdvanceRunners(m_cell, m_now);
    CommitAll();
    BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  }
  TakeOver();
  AddRunner("b");
  BOOST_TEST(StartAll().empty());
  // A lease of 7 s on a clock that is 2 % slow, and 0.3 s for transmission.
  AdvanceTime(lastOrder + milliseconds(7450) - m_now);
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against extending a lease while a stored row says that it has ended:
 *  a new owner would start the task a second time. */
BOOST_AUTO_TEST_CASE(LeaseStaysFixedWhileItsEndIsStored) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  const RunnerMillis ordered = m_cell.m_runners[runner.Value()].m_lastDeadline;
  ApplyRenewalFailure(m_cell, runner, OrderOutcome::Unknown, m_now);
  AdvanceTime(milliseconds(1500));
  AdvanceRunners(m_cell, m_now);
  CommitAll();
  BOOST_TEST(m_unresponsive.size() == 1U);
  Report(runner, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 10, 0}}, {});
  const auto fixed = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(fixed.has_value());
  BOOST_TEST((fixed->m_deadline == ordered));
  BOOST_TEST(
      !IsUsable(m_cell.m_runners[runner.Value()], ServiceId("pool"), m_now));
  AdvanceRunners(m_cell, m_now);
  CommitAll();
  BOOST_TEST(m_unresponsive.empty());
  Report(runner, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 10, 0}}, {});
  const auto renewed = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(renewed.has_value());
  BOOST_TEST((renewed->m_deadline > ordered));
}

/** Guards against waiting for the end of a lease when the runner answers a new
 *  owner and does not have the run: its higher fencing token refuses a late
 *  start. */
BOOST_AUTO_TEST_CASE(TakeoverRestartsWhatTheRunnerDoesNotList) {
  AddRunner("a");
  Submit(Spec(1));
  StartAll();
  TakeOver();
  AddRunner("a");
  CommitAll();
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_run.Value() == 2U);
}

/** Guards against a lease end that moves with each unanswered renewal, which
 *  would keep the tasks of an unresponsive runner waiting for ever. */
BOOST_AUTO_TEST_CASE(UnresponsiveRunnerLapses) {
  const RunnerIndex runner = AddRunner("a");
  AddRunner("b");
  Submit(Spec(1));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  const RunnerIndex used = starts[0].m_runner;
  RemoveRunner(m_cell, m_cell.m_runners[used.Value()].m_entry.m_id);
  bool restarted = false;
  for (int step = 0; step < 20 && !restarted; ++step) {
    if (NextRenewal(m_cell, used, m_now)) {
      ApplyRenewalFailure(m_cell, used, OrderOutcome::Unknown, m_now);
    }
    AdvanceTime(milliseconds(500));
    AdvanceRunners(m_cell, m_now);
    restarted = !StartAll().empty();
  }
  BOOST_TEST(restarted);
  BOOST_TEST((TaskOf(1).m_runner != used));
  (void)runner;
}

/** Guards against a second run of a task that succeeded on a runner which the
 *  owner could not reach until after its lease had ended, while the platform
 *  still listed the runner (seen on a saturated link). */
BOOST_AUTO_TEST_CASE(ListedRunnerMayReportAfterItsLease) {
  AddRunner("a");
  AddRunner("b");
  Submit(Spec(1));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  const RunnerIndex used = starts[0].m_runner;
  BOOST_REQUIRE(NextRenewal(m_cell, used, m_now).has_value());
  ApplyRenewalFailure(m_cell, used, OrderOutcome::Unknown, m_now);
  AdvanceTime(seconds(15));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(StartAll().empty());
  Report(used, {},
         {{EndNumber(1), starts[0].m_task, RunNumber(1), EndKind::Done, ""}});
  BOOST_TEST(StartAll().empty());
  BOOST_TEST((m_cell.m_jobs.at(JobId(1)).m_phase == JobPhase::Completed));
}

/** Guards against a task that waits for ever for the report of a runner which
 *  stays listed but cannot be reached. */
BOOST_AUTO_TEST_CASE(WaitForAReportAfterTheLeaseIsBounded) {
  AddRunner("a");
  AddRunner("b");
  Submit(Spec(1));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_REQUIRE(NextRenewal(m_cell, starts[0].m_runner, m_now).has_value());
  ApplyRenewalFailure(m_cell, starts[0].m_runner, OrderOutcome::Unknown, m_now);
  AdvanceTime(seconds(22));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against long-running tasks that wait for a report after the lease:
 *  their runs have certainly ended, and they do not succeed. */
BOOST_AUTO_TEST_CASE(LongRunningTaskRestartsWhenTheLeaseEnds) {
  AddRunner("a");
  AddRunner("b");
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_longRunning = true;
  Submit(spec);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_REQUIRE(NextRenewal(m_cell, starts[0].m_runner, m_now).has_value());
  ApplyRenewalFailure(m_cell, starts[0].m_runner, OrderOutcome::Unknown, m_now);
  AdvanceTime(seconds(11));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against treating tasks as running on a runner that has restarted
 *  under its old id. */
BOOST_AUTO_TEST_CASE(RunnerRestartEndsItsRuns) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  StartAll();
  RunnerReport report;
  report.m_allEndsListed = true;
  report.m_clock = RunnerMillis(5);
  report.m_startedAt = UnixMillis(2);
  ApplyReport(m_cell, runner, report, m_now, m_now);
  // The new instance gets a higher fencing token before anything is placed
  // there.
  BOOST_TEST(StartAll().empty());
  BOOST_TEST(HasCommit(m_cell) == false);
  BOOST_TEST(!NextRenewal(m_cell, runner, m_now).has_value());
  m_cell.m_newestFence = FencingToken(20);
  const auto renewal = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST(renewal->m_fence.Value() == 20U);
  ApplyReport(m_cell, runner, report, m_now, m_now);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_run.Value() == 2U);
}

/** Guards against tasks that are never restarted because another instance
 *  answers at their runner's address. That instance refuses orders addressed
 *  to the old one, so no wait is needed (found by scale-2). */
BOOST_AUTO_TEST_CASE(OtherInstanceEndsTheRunsAtOnce) {
  AddRunner("a");
  AddRunner("b");
  Submit(Spec(1));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  const RunnerIndex used = starts[0].m_runner;
  BOOST_REQUIRE(NextRenewal(m_cell, used, m_now).has_value());
  ApplyRenewalFailure(m_cell, used, OrderOutcome::WrongInstance, m_now);
  const auto again = StartAll();
  BOOST_REQUIRE_EQUAL(again.size(), 1U);
  BOOST_TEST((again[0].m_runner != used));
}

/** Guards against a second run while an unanswered start may still be executed
 *  by the runner's new instance, and against a late renewal that makes the new
 *  instance drop ends (found by sched_property_test). */
BOOST_AUTO_TEST_CASE(UnansweredStartMaySurviveARunnerRestart) {
  const RunnerIndex runner = AddRunner("a");
  AddRunner("b");
  Submit(Spec(1));
  const auto starts = StartAll(OrderOutcome::Unknown);
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  const RunnerIndex used = starts[0].m_runner;
  RunnerEntry entry = m_cell.m_runners[used.Value()].m_entry;
  entry.m_startedAt = UnixMillis(2);
  UpdateRunner(m_cell, entry, m_now, m_unixNow);
  BOOST_TEST(StartAll().empty());
  m_cell.m_newestFence = FencingToken(20);
  BOOST_REQUIRE(NextRenewal(m_cell, used, m_now).has_value());
  RunnerReport report;
  report.m_allEndsListed = true;
  report.m_clock = RunnerMillis(5);
  report.m_startedAt = UnixMillis(2);
  ApplyReport(m_cell, used, report, m_now, m_now);
  BOOST_TEST(StartAll().size() == 1U);
  static_cast<void>(runner);
}

/** Guards against a second run of a gang whose end was acknowledged before it
 *  was durable: another member's end had ended the occurrence in memory, so
 *  there seemed to be nothing to store (found by sched_property_test). */
BOOST_AUTO_TEST_CASE(EndOfAnEndedOccurrenceIsAcknowledgedOnlyWhenDurable) {
  const RunnerIndex first = AddRunner("a", 4000);
  const RunnerIndex second = AddRunner("b", 4000);
  JobSpec spec = Spec(1, 2);
  spec.m_steps[0].m_gang = true;
  spec.m_maxRuns = 2;
  spec.m_startTime = m_unixNow;
  spec.m_intervalMs = 100'000;
  Submit(std::move(spec));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 2U);
  const auto endOn = [&](RunnerIndex aRunner) {
    const StartOrder& start = starts[starts[0].m_runner == aRunner ? 0 : 1];
    return EndRow{EndNumber(1), start.m_task, start.m_run, EndKind::Done, ""};
  };
  Report(first, {}, {endOn(first)});
  BOOST_REQUIRE(m_cell.m_jobs.at(JobId(1)).m_occurrences.empty());
  Report(second, {}, {endOn(second)});
  BOOST_TEST(m_cell.m_runners[second.Value()].m_storedEnd.Value() == 0U);
  CommitAll();
  BOOST_TEST(m_cell.m_runners[second.Value()].m_storedEnd.Value() == 1U);
}

/** Guards against tasks that are placed over a runner's capacity: a later run
 *  was superseded while its start was under way, and counted as gone as soon as
 *  a report lacked it (found by sched_property_test). */
BOOST_AUTO_TEST_CASE(SupersededRunHoldsItsRoomUntilItsStopIsAnswered) {
  const RunnerIndex first = AddRunner("a", 4000);
  StartAndLoseRun(first);
  const RunnerIndex second = AddRunner("b", 4000);
  PlaceTasks(m_cell, m_now);
  CommitAll();
  BOOST_REQUIRE(Take<StartOrder>().size() == 1U);

  // The first run has succeeded; the start of the second has no answer yet.
  ReportDone(first);
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_TEST((stops[0].m_runner == second));
  Submit(Spec(2));
  Report(second, {}, {});
  BOOST_TEST(StartAll().empty());
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::Unknown, m_now);
  AdvanceTime(seconds(1));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().size() == 1U);
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::Applied, m_now);
  BOOST_TEST(StartAll().empty());
  AdvanceTime(milliseconds(10));
  Report(second, {}, {});
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a superfluous run that goes on because its stop was lost. */
BOOST_AUTO_TEST_CASE(LostStopOfASupersededRunIsRepeated) {
  const RunnerIndex first = AddRunner("a", 4000);
  StartAndLoseRun(first);
  const RunnerIndex second = AddRunner("b", 4000);
  BOOST_REQUIRE(StartAll().size() == 1U);
  ReportDone(first);
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE(stops.size() == 1U);
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::Unknown, m_now);
  AdvanceTime(seconds(1));
  Report(second, {{{JobId(1), 0, 0, 0}, RunNumber(2), "", 50, 0}}, {});
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().size() == 1U);
}

/** Guards against ends that are never acknowledged while answers are slow: the
 *  next renewal waited until the last report was too old for that, so a runner
 *  with a full list showed no further ends (found by sched_property_test). */
BOOST_AUTO_TEST_CASE(EndsAreAcknowledgedWhileAnswersAreSlow) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE(StartAll().size() == 1U);
  m_cell.m_window.m_answerTime = milliseconds(500);
  AdvanceTime(seconds(2));
  BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  AdvanceTime(milliseconds(100));
  ReportDone(runner);
  CommitAll();
  AdvanceTime(milliseconds(50));
  const auto renewal = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST(renewal->m_lastSeen.Value() == 1U);
}

/** Guards against a second run of a task whose end nobody has read: the runner
 *  had restarted, its new instance executed a start, and a late renewal that
 *  acknowledged the ends of the earlier instance made it drop the new one
 *  (found by sched_property_test, seed 208332). */
BOOST_AUTO_TEST_CASE(NoEndIsAcknowledgedWhileAStartIsUnanswered) {
  const RunnerIndex runner = AddRunner("a");
  const StartOrder start = EndOneJobAndStartAnother(runner);
  BOOST_TEST(!NextRenewal(m_cell, runner, m_now).has_value());
  AdvanceTime(milliseconds(250));
  const auto during = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(during.has_value());
  BOOST_TEST(during->m_lastSeen.Value() == 0U);
  ApplyStartAnswer(m_cell, start, OrderOutcome::Applied, {}, m_now);
  Report(runner, {{{JobId(2), 0, 0, 0}, RunNumber(1), "", 10, 0}}, {});
  const auto after = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(after->m_lastSeen.Value() == 1U);
}

/** Guards against a second run of a task whose end nobody has read: the new
 *  instance of a runner had answered a start before its list of ends was read
 *  (found by sched_property_test, seed 407981). */
BOOST_AUTO_TEST_CASE(AnswerOfANewInstanceEndsTheEarlierOne) {
  const RunnerIndex runner = AddRunner("a");
  const StartOrder start = EndOneJobAndStartAnother(runner);
  ApplyStartAnswer(m_cell, start, OrderOutcome::Applied, RunnerMillis(10),
                   m_now);
  BOOST_TEST((TaskOf(2).m_phase == TaskPhase::Recovering));
  m_cell.m_newestFence = FencingToken(20);
  const auto renewal = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST(renewal->m_lastSeen.Value() == 0U);
}

/** Guards against a runner that is taken as restarted because answers on its
 *  connections overtake each other. */
BOOST_AUTO_TEST_CASE(AnswerThatIsReadLateIsOfTheSameInstance) {
  AddRunner("a");
  Submit(Spec(1));
  PlaceTasks(m_cell, m_now);
  CommitAll();
  const auto starts = Take<StartOrder>();
  BOOST_REQUIRE(starts.size() == 1U);
  const RunnerMillis clock =
      m_cell.m_runners[starts[0].m_runner.Value()].m_clock;
  ApplyStartAnswer(m_cell, starts[0], OrderOutcome::Applied,
                   clock - RunnerMillis(600), m_now);
  BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Running));
}

/** Guards against acknowledged ends that nobody has read: an owner that was
 *  suspended reads a report of an instance that has ended since. */
BOOST_AUTO_TEST_CASE(NoEndIsAcknowledgedAfterAReportThatIsReadLate) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE(StartAll().size() == 1U);
  BOOST_REQUIRE(NextRenewal(m_cell, runner, m_now).has_value());
  RunnerReport report;
  report.m_allEndsListed = true;
  report.m_clock = RunnerMillis(m_now.time_since_epoch().count() / 1000 + 20);
  report.m_startedAt = UnixMillis(1);
  report.m_ended = {
      {EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}};
  const TimePoint sentAt = m_now;
  AdvanceTime(milliseconds(1000));
  ApplyReport(m_cell, runner, report, sentAt, m_now);
  CommitAll();
  const auto late = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST(late->m_lastSeen.Value() == 0U);
  AdvanceTime(milliseconds(20));
  Report(runner, {}, {});
  const auto current = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(current.has_value());
  BOOST_TEST(current->m_lastSeen.Value() == 1U);
}

/** Guards against a second run of tasks that have ended: after a takeover their
 *  runner had more ends than it lists at a time (review/3). */
BOOST_AUTO_TEST_CASE(RunWithoutAListedEndIsKeptWhileEndsAreMissing) {
  constexpr uint32_t kTasks = 4;
  AddRunner("a");
  Submit(Spec(1, kTasks));
  BOOST_REQUIRE(StartAll().size() == kTasks);
  TakeOver();
  RunnerEntry entry;
  entry.m_id = RunnerId("a");
  entry.m_service = ServiceId("pool");
  entry.m_address = "127.0.0.1:1";
  entry.m_capacity = {Millicores(64000), Mebibytes(256000), Accelerators()};
  const RunnerIndex runner = UpdateRunner(m_cell, entry, m_now, m_unixNow);
  RunnerReport report;
  report.m_clock = RunnerMillis(30000);
  const auto addEnd = [&report](uint32_t aIndex) {
    report.m_ended.push_back({EndNumber(aIndex + 1),
                              {JobId(1), 0, 0, aIndex},
                              RunNumber(1),
                              EndKind::Done,
                              ""});
  };
  addEnd(0);
  addEnd(1);
  ApplyReport(m_cell, runner, report, m_now, m_now);
  BOOST_TEST(StartAll().empty());
  BOOST_TEST((TaskOf(1, 2).m_phase == TaskPhase::Recovering));
  // Once all ends are listed, a run that is not among them is lost.
  addEnd(2);
  report.m_allEndsListed = true;
  ApplyReport(m_cell, runner, report, m_now, m_now);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_task.m_index == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
