/**
 * @file stop_test.cpp A run that has to stop is stopped again until it is known
 * to have ended, whatever became of earlier stops.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

namespace {

struct StopFixture : CellFixture {
  /** The time after which a stop is repeated. */
  static constexpr Duration kRepeat = milliseconds(701);

  /** The platform lists a new instance of the runner. */
  void ListInstance(RunnerIndex aRunner, int64_t aStartedAt) {
    RunnerEntry entry = m_cell.m_runners[aRunner.Value()].m_entry;
    entry.m_startedAt = UnixMillis(aStartedAt);
    UpdateRunner(m_cell, entry, m_now, m_unixNow);
    m_cell.m_newestFence = m_cell.m_runners[aRunner.Value()].m_fence.Next();
  }

  /** That instance answers a renewal. */
  void ReportFrom(RunnerIndex aRunner, int64_t aStartedAt,
                  std::vector<RunningRow> aRunning,
                  std::vector<EndRow> aEnded = {}) {
    BOOST_REQUIRE(NextRenewal(m_cell, aRunner, m_now).has_value());
    const TimePoint sentAt = m_now;
    AdvanceTime(milliseconds(2));
    RunnerReport report;
    report.m_allEndsListed = true;
    report.m_clock = RunnerMillis(m_now.time_since_epoch().count() / 1000);
    report.m_startedAt = UnixMillis(aStartedAt);
    report.m_running = std::move(aRunning);
    report.m_ended = std::move(aEnded);
    ApplyReport(m_cell, aRunner, report, sentAt, m_now);
  }

  /** @return the stops that are due after kRepeat. */
  std::vector<StopOrder> StopsAfterRepeat() {
    AdvanceTime(kRepeat);
    AdvanceRunners(m_cell, m_now);
    return Take<StopOrder>();
  }

  static RunningRow Row(uint64_t aJob, uint64_t aRun = 1, uint32_t aIndex = 0) {
    return {{JobId(aJob), 0, 0, aIndex}, RunNumber(aRun), "", 100, 0};
  }

  /** Cancels the job. @return the stops of its tasks. */
  std::vector<StopOrder> Cancel(uint64_t aJob) {
    BOOST_REQUIRE(CancelJob(m_cell, JobId(aJob), m_now));
    CommitAll();
    return Take<StopOrder>();
  }

  void AnswerAll(const std::vector<StopOrder>& aStops, OrderOutcome aOutcome) {
    for (const StopOrder& stop : aStops) {
      ApplyStopAnswer(m_cell, stop, aOutcome, m_now);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StopSuite, StopFixture)

/** Guards against a cancelled task that runs on: it had been started on a new
 *  instance of its runner that was not listed yet, and the listing counted as
 *  the answer to its lost stop (review/12). */
BOOST_AUTO_TEST_CASE(LostStopIsRepeatedOnANewInstance) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  AnswerAll(Cancel(1), OrderOutcome::Unknown);
  ListInstance(runner, 2);
  ReportFrom(runner, 2, {Row(1)});
  const auto stops = StopsAfterRepeat();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST(stops[0].m_run.Value() == 1U);
  AnswerAll(stops, OrderOutcome::Applied);
  ReportFrom(runner, 2, {},
             {{EndNumber(1),
               {JobId(1), 0, 0, 0},
               RunNumber(1),
               EndKind::Stopped,
               ""}});
  BOOST_TEST(StopsAfterRepeat().empty());
  BOOST_TEST(m_cell.m_runners[runner.Value()].m_tasks.empty());
}

/** Guards against the same with several tasks, restarts and lost stops. */
BOOST_AUTO_TEST_CASE(LostStopsAreRepeatedOnEachNewInstance) {
  constexpr uint32_t kTasks = 3;
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1, kTasks));
  BOOST_REQUIRE_EQUAL(StartAll().size(), kTasks);
  AnswerAll(Cancel(1), OrderOutcome::Unknown);
  for (int64_t instance = 2; instance < 5; ++instance) {
    ListInstance(runner, instance);
    ReportFrom(runner, instance, {Row(1, 1, 0), Row(1, 1, 1), Row(1, 1, 2)});
    const auto stops = StopsAfterRepeat();
    BOOST_TEST(stops.size() == kTasks);
    AnswerAll(stops, OrderOutcome::Unknown);
  }
}

