/**
 * @file open_stop_test.cpp Tests the count of the runs that are being stopped.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/open_stop_func.h"

namespace bronze::sched {

/** Guards against a run that does not stop and that no metric shows. */
BOOST_FIXTURE_TEST_CASE(RunsThatDoNotStopAreCounted, CellFixture) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Spec(1, 2));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  BOOST_TEST(OpenStopsOf(m_cell, m_now).m_count == 0U);
  BOOST_REQUIRE(CancelJob(m_cell, JobId(1), m_now));
  AdvanceTime(seconds(3));
  const OpenStops open = OpenStopsOf(m_cell, m_now);
  BOOST_TEST(open.m_count == 2U);
  BOOST_TEST((open.m_longest == seconds(3)));
  Report(runner, {}, {});
  BOOST_TEST(OpenStopsOf(m_cell, m_now).m_count == 0U);
}

}  // namespace bronze::sched
