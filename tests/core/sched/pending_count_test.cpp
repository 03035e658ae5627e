/**
 * @file pending_count_test.cpp The number of a queue's jobs without a started
 * task, on each way in which a job begins or ceases to count.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/move_cmd.h"

namespace bronze::sched {
namespace {

struct PendingFixture : CellFixture {
  [[nodiscard]] uint32_t Pending() const {
    return PendingJobs(m_cell, QueueId("queue"));
  }

  void Cancel(uint64_t aId) {
    BOOST_REQUIRE(CancelJob(m_cell, JobId(aId), m_now));
    CommitAll();
  }

  /** One occurrence, due long after the end of the test. */
  static JobSpec Scheduled(uint64_t aId) {
    JobSpec spec = Spec(aId);
    spec.m_maxRuns = 1;
    spec.m_startTime = UnixMillis(100'000'000);
    spec.m_intervalMs = 1000;
    return spec;
  }

  static StoredState WaitingState(uint64_t aId, uint32_t aMoveCount) {
    StoredState state;
    state.m_job = JobId(aId);
    state.m_nextOccurrence = 1;
    state.m_moveCount = aMoveCount;
    state.m_occurrences.push_back({0, {}});
    return state;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PendingCountTest, PendingFixture)

// The new owner took each job that was stored as cancelled from a count that
// it had never been added to, so the count was too low by as many waiting jobs.
BOOST_AUTO_TEST_CASE(EndedJobsDoNotLowerTheCountAfterATakeover) {
  constexpr uint64_t kWaiting = 12;
  constexpr uint64_t kCancelled = 24;
  for (uint64_t id = 1; id <= kWaiting + kCancelled; ++id) Submit(Spec(id));
  for (uint64_t id = kWaiting + 1; id <= kWaiting + kCancelled; ++id) {
    Cancel(id);
  }
  BOOST_REQUIRE_EQUAL(Pending(), kWaiting);
  TakeOver();
  BOOST_TEST(Pending() == kWaiting);
  TakeOver();
  BOOST_TEST(Pending() == kWaiting);
}

// The same for a job that arrives from another cell where it has been
// cancelled, and for a later arrival that replaces it.
BOOST_AUTO_TEST_CASE(AdoptedEndedJobDoesNotLowerTheCount) {
  Submit(Spec(1));
  StoredState state = WaitingState(2, 1);
  state.m_phase = JobPhase::Cancelled;
  BOOST_REQUIRE(AdoptJob(m_cell, Spec(2), state, m_now, m_unixNow));
  BOOST_TEST(Pending() == 1U);
  BOOST_REQUIRE(
      AdoptJob(m_cell, Spec(2), WaitingState(2, 3), m_now, m_unixNow));
  BOOST_TEST(Pending() == 2U);
}

// Each event that ends the wait of a job may come more than once, or after
// another one; the count must fall once only.
BOOST_AUTO_TEST_CASE(AJobLeavesTheCountOnce) {
  const RunnerIndex runner = AddRunner("a");
  for (uint64_t id = 1; id <= 4; ++id) Submit(Spec(id));
  BOOST_REQUIRE_EQUAL(Pending(), 4U);
  const std::vector<StartOrder> starts = StartAll(OrderOutcome::Unknown);
  BOOST_REQUIRE_EQUAL(starts.size(), 4U);
  BOOST_TEST(Pending() == 4U);
  const RunningRow row{starts[0].m_task, starts[0].m_run, "", 10, 0};
  Report(runner, {row}, {});
  BOOST_TEST(Pending() == 3U);
  Report(runner, {row}, {});
  const uint64_t first = starts[0].m_task.m_job.Value();
  Cancel(first);
  Cancel(first);
  BOOST_TEST(Pending() == 3U);
  const uint64_t second = starts[1].m_task.m_job.Value();
  Cancel(second);
  Cancel(second);
  BOOST_TEST(Pending() == 2U);
  AdvanceTime(seconds(1));
  AcknowledgeHeartbeat();
  TakeOver();
  BOOST_TEST(Pending() == 2U);
}

// A restored job that moves still waits until the other cell has it.
BOOST_AUTO_TEST_CASE(AMovingJobCountsUntilItHasLeft) {
  Submit(Spec(1));
  Submit(Spec(2));
  StoredState state = m_rows.m_states.at(JobId(2));
  state.m_movingTo = CellId(1);
  state.m_moveCount = 1;
  m_rows.m_states[JobId(2)] = state;
  TakeOver();
  BOOST_TEST(Pending() == 2U);
  const MovingJob move{JobId(2), CellId(1), 1};
  CompleteMove(m_cell, move, m_now);
  CompleteMove(m_cell, move, m_now);
  BOOST_TEST(Pending() == 1U);
}

BOOST_AUTO_TEST_CASE(AWithdrawnJobNoLongerCounts) {
  Submit(Spec(1));
  BOOST_REQUIRE(SubmitJob(m_cell, Spec(2), m_now, m_unixNow));
  BOOST_TEST(Pending() == 2U);
  BOOST_TEST(WithdrawUnstored(m_cell, {}).size() == 1U);
  BOOST_TEST(Pending() == 1U);
}

// Jobs with times are not part of the number, whatever happens to them.
BOOST_AUTO_TEST_CASE(ScheduledJobsNeverCount) {
  Submit(Spec(1));
  for (uint64_t id = 2; id <= 4; ++id) Submit(Scheduled(id));
  BOOST_TEST(Pending() == 1U);
  Cancel(2);
  TakeOver();
  Cancel(3);
  BOOST_TEST(Pending() == 1U);
}

// Removal of ended jobs concerns no job that waits.
BOOST_AUTO_TEST_CASE(RemovalOfEndedJobsKeepsTheCount) {
  for (uint64_t id = 1; id <= 3; ++id) Submit(Spec(id));
  Cancel(1);
  TakeOver();
  AdvanceTime(m_cell.m_settings.m_statusRetention + seconds(1));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_REQUIRE_EQUAL(m_cell.m_jobs.size(), 2U);
  BOOST_TEST(Pending() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
