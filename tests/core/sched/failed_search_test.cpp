/**
 * @file failed_search_test.cpp Tests that failed searches for a runner are
 * remembered between passes, and forgotten when room may have appeared.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

BOOST_FIXTURE_TEST_SUITE(FailedSearchSuite, CellFixture)

/** Guards against an owner that spends its processor time on searches which
 *  cannot succeed: with a long queue, each event searched all runners for each
 *  kind of waiting task (seen on a quiet day with 1,100 runners). */
BOOST_AUTO_TEST_CASE(WaitingStepsAreSearchedOnce) {
  AddRunner("a", 4000);
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  for (uint64_t id = 2; id < 30; ++id) Submit(Spec(id));
  BOOST_TEST(StartAll().empty());
  const FailedSearches& failed = m_cell.m_failedSearches;
  BOOST_TEST(failed.m_byStep.empty());
  BOOST_REQUIRE_EQUAL(failed.m_byKind.size(), 1U);
  BOOST_REQUIRE_EQUAL(failed.m_byKind.begin()->second.size(), 1U);
  const size_t seen = failed.m_byKind.begin()->second[0].m_seen;
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().empty());
  BOOST_TEST(failed.m_byStep.empty());
  BOOST_REQUIRE_EQUAL(failed.m_byKind.size(), 1U);
  BOOST_REQUIRE_EQUAL(failed.m_byKind.begin()->second.size(), 1U);
  BOOST_TEST(failed.m_byKind.begin()->second[0].m_seen == seen);
}

/** Guards against room that stays unused until the next full search. */
BOOST_AUTO_TEST_CASE(FreedRoomIsUsedAtOnce) {
  const RunnerIndex first = AddRunner("a", 4000);
  AddRunner("b", 4000);
  Submit(Spec(1, 2));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  Submit(Spec(2));
  BOOST_TEST(StartAll().empty());
  const TaskKey ended = m_cell.m_runners[first.Value()].m_tasks.at(0);
  Report(first, {}, {{EndNumber(1), ended, RunNumber(1), EndKind::Done, ""}});
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == first));
}

/** Guards against a new runner that gets no task. */
BOOST_AUTO_TEST_CASE(NewRunnerIsUsedAtOnce) {
  AddRunner("a", 4000);
  Submit(Spec(1, 2));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  BOOST_TEST(StartAll().empty());
  AddRunner("b", 4000);
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a quarantine that lasts for as long as nothing else changes:
 *  its end changes no runner's room. */
BOOST_AUTO_TEST_CASE(EndOfAQuarantineIsNoticed) {
  const RunnerIndex runner = AddRunner("a", 4000);
  m_cell.m_runners[runner.Value()].m_quarantinedUntil = m_now + seconds(4);
  Submit(Spec(1));
  BOOST_TEST(StartAll().empty());
  AdvanceTime(seconds(5));
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a search that failed for anti-affinity of one step and keeps
 *  other steps from the room that there is. */
BOOST_AUTO_TEST_CASE(AntiAffinityOfOneStepHidesNoRoom) {
  AddRunner("a", 64000);
  JobSpec apart = Spec(1, 2);
  apart.m_steps[0].m_antiAffinity = 1;
  Submit(apart);
  BOOST_TEST(StartAll().size() == 1U);
  Submit(Spec(2));
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a smaller task that is thought unplaceable as a larger one of
 *  its kind found no room. */
BOOST_AUTO_TEST_CASE(SmallerTaskIsStillSearched) {
  AddRunner("a", 3000);
  Submit(Spec(1));
  JobSpec small = Spec(2);
  small.m_steps[0].m_need.m_cores = Millicores(2000);
  Submit(small);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_task.m_job == JobId(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
