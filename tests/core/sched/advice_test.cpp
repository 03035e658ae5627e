/**
 * @file advice_test.cpp Queues whose policy restricts the runners.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/advice_cmd.h"

namespace bronze::sched {

namespace {

struct AdviceFixture : CellFixture {
  /** @return a job on a queue that requires tickets. */
  static JobSpec Advised(uint64_t aId, uint32_t aTasks = 1) {
    JobSpec spec = Spec(aId, aTasks);
    spec.m_policy.m_advice =
        AdvicePolicy{milliseconds(50), milliseconds(1), milliseconds(3000)};
    return spec;
  }

  /** @return the calls that one pass over the queue orders. */
  std::vector<AdviceOrder> Ask() {
    m_cell.m_capacityChanged = true;
    PlaceTasks(m_cell, m_now);
    return Take<AdviceOrder>();
  }

  void Approve(const AdviceOrder& aOrder, const std::string& aRunner,
               const std::string& aTicket) {
    ApplyAdvice(m_cell, aOrder, {{RunnerId(aRunner), aTicket}}, seconds(3),
                m_now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AdviceSuite, AdviceFixture)

/** Guards against a start without a ticket, and against one on a runner that
 *  the policy does not allow. */
BOOST_AUTO_TEST_CASE(StartsOnlyWithATicket) {
  AddRunner("a");
  AddRunner("b");
  Submit(Advised(1, 2));
  BOOST_TEST(StartAll().empty());
  auto asked = Ask();
  BOOST_TEST(asked.empty());  // The first pass has already sent the call.
  const AdviceOrder order{
      {JobId(1), 0, 0}, {RunnerIndex(0), RunnerIndex(1)}, {}};
  Approve(order, "b", "t1");
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 2U);
  for (const StartOrder& start : starts) {
    BOOST_TEST((start.m_runner == RunnerIndex(1)));
    BOOST_TEST(start.m_ticket == "t1");
  }
}

/** Guards against a call in each pass, and against asking again about refused
 *  runners: a refusal is final. */
BOOST_AUTO_TEST_CASE(AsksOnceAboutEachRunner) {
  AddRunner("a");
  Submit(Advised(1));
  const auto asked = Ask();
  BOOST_REQUIRE_EQUAL(asked.size(), 1U);
  BOOST_TEST(Ask().empty());
  ApplyAdvice(m_cell, asked[0], {}, seconds(3), m_now);
  BOOST_TEST(Ask().empty());
  AddRunner("b");
  const auto again = Ask();
  BOOST_REQUIRE_EQUAL(again.size(), 1U);
  BOOST_REQUIRE_EQUAL(again[0].m_runners.size(), 1U);
  BOOST_TEST((again[0].m_runners[0] == RunnerIndex(1)));
}

/** Guards against a start with a ticket that has expired or that the runner
 *  has refused. */
BOOST_AUTO_TEST_CASE(TicketIsRenewed) {
  AddRunner("a");
  Submit(Advised(1));
  const auto asked = Ask();
  BOOST_REQUIRE_EQUAL(asked.size(), 1U);
  Approve(asked[0], "a", "t1");
  AdvanceTime(seconds(4));
  const auto again = Ask();
  BOOST_REQUIRE_EQUAL(again.size(), 1U);
  Approve(again[0], "a", "t2");
  const auto starts = StartAll(OrderOutcome::RefusedTicket);
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_ticket == "t2");
  const auto third = Ask();
  BOOST_REQUIRE_EQUAL(third.size(), 1U);
  Approve(third[0], "a", "t3");
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a step that waits for ever because one call failed, and
 *  against repeated calls without a pause. */
BOOST_AUTO_TEST_CASE(FailedCallIsRepeatedAfterAPause) {
  AddRunner("a");
  Submit(Advised(1));
  const auto asked = Ask();
  BOOST_REQUIRE_EQUAL(asked.size(), 1U);
  ApplyAdviceFailure(m_cell, asked[0], m_now);
  BOOST_TEST(Ask().empty());
  AdvanceTime(milliseconds(400));
  BOOST_TEST(Ask().size() == 1U);
}

/** Guards against the use of a ticket for an earlier instance of the runner. */
BOOST_AUTO_TEST_CASE(TicketIsInvalidAfterARunnerRestart) {
  const RunnerIndex runner = AddRunner("a");
  Submit(Advised(1));
  const auto asked = Ask();
  BOOST_REQUIRE_EQUAL(asked.size(), 1U);
  Approve(asked[0], "a", "t1");
  m_cell.m_runners[runner.Value()].m_entry.m_startedAt = UnixMillis(7);
  BOOST_TEST(ApprovalOf(m_cell, {JobId(1), 0, 0}, runner, m_now) == nullptr);
}

/** Guards against memory growth by the advice for ended jobs. */
BOOST_AUTO_TEST_CASE(AdviceEndsWithTheJob) {
  AddRunner("a");
  Submit(Advised(1));
  BOOST_REQUIRE_EQUAL(Ask().size(), 1U);
  BOOST_TEST(CancelJob(m_cell, JobId(1), m_now).has_value());
  BOOST_TEST(m_cell.m_advice.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
