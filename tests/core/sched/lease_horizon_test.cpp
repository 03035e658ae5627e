/**
 * @file lease_horizon_test.cpp Tests which lease ends an owner orders, and what
 * its successors count on.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/lease_func.h"
#include "core/sched/unresponsive_runner_cmd.h"

namespace bronze::sched {

namespace {

struct LeaseHorizonFixture : CellFixture {
  /** Starts job 1, whose task lasts. @return its runner. */
  RunnerIndex StartLongRunningTask() {
    const RunnerIndex index = AddRunner("r1");
    JobSpec spec = Spec(1);
    spec.m_steps[0].m_longRunning = true;
    Submit(spec);
    BOOST_REQUIRE(StartAll().size() == 1U);
    return index;
  }

  /** Gives a successor the stored job; its term has not begun. */
  void RestoreCell() {
    m_cell = Cell();
    m_cell.m_fence = FencingToken(8);
    RestoreJob(m_cell, m_rows.m_specs.at(JobId(1)),
               m_rows.m_states.at(JobId(1)), m_now, m_unixNow);
  }
};

/** @return when a lease that ends at that time of the runner's clock has ended,
 *          if that clock is as slow as the protocol allows. */
TimePoint SlowestLeaseEnd(const Runner& aRunner, RunnerMillis aDeadline) {
  constexpr int64_t kSlowestPercent = 102;
  return aRunner.m_clockAt +
         milliseconds((aDeadline - aRunner.m_clock).Value()) * kSlowestPercent /
             100;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LeaseHorizonSuite, LeaseHorizonFixture)

/** Guards against a second run of a task that lasts, which began while the
 *  first went on under a lease from a former owner: it was suspended, and
 *  renewed the lease before it knew of its successor (review/2). */
BOOST_AUTO_TEST_CASE(SuspendedOwnerExtendsNoLeaseBeyondItsHorizon) {
  const RunnerIndex index = StartLongRunningTask();
  const Duration reach = LeaseReach(m_cell.m_settings.m_lease);
  const TimePoint heartbeatAt = m_now;
  m_cell.m_leaseHorizon = heartbeatAt + reach;

  for (const Duration pause : {milliseconds(1000), milliseconds(4000)}) {
    AdvanceTime(pause);
    const auto renewal = NextRenewal(m_cell, index, m_now);
    BOOST_REQUIRE(renewal.has_value());
    const Runner& runner = m_cell.m_runners[index.Value()];
    BOOST_TEST(
        (SlowestLeaseEnd(runner, renewal->m_deadline) <= heartbeatAt + reach));
    BOOST_TEST((runner.m_lapsesAt <= heartbeatAt + reach));
    Report(index, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 100, 0}}, {});
  }

  // The successor has no contact to the runner, and so waits for that long.
  RestoreCell();
  BeginTerm(m_cell, heartbeatAt + reach);
  m_now = heartbeatAt + reach;
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Recovering));
  AdvanceTime(milliseconds(1));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Ready));
}

/** Guards against a second run while the first has a lease beyond the horizon:
 *  its runner has restarted, and the new instance took a lease end that was
 *  meant for the clock of the earlier one (sched_property_test, seed 106395).
 */
BOOST_AUTO_TEST_CASE(SuccessorWaitsForTheLongestLeaseOfANewInstance) {
  const RunnerIndex index = StartLongRunningTask();
  RunnerEntry entry = m_cell.m_runners[index.Value()].m_entry;

  struct Case {
    UnixMillis m_age;
    Duration m_wait;
  };
  // A lease of 10 s may last for 10.5 s, and an order may take 20 s.
  const std::vector<Case> cases = {{UnixMillis(1000), milliseconds(10500)},
                                   {UnixMillis(25000), milliseconds(5500)},
                                   {UnixMillis(60000), milliseconds(5000)}};
  for (const Case& each : cases) {
    for (const bool listedFirst : {false, true}) {
      entry.m_startedAt = m_unixNow - each.m_age;
      RestoreCell();
      if (listedFirst) UpdateRunner(m_cell, entry, m_now, m_unixNow);
      BeginTerm(m_cell, m_now + seconds(6));
      RestoreUnresponsiveRunner(m_cell, {entry.m_id, m_now + seconds(5)});
      if (!listedFirst) UpdateRunner(m_cell, entry, m_now, m_unixNow);
      AdvanceTime(each.m_wait);
      AdvanceRunners(m_cell, m_now);
      BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Recovering));
      AdvanceTime(milliseconds(1));
      AdvanceRunners(m_cell, m_now);
      BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Ready));
    }
  }
}

/** Guards against running tasks that lose their lease in an outage of the store
 *  of a few seconds, in which no heartbeat is acknowledged. */
BOOST_AUTO_TEST_CASE(LeasesLastThroughAnOutageOfTheStore) {
  const RunnerIndex index = AddRunner("r1");
  const RunningRow running{{JobId(1), 0, 0, 0}, RunNumber(1), "", 50, 0};
  Submit(Spec(1));
  BOOST_REQUIRE(StartAll().size() == 1U);
  for (const Duration lease : {milliseconds(4200), milliseconds(7000)}) {
    m_cell.m_settings.m_lease = lease;
    m_cell.m_leaseHorizon = m_now + LeaseReach(lease);
    AdvanceTime(milliseconds(5600));
    Report(index, {running}, {});
    const auto renewal = NextRenewal(m_cell, index, m_now);
    BOOST_REQUIRE(renewal.has_value());
    const Runner& runner = m_cell.m_runners[index.Value()];
    const RunnerMillis now = RunnerClockAt(runner, m_now);
    BOOST_TEST((renewal->m_deadline >= now + RunnerMillis(1500)));
    // It has to be extended soon after the end of the outage.
    BOOST_TEST((renewal->m_wait <= milliseconds(400) ||
                renewal->m_deadline > now + RunnerMillis(2500)));
    Report(index, {running}, {});
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
