/**
 * @file owner_handover_test.cpp Tests which of several unequal VMs owns a cell,
 * with the store in this process.
 */

#include <boost/test/unit_test.hpp>

#include "codec/peer_call_cbor.h"
#include "node_fixture.h"
#include "platform/runner_client.h"
#include "scheduler/boot_clock.h"

namespace bronze {

namespace {

using standin::RowStoreFaults;

constexpr double kLarge = 1.0;
constexpr double kSmall = 0.12;
const std::string kJob = "00000000000000a1";

struct HandoverFixture : NodeFixture {
  OwnerRow Row() {
    const auto row = DecodeOwnerRow(m_store.Value("cell", "c0", "owner"));
    return row ? row.value() : OwnerRow();
  }

  bool BecomesOwner(const std::string& aVm) {
    return Eventually([&] { return Row().m_vm == aVm; });
  }

  /** Stores the row of a cell whose last owner no longer exists. */
  void PutFormerOwner(const std::string& aVm, double aCores,
                      const std::string& aSuccessor = "") {
    OwnerRow row;
    row.m_vm = aVm;
    row.m_incarnation = 1;
    row.m_sequence = 1;
    row.m_capability.m_cpu = Millicores(static_cast<int64_t>(aCores * 1000.0));
    row.m_longestLease = seconds(6);
    row.m_successor = aSuccessor;
    m_store.Put("cell", "c0", "owner", EncodeOwnerRow(row));
  }

  /** Asks the node for its cell, as a large VM of the given name. */
  PeerAnswer AskFor(const RunningNode& aNode, const std::string& aVm) {
    PeerCall request;
    request.m_verb = PeerVerb::HandOver;
    request.m_cell = CellId(0);
    request.m_window = seconds(2);
    request.m_handover = {VmId(aVm), Incarnation(1), {Millicores(1000), {}}};
    HttpCall call;
    call.m_method = "POST";
    call.m_target = "/peer/call";
    call.m_headers = {{"Content-Type", "application/cbor"}};
    call.m_body = EncodePeerCall(request);
    const auto answer =
        DecodePeerAnswer(Send(aNode.PeerAddress(), call).m_body);
    if (answer) return answer.value();
    PeerAnswer none;
    none.m_error = answer.error();
    return none;
  }

  /** Asks until the owner has scheduled for long enough. */
  bool IsHandedTo(const RunningNode& aNode, const std::string& aVm) {
    PeerAnswer answer;
    const bool isAccepted = Eventually([&] {
      answer = AskFor(aNode, aVm);
      return !answer.m_error;
    });
    if (answer.m_error) BOOST_TEST_MESSAGE(answer.m_error->m_message);
    return isAccepted;
  }

