/**
 * @file overtaken_order_test.cpp Tests what follows if an order is refused, or
 * not sent, for a reason of its owner's and not of the runner's: a newer order
 * has overtaken it, or the owner may not send it.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

BOOST_FIXTURE_TEST_SUITE(OvertakenOrderSuite, CellFixture)

/** Guards against room that a cancelled job holds for 0.7 s longer, as a start
 *  on another connection overtook the stop (lost-runners-then-owner, seed 193:
 *  48 stops in a play). */
BOOST_AUTO_TEST_CASE(OvertakenStopIsRepeatedAtOnce) {
  AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  BOOST_REQUIRE(CancelJob(m_cell, JobId(1), m_now));
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  AdvanceTime(milliseconds(10));
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::RefusedFence, m_now);
  AdvanceTime(milliseconds(50));
  AdvanceRunners(m_cell, m_now);
  BOOST_REQUIRE_EQUAL(Take<StopOrder>().size(), 1U);
  // The repeated one has no answer yet.
  AdvanceTime(milliseconds(50));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().empty());
}

/** Guards against a stop that was answered and is ordered again. */
BOOST_AUTO_TEST_CASE(AnsweredStopIsNotRepeated) {
  AddRunner("a");
  Submit(Spec(1));
  StartAll();
  BOOST_REQUIRE(CancelJob(m_cell, JobId(1), m_now));
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::Applied, m_now);
  ApplyStopAnswer(m_cell, stops[0], OrderOutcome::RefusedFence, m_now);
  AdvanceTime(milliseconds(50));
  AdvanceRunners(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().empty());
}

/** Guards against runners that get no tasks for a moment because their owner
 *  could not send: some 50 starts at once paused 50 runners. */
BOOST_AUTO_TEST_CASE(OrderThatSaysNothingAboutTheRunnerDoesNotPauseIt) {
  AddRunner("a");
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll(OrderOutcome::Withdrawn).size(), 1U);
  BOOST_REQUIRE_EQUAL(StartAll(OrderOutcome::RefusedFence).size(), 1U);
  BOOST_REQUIRE_EQUAL(StartAll(OrderOutcome::RefusedRoom).size(), 1U);
  BOOST_TEST(StartAll().empty());
  AdvanceTime(milliseconds(300));
  m_cell.m_capacityChanged = true;
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a second run: on a connection that had carried answers, the
 *  refusal may be that of an earlier order, and the start be carried out. */
BOOST_AUTO_TEST_CASE(FenceRefusalOnAKeptConnectionLeavesTheStartOpen) {
  BOOST_TEST((OutcomeOfOwnStart(OrderOutcome::RefusedFence, true) ==
              OrderOutcome::Unknown));
  BOOST_TEST((OutcomeOfOwnStart(OrderOutcome::RefusedFence, false) ==
              OrderOutcome::RefusedFence));
  BOOST_TEST((OutcomeOfOwnStart(OrderOutcome::Applied, true) ==
              OrderOutcome::Applied));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
