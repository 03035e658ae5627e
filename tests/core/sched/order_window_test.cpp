/**
 * @file order_window_test.cpp Tests the limit on starts that no runner has
 * answered.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/order_window_func.h"

namespace bronze::sched {

BOOST_FIXTURE_TEST_SUITE(OrderWindowSuite, CellFixture)

/** Guards against a burst of starts that delays the lease renewals behind it:
 *  beyond the limit, tasks stay in the queue until a start is answered. */
BOOST_AUTO_TEST_CASE(BurstIsLimitedUntilStartsAreAnswered) {
  AddRunner("a", 400'000);
  m_cell.m_window.m_limit = 10.0;
  Submit(Spec(1, 40));
  PlaceTasks(m_cell, m_now);
  CommitAll();
  const auto starts = Take<StartOrder>();
  BOOST_TEST(starts.size() == 10U);
  BOOST_TEST(m_cell.m_window.m_inFlight == 10U);
  PlaceTasks(m_cell, m_now);
  CommitAll();
  BOOST_TEST(Take<StartOrder>().empty());
  for (size_t at = 0; at < 4; ++at) {
    ApplyStartAnswer(m_cell, starts[at], OrderOutcome::Applied, {}, m_now);
  }
  PlaceTasks(m_cell, m_now);
  CommitAll();
  // Four were answered, each quickly, which raises the limit by one.
  BOOST_TEST(Take<StartOrder>().size() == 8U);
}

/** Guards against a count of pending starts that drifts when tasks leave the
 *  queue other than by an answer: the owner would stop to place tasks. */
BOOST_AUTO_TEST_CASE(PendingStartsAreCountedExactly) {
  const RunnerIndex runner = AddRunner("a", 400'000);
  Submit(Spec(1, 5));
  Submit(Spec(2, 5));
  PlaceTasks(m_cell, m_now);
  BOOST_TEST(m_cell.m_window.m_intended == 10U);
  BOOST_REQUIRE(CancelJob(m_cell, JobId(1), m_now).has_value());
  BOOST_TEST(m_cell.m_window.m_intended == 5U);
  RemoveRunner(m_cell, RunnerId("a"));
  CommitAll();
  // The runner has left since the tasks were placed.
  BOOST_TEST(m_cell.m_window.m_intended == 0U);
  BOOST_TEST(m_cell.m_window.m_inFlight == 0U);
  m_cell.m_runners[runner.Value()].m_listed = true;
  const auto starts = StartAll(OrderOutcome::Unknown);
  BOOST_TEST(starts.size() == 5U);
  BOOST_TEST(m_cell.m_window.m_intended == 0U);
  BOOST_TEST(m_cell.m_window.m_inFlight == 0U);
}

/** Guards against a limit that does not follow the time that runners take to
 *  answer, as when the VM's link is saturated. */
BOOST_AUTO_TEST_CASE(LimitFollowsTheAnswers) {
  OrderWindow window;
  const double before = window.m_limit;
  NoteAnswer(window, milliseconds(600), m_now);
  const double cut = window.m_limit;
  BOOST_TEST(cut < before);
  // Answers to orders from before the cut do not cut again.
  NoteAnswer(window, milliseconds(600), m_now + milliseconds(50));
  BOOST_TEST(window.m_limit == cut);
  for (int i = 0; i < 200; ++i) {
    NoteAnswer(window, milliseconds(600), m_now + seconds(i + 1));
  }
  BOOST_TEST(window.m_limit >= 1.0);
  BOOST_TEST((RenewalSpacing(window) > milliseconds(100)));
  for (int i = 0; i < 1000; ++i) NoteAnswer(window, milliseconds(3), m_now);
  BOOST_TEST(window.m_limit > before);
  BOOST_TEST((RenewalSpacing(window) == Duration::zero()));
}

/** Guards against leases that lapse because renewals are spaced out too far on
 *  a congested VM. */
BOOST_AUTO_TEST_CASE(SpacingIsFarBelowALease) {
  OrderWindow window;
  for (int i = 0; i < 1000; ++i) NoteAnswer(window, seconds(5), m_now);
  BOOST_TEST((RenewalSpacing(window) < seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