/** Guards against a run that goes on because a stop that was answered has not
 *  ended it: the answer was that of an earlier instance, or the runner does not
 *  obey. */
BOOST_AUTO_TEST_CASE(AnsweredStopOfAListedRunIsRepeated) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  auto stops = Cancel(1);
  for (int round = 0; round < 3; ++round) {
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    AnswerAll(stops, OrderOutcome::Applied);
    AdvanceTime(milliseconds(10));
    ReportFrom(runner, 1, {Row(1)});
    stops = StopsAfterRepeat();
  }
}

/** Guards against a stop of an unanswered start that binds no instance any
 *  more: the earlier one has answered it, and the new one began the run. */
BOOST_AUTO_TEST_CASE(AnswerOfAnEarlierInstanceDoesNotEndTheStop) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll(OrderOutcome::Unknown).size(), 1U);
  const auto stops = Cancel(1);
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  ListInstance(runner, 2);
  AnswerAll(stops, OrderOutcome::Applied);
  ReportFrom(runner, 2, {Row(1)});
  BOOST_TEST(StopsAfterRepeat().size() == 1U);
}

/** Guards against a task that is placed again while its unanswered start may
 *  still be carried out. */
BOOST_AUTO_TEST_CASE(UnansweredStartIsOpenUntilAStopIsAnswered) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll(OrderOutcome::Unknown).size(), 1U);
  AdvanceTime(milliseconds(60));
  AdvanceRunners(m_cell, m_now);
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  ReportFrom(runner, 1, {});
  BOOST_TEST(StartAll().empty());
  AnswerAll(stops, OrderOutcome::Applied);
  AdvanceTime(milliseconds(10));
  ReportFrom(runner, 1, {});
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a cancelled task that runs on after a takeover: the stop of
 *  the new owner is answered by a runner that then restarts. */
BOOST_AUTO_TEST_CASE(NewOwnerStopsTheRunsOfACancelledJob) {
  AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  AnswerAll(Cancel(1), OrderOutcome::Unknown);
  TakeOver();
  m_cell.m_newestFence = m_cell.m_fence;
  RunnerEntry entry;
  entry.m_id = RunnerId("a");
  entry.m_address = "127.0.0.1:1";
  entry.m_startedAt = UnixMillis(1);
  const RunnerIndex runner = UpdateRunner(m_cell, entry, m_now, m_unixNow);
  ReportFrom(runner, 1, {Row(1)});
  AnswerAll(StopsAfterRepeat(), OrderOutcome::Unknown);
  ListInstance(runner, 2);
  ReportFrom(runner, 2, {Row(1)});
  BOOST_TEST(StopsAfterRepeat().size() == 1U);
}

/** Guards against a superfluous run that goes on, and whose room is given to
 *  others: its runner restarted before its stop was carried out. */
BOOST_AUTO_TEST_CASE(SupersededRunIsStoppedOnANewInstance) {
  const RunnerIndex first = AddRunner("a", 4000);
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  BOOST_REQUIRE(NextRenewal(m_cell, first, m_now).has_value());
  ApplyRenewalFailure(m_cell, first, OrderOutcome::Unknown, m_now);
  RemoveRunner(m_cell, RunnerId("a"));
  AdvanceTime(seconds(11));
  AdvanceRunners(m_cell, m_now);
  const RunnerIndex second = AddRunner("b", 4000);
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  AdvanceTime(milliseconds(500));
  Report(
      first, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  AnswerAll(Take<StopOrder>(), OrderOutcome::Applied);
  ListInstance(second, 2);
  Submit(Spec(2));
  ReportFrom(second, 2, {Row(1, 2)});
  BOOST_TEST(StartAll().empty());
  BOOST_TEST(StopsAfterRepeat().size() == 1U);
  ReportFrom(second, 2, {});
  BOOST_TEST(StartAll().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
