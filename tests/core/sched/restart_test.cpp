/**
 * @file restart_test.cpp Tests that long-running tasks which lost their run get
 * another one, whatever is known of the runners that have room.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/restart_cmd.h"

namespace bronze::sched {

namespace {

/** A long-running task that has lost its run; the only runner with room for it
 *  is in quarantine. */
struct LostRun : CellFixture {
  LostRun() {
    const RunnerIndex first = AddRunner("a", 6000);
    JobSpec spec = Spec(1);
    spec.m_steps[0].m_longRunning = true;
    Submit(spec);
    BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
    RunnerEntry entry = m_cell.m_runners[first.Value()].m_entry;
    entry.m_draining = true;
    UpdateRunner(m_cell, entry, m_now, m_unixNow);
    m_quarantined = AddRunner("b", 8000);
    Quarantined().m_quarantineCount = 3;
    Quarantined().m_quarantinedUntil = m_now + seconds(12);
    Report(first, {},
           {{EndNumber(1),
             {JobId(1), 0, 0, 0},
             RunNumber(1),
             EndKind::Failed,
             ""}});
    CommitAll();
  }

  Runner& Quarantined() { return m_cell.m_runners[m_quarantined.Value()]; }

  RunnerIndex m_quarantined;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RestartSuite, LostRun)

/** Guards against a service that stays down for the whole of a quarantine and
 *  the probation after it, while no other runner has room (seen on
 *  lost-runners-then-owner, seeds 93 and 196: 9 to 16 s). */
BOOST_AUTO_TEST_CASE(LostRunDoesNotWaitForTheEndOfAQuarantine) {
  BOOST_TEST(StartsWithin(milliseconds(1900)).empty());
  BOOST_TEST((LongestRestartWait(m_cell, m_now) == milliseconds(1900)));
  const auto starts = StartsWithin(milliseconds(300));
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == m_quarantined));
  BOOST_TEST(starts[0].m_run.Value() == 2U);
  BOOST_TEST((LongestRestartWait(m_cell, m_now) == Duration::zero()));
  BOOST_TEST((m_cell.m_counts.m_longestRestartWait >= kMaxQuarantineWait));
  BOOST_TEST(m_cell.m_queue.empty());
}

/** Guards against the same wait while the runner is on probation with another
 *  task. */
BOOST_AUTO_TEST_CASE(LostRunDoesNotWaitForTheEndOfAProbation) {
  Quarantined().m_quarantinedUntil = m_now - milliseconds(100);
  Quarantined().m_lastPlacedAt = m_now;
  const auto starts = StartsWithin(milliseconds(2200));
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == m_quarantined));
}

/** Guards against other work on a runner in quarantine: a job that has not
 *  begun can wait for a better one. */
BOOST_AUTO_TEST_CASE(OtherTasksWaitForTheEndOfTheQuarantine) {
  JobSpec fresh = Spec(2);
  fresh.m_steps[0].m_longRunning = true;
  Submit(fresh);
  Submit(Spec(3));
  for (const StartOrder& start : StartsWithin(seconds(11))) {
    BOOST_TEST((start.m_task.m_job == JobId(1)));
  }
}

/** Guards against starts that a runner without room refuses again and again:
 *  the pause after a refusal holds for restarts, too. */
BOOST_AUTO_TEST_CASE(RefusedRestartWaitsAgain) {
  AdvanceTime(kMaxQuarantineWait);
  m_cell.m_capacityChanged = true;
  BOOST_REQUIRE_EQUAL(StartAll(OrderOutcome::RefusedRoom).size(), 1U);
  BOOST_TEST(StartsWithin(milliseconds(1900)).empty());
  BOOST_TEST(StartsWithin(milliseconds(300)).size() == 1U);
}

/** Guards against a long quarantine after a single fault: several runs that
 *  stalled at the same time counted as a quarantine each. */
BOOST_AUTO_TEST_CASE(RunsThatStallTogetherAreOneQuarantine) {
  const RunnerIndex runner = AddRunner("c", 64000);
  m_cell.m_settings.m_maxQuarantineShare = 1.0;
  Submit(Spec(2, 3));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 4U);
  std::vector<RunningRow> rows;
  for (const TaskKey& key : m_cell.m_runners[runner.Value()].m_tasks) {
    rows.push_back(
        {key, TaskOf(key.m_job.Value(), key.m_index).m_run, "", 0, 0});
  }
  AdvanceTime(seconds(5));
  Report(runner, rows, {});
  const Runner& stalled = m_cell.m_runners[runner.Value()];
  BOOST_TEST(Take<StopOrder>().size() == 4U);
  BOOST_TEST(stalled.m_quarantineCount == 1U);
  BOOST_TEST(
      (stalled.m_quarantinedUntil == m_now + m_cell.m_settings.m_quarantine));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
