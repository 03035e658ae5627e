/**
 * @file runner_entry_test.cpp What an entry in the platform's list, or an
 * answer from the address that it names, tells about a runner.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

BOOST_FIXTURE_TEST_SUITE(RunnerEntrySuite, CellFixture)

namespace {

RunnerReport ReportFrom(const std::string& aAddress) {
  RunnerReport report;
  report.m_address = aAddress;
  report.m_clock = RunnerMillis(100000);
  report.m_startedAt = UnixMillis(1);
  return report;
}

}  // namespace

/** Guards against a second run beside one that goes on: another writer's entry
 *  names the address of another runner, which answers that it is not the one
 *  that was meant (review/13). */
BOOST_AUTO_TEST_CASE(AnswerFromAnUnprovenAddressEndsNothing) {
  const RunnerIndex index = AddRunner("a");
  const Runner& runner = m_cell.m_runners[index.Value()];
  const auto outcome = [&](const std::string& aAddress) {
    return OutcomeAt(runner, aAddress, OrderOutcome::WrongInstance);
  };
  BOOST_TEST((outcome("10.0.0.1:1") == OrderOutcome::WrongAddress));
  ApplyReport(m_cell, index, ReportFrom("10.0.0.1:1"), m_now, m_now);
  BOOST_TEST((outcome("10.0.0.1:1") == OrderOutcome::WrongInstance));
  BOOST_TEST((outcome("10.0.0.2:1") == OrderOutcome::WrongAddress));
  BOOST_TEST((OutcomeAt(runner, "10.0.0.2:1", OrderOutcome::RefusedRoom) ==
              OrderOutcome::RefusedRoom));
  // A new instance has answered nowhere yet.
  RunnerEntry entry = runner.m_entry;
  entry.m_startedAt = UnixMillis(2);
  UpdateRunner(m_cell, entry, m_now, m_unixNow);
  BOOST_TEST((outcome("10.0.0.1:1") == OrderOutcome::WrongAddress));
}

/** Guards against tasks that are placed again while their runs go on, at once
 *  after such an answer, and against tasks that are never placed again. */
BOOST_AUTO_TEST_CASE(WrongAddressLeavesTheRunsToTheirLease) {
  AddRunner("a");
  AddRunner("b");
  Submit(Spec(1));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  const RunnerIndex used = starts[0].m_runner;
  BOOST_REQUIRE(NextRenewal(m_cell, used, m_now).has_value());
  ApplyRenewalFailure(m_cell, used, OrderOutcome::WrongAddress, m_now);
  BOOST_TEST(StartAll().empty());
  const TimePoint lapsesAt = m_cell.m_runners[used.Value()].m_lapsesAt;
  BOOST_TEST((lapsesAt > m_now));
  RemoveRunner(m_cell, m_cell.m_runners[used.Value()].m_entry.m_id);
  m_now = lapsesAt + milliseconds(1);
  AdvanceRunners(m_cell, m_now);
  const auto again = StartAll();
  BOOST_REQUIRE_EQUAL(again.size(), 1U);
  BOOST_TEST((again[0].m_runner != used));
}

/** Guards against an entry of another writer, with all fields, that takes over
 *  the address or the service of a runner. */
BOOST_AUTO_TEST_CASE(ContradictingEntriesAreNotTheRunners) {
  const RunnerIndex index = AddRunner("a");
  RunnerEntry entry = m_cell.m_runners[index.Value()].m_entry;
  entry.m_address = "10.0.0.1:1";
  entry.m_startedAt = UnixMillis(2);
  // Before the runner has answered, nothing is known that an entry contradicts.
  BOOST_TEST(!ContradictsRunner(m_cell, entry));
  UpdateRunner(m_cell, entry, m_now, m_unixNow);
  m_cell.m_runners[index.Value()].m_answeredAt = entry.m_address;
  BOOST_TEST(!ContradictsRunner(m_cell, entry));
  RunnerEntry moved = entry;
  moved.m_address = "10.0.0.2:1";
  BOOST_TEST(ContradictsRunner(m_cell, moved));
  moved.m_startedAt = UnixMillis(3);
  BOOST_TEST(!ContradictsRunner(m_cell, moved));
  for (const int64_t startedAt : {0, 1}) {
    RunnerEntry earlier = entry;
    earlier.m_startedAt = UnixMillis(startedAt);
    BOOST_TEST(ContradictsRunner(m_cell, earlier));
  }
  RunnerEntry otherService = moved;
  otherService.m_service = ServiceId("another");
  BOOST_TEST(ContradictsRunner(m_cell, otherService));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
