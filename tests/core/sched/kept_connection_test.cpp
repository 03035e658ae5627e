/**
 * @file kept_connection_test.cpp What a cell concludes from a report that may
 * have been made for an earlier renewal.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

namespace {

struct KeptConnectionFixture : CellFixture {
  /** Applies a report without any runs. */
  void ReportNothing(RunnerIndex aRunner, bool aOnKeptConnection) {
    RunnerReport report;
    report.m_allEndsListed = true;
    report.m_clock = RunnerMillis(m_now.time_since_epoch().count() / 1000);
    report.m_startedAt = UnixMillis(1);
    report.m_onKeptConnection = aOnKeptConnection;
    ApplyReport(m_cell, aRunner, report, m_now, m_now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(KeptConnectionSuite, KeptConnectionFixture)

/** Guards against a run that counts as ended, and starts again elsewhere, since
 *  a list that was made before its start lacks it: the second answer to an
 *  earlier renewal, read as the answer to this one. */
BOOST_AUTO_TEST_CASE(AbsenceCountsOnlyOnANewConnection) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE(StartAll().size() == 1U);
  AdvanceTime(milliseconds(100));
  ReportNothing(runner, true);
  BOOST_TEST(StartAll().empty());
  BOOST_TEST((TaskOf(1).m_phase == TaskPhase::Running));
  AdvanceTime(seconds(1));
  const auto renewal = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST(renewal->m_newConnection);
  BOOST_TEST((renewal->m_wait == Duration::zero()));
  ReportNothing(runner, false);
  BOOST_TEST(StartAll().size() == 1U);
  AdvanceTime(seconds(1));
  const auto next = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(!next->m_newConnection);
}

/** Guards against a new owner that counts a runner as free since an empty list
 *  on a connection from an earlier term was read as the first report. */
BOOST_AUTO_TEST_CASE(FirstRenewalUsesANewConnection) {
  AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE(StartAll().size() == 1U);
  TakeOver();
  RunnerEntry entry;
  entry.m_id = RunnerId("a");
  entry.m_address = "127.0.0.1:1";
  const RunnerIndex runner = UpdateRunner(m_cell, entry, m_now, m_unixNow);
  const auto renewal = NextRenewal(m_cell, runner, m_now);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST(renewal->m_newConnection);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