  void CheckEachTaskRanOnce() {
    for (const auto& [task, count] : Starts()) BOOST_TEST(count == 1, task);
    for (const auto& runner : m_runners) {
      BOOST_TEST(runner->MaxConcurrentRuns() <= 1);
    }
  }
};

bool HasMetric(RunningNode& aNode, const std::string& aLine) {
  return aNode.Metrics().find("bronze_" + aLine + "\n") != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(OwnerHandoverSuite, HandoverFixture)

/** Guards against a cell that stays on a small VM after a large one was added,
 *  and against calls that are refused and tasks that run twice while the cell
 *  is handed over. */
BOOST_AUTO_TEST_CASE(CellMovesToAnAddedLargeVm) {
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  RunningNode& large = AddNode("large", false, kLarge);
  int submitted = 0;
  BOOST_REQUIRE(Eventually([&] {
    const std::string job = fmt::format("{:016x}", 0xb000 + submitted);
    const RunningNode& entry = submitted++ % 2 == 0 ? small : large;
    const int status = Submit(entry, job).m_status;
    // The large node may still read its configuration.
    const bool begins = &entry == &large && Row().m_vm == "small";
    BOOST_TEST((status == 200 || begins), fmt::format("{} {}", job, status));
    BOOST_TEST(Call(small, "GET", "/queue/" + kJob).m_status == 200);
    return Row().m_vm == "large" && submitted % 10 == 0;
  }));
  BOOST_TEST(BecomesCompleted(large, kJob));
  BOOST_TEST(BecomesCompleted(small, "000000000000b000"));
  BOOST_TEST(HasMetric(small, "handovers_total{result=\"done\"} 1"));
  BOOST_TEST(
      HasMetric(large, "handover_requests_total{result=\"accepted\"} 1"));
  BOOST_TEST(Row().m_successor.empty());
  CheckEachTaskRanOnce();
}

/** Guards against a small VM that claims a cell while a large one reaches the
 *  store: the last owner was large. */
BOOST_AUTO_TEST_CASE(LargeVmClaimsBeforeSmallOnes) {
  PutFormerOwner("gone", kLarge);
  for (int at = 0; at < 4; ++at) {
    AddNode("small-" + std::to_string(at), false, kSmall);
  }
  RunningNode& large = AddNode("large", false, kLarge);
  BOOST_REQUIRE(SubmitUntilAccepted(large, kJob));
  BOOST_TEST(Row().m_vm == "large");
  BOOST_TEST(Row().m_sequence > 1U);
}

/** Guards against a cell that has no owner because all large VMs are gone. */
BOOST_AUTO_TEST_CASE(SmallVmClaimsAfterABoundedTime) {
  PutFormerOwner("gone", kLarge);
  const TimePoint begunAt = BootNow();
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(BecomesOwner("small"));
  // 2.1 s until the row counts as unchanged, 2.1 s of delay at most, and the
  // reads of layout and directory.
  BOOST_TEST((BootNow() - begunAt < seconds(6)));
  BOOST_TEST(SubmitUntilAccepted(small, kJob));
  BOOST_TEST(
      HasMetric(small, "claims_deferred_total{reason=\"smaller_vm\"} 1"));
}

/** Guards against a cell without an owner after its successor, and then the
 *  former owner as well, has ended midway. */
BOOST_AUTO_TEST_CASE(CellIsClaimedIfSuccessorAndFormerOwnerEnd) {
  RunningNode& first = AddNode("first", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(first, kJob));
  RunningNode& second = AddNode("second", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(second, "00000000000000a2"));
  BOOST_REQUIRE(IsHandedTo(first, "ghost"));
  first.Stop();
  const TimePoint begunAt = BootNow();
  BOOST_REQUIRE(BecomesOwner("second"));
  // The asker's share is known, so that the delay of small VMs applies, too.
  BOOST_TEST((BootNow() - begunAt < seconds(6)));
  BOOST_TEST(BecomesCompleted(second, kJob));
  BOOST_TEST(BecomesCompleted(second, "00000000000000a2"));
  CheckEachTaskRanOnce();
}

/** Guards against a cell that is lost because the store turns its successor
 *  away, and against a successor that never gets it afterwards. */
BOOST_AUTO_TEST_CASE(SuccessorThatTheStoreRefusesGetsTheCellLater) {
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  AddNode("large", true, kLarge);
  RowStoreFaults faults;
  faults.m_refusedServer = 1;
  m_store.SetFaults(faults);
  BOOST_REQUIRE(IsHandedTo(small, "large"));
  BOOST_REQUIRE(BecomesOwner("small"));
  BOOST_TEST(SubmitUntilAccepted(small, "00000000000000a2"));
  m_store.SetFaults({});
  BOOST_REQUIRE(BecomesOwner("large"));
  BOOST_TEST(BecomesCompleted(small, "00000000000000a2"));
  CheckEachTaskRanOnce();
}

/** Guards against an owner that stops to schedule because the store refuses the
 *  release of its cell. */
BOOST_AUTO_TEST_CASE(RefusedReleaseIsWithdrawn) {
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  RowStoreFaults faults;
  PeerAnswer answer;
  BOOST_REQUIRE(Eventually([&] {
    faults.m_rejectedKey = "owner";
    m_store.SetFaults(faults);
    answer = AskFor(small, "ghost");
    m_store.SetFaults({});
    return answer.m_error && answer.m_error->m_message == "withdrawn";
  }));
  BOOST_TEST(SubmitUntilAccepted(small, "00000000000000a2"));
  BOOST_TEST(BecomesCompleted(small, "00000000000000a2"));
  BOOST_TEST(Row().m_vm == "small");
  BOOST_TEST(HasMetric(small, "handovers_total{result=\"withdrawn\"} 1"));
  CheckEachTaskRanOnce();
}

/** Guards against a process that does not end, or ends without a release, as it
 *  is told to end while it hands its cell over. */
BOOST_AUTO_TEST_CASE(ProcessMayEndDuringAHandover) {
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  RunningNode& other = AddNode("other", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(other, "00000000000000a2"));
  // Its term must last for 2 s first.
  std::this_thread::sleep_for(milliseconds(2300));
  RowStoreFaults faults;
  faults.m_commitDelay = milliseconds(300);
  m_store.SetFaults(faults);
  auto answer =
      std::async(std::launch::async, [&] { return AskFor(small, "ghost"); });
  std::this_thread::sleep_for(milliseconds(100));
  small.Stop();
  BOOST_TEST(!answer.get().m_error.has_value());
  m_store.SetFaults({});
  BOOST_REQUIRE(BecomesOwner("other"));
  BOOST_TEST(BecomesCompleted(other, kJob));
  BOOST_TEST(BecomesCompleted(other, "00000000000000a2"));
  CheckEachTaskRanOnce();
}

/** Guards against a second owner, or a lost one, if the answers to the release
 *  and to the claim are lost, and against orders of the former owner that take
 *  effect. */
BOOST_AUTO_TEST_CASE(LostAnswersLeaveOneOwner) {
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  RowStoreFaults faults;
  faults.m_losesAnswers = true;
  m_store.SetFaults(faults);
  RunningNode& large = AddNode("large", false, kLarge);
  BOOST_REQUIRE(BecomesOwner("large"));
  m_store.SetFaults({});
  BOOST_TEST(SubmitUntilAccepted(large, "00000000000000a2"));
  BOOST_TEST(BecomesCompleted(small, "00000000000000a2"));
  BOOST_TEST(BecomesCompleted(small, kJob));
  CheckEachTaskRanOnce();
}

/** Guards against orders and commits of the former term that take effect after
 *  the handover. */
BOOST_AUTO_TEST_CASE(LateOrdersOfTheFormerTermAreRefused) {
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  boost::asio::io_context context;
  StoreClient store(context, m_storeAddress, BootNow);
  RowVersion formerVersion;
  store.Read("cell", "c0", "", seconds(5), [&](const RowsResult& aResult) {
    for (const StoreRow& row : aResult.m_rows) formerVersion = row.m_version;
  });
  context.run();
  BOOST_REQUIRE(formerVersion.Value() > 0U);
  RunningNode& large = AddNode("large", false, kLarge);
  BOOST_REQUIRE(BecomesOwner("large"));
  BOOST_REQUIRE(SubmitUntilAccepted(large, "00000000000000a2"));
  BOOST_REQUIRE(BecomesCompleted(large, "00000000000000a2"));

  context.restart();
  StoreTransaction commit;
  const RowKey ownerKey{"cell", "c0", "owner"};
  commit.m_expected.push_back({ownerKey, formerVersion});
  commit.m_puts.push_back({ownerKey, EncodeOwnerRow({}), {}});
  StoreOutcome committed = StoreOutcome::Unknown;
  store.Transact(commit, seconds(5), [&](const TransactionResult& aResult) {
    committed = aResult.m_outcome;
  });
  context.run();
  BOOST_TEST((committed == StoreOutcome::Conflict));

  context.restart();
  RunnerClient runners(context);
  sched::OrderOutcome started = sched::OrderOutcome::Unknown;
  sched::StartOrder order;
  order.m_task.m_job = JobId(0xa3);
  order.m_run = sched::RunNumber(1);
  runners.Start({AddressText(m_runnerAddresses[0]), RunnerId("r1"),
                 FencingToken(formerVersion.Value())},
                order, "{}", sched::RunnerMillis(INT64_MAX), {},
                [&](const OrderAnswer& aAnswer) {
                  started = aAnswer.m_outcome;
                  context.stop();
                });
  context.run();
  BOOST_TEST((started == sched::OrderOutcome::RefusedFence));
  BOOST_TEST(Row().m_vm == "large");
  CheckEachTaskRanOnce();
}

/** Guards against a new process of a large VM that does not get the cell back
 *  from the small VM that has claimed it meanwhile. */
BOOST_AUTO_TEST_CASE(RestartedLargeVmGetsTheCellBack) {
  RunningNode& large = AddNode("large", false, kLarge);
  BOOST_REQUIRE(SubmitUntilAccepted(large, kJob));
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, "00000000000000a2"));
  large.Stop();
  BOOST_REQUIRE(BecomesOwner("small"));
  RunningNode& again = AddNode("large", false, kLarge);
  BOOST_REQUIRE(BecomesOwner("large"));
  BOOST_TEST(BecomesCompleted(again, kJob));
  BOOST_TEST(BecomesCompleted(small, "00000000000000a2"));
  CheckEachTaskRanOnce();
}

/** Guards against a large VM that asks for all cells of a small one, and is
 * then the one that has less for each. */
BOOST_AUTO_TEST_CASE(LargeVmLeavesACellToTheSmallOne) {
  SetCells(4);
  RunningNode& small = AddNode("small", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(small, kJob));
  const auto cellsOf = [this](const std::string& aVm) {
    int cells = 0;
    for (int at = 0; at < 4; ++at) {
      const auto row = DecodeOwnerRow(
          m_store.Value("cell", fmt::format("c{}", at), "owner"));
      if (row && row.value().m_vm == aVm) ++cells;
    }
    return cells;
  };
  BOOST_REQUIRE(Eventually([&] { return cellsOf("small") == 4; }));
  AddNode("large", false, 4.0 * kSmall);
  BOOST_REQUIRE(Eventually([&] { return cellsOf("large") == 3; }));
  // Longer than the pause between two requests.
  std::this_thread::sleep_for(seconds(3));
  BOOST_TEST(cellsOf("large") == 3);
  BOOST_TEST(cellsOf("small") == 1);
  BOOST_TEST(BecomesCompleted(small, kJob));
  CheckEachTaskRanOnce();
}

/** Guards against cells that move between VMs of the same size. */
BOOST_AUTO_TEST_CASE(CellStaysAmongEqualVms) {
  RunningNode& first = AddNode("first", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(first, kJob));
  RunningNode& second = AddNode("second", false, kSmall);
  BOOST_REQUIRE(SubmitUntilAccepted(second, "00000000000000a2"));
  // Longer than the reads and the term that a request needs.
  std::this_thread::sleep_for(seconds(4));
  BOOST_TEST(Row().m_vm == "first");
  BOOST_TEST(second.Metrics().find("handover_requests_total") ==
             std::string::npos);
  BOOST_TEST(AskFor(second, "ghost").m_error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
