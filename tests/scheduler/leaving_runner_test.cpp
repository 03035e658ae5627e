/**
 * @file leaving_runner_test.cpp Entry nodes whose runners leave.
 */

#include <boost/test/unit_test.hpp>

#include "node_fixture.h"

namespace bronze {

namespace {

/** Of the fixture's settings: a leaving runner gives notice this long before
 *  tasks must not be started on it any more. */
constexpr Duration kNotice = seconds(2);
/** Changes that the store gives in one answer at most. */
constexpr int kAnswerRows = 500;

int64_t ToMillis(Duration aTime) {
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

int64_t NowMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct LeavingRunnerFixture : NodeFixture {
  /** Writes the entry of a runner of the fixture. */
  void PutState(size_t aRunner, const std::string& aState) {
    m_store.Put(
        "servers", "", "r" + std::to_string(aRunner + 1),
        fmt::format(
            R"({{"service":"pool","address":"{}","zone":"z","version":"v1",)"
            R"("slots":8,"state":"{}","born":1,"cold_left_ms":0,)"
            R"("capacity":{{"cpu":16000,)"
            R"("mem_mb":32000}},"labels":["a","rack1"],"sequence":1}})",
            AddressText(m_runnerAddresses.at(aRunner)), aState));
  }

  [[nodiscard]] int64_t LastStart() {
    int64_t last = 0;
    for (const auto& runner : m_runners) {
      for (const standin::RunRecord& run : runner->Runs()) {
        last = std::max(last, run.m_startedAt);
      }
    }
    return last;
  }
};

BOOST_FIXTURE_TEST_SUITE(LeavingRunnerSuite, LeavingRunnerFixture)

/** Guards against a task that is started on a runner long after it has said
 * that it leaves: runners change their entries faster than the owner reads the
 *  changes, so that this one is known late. */
BOOST_AUTO_TEST_CASE(ChangesOfOtherRunnersHideNoLeavingRunner) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, "00000000000000a1"));
  BOOST_REQUIRE(BecomesCompleted(node, "00000000000000a1"));
  PutState(1, "draining");
  constexpr int kParts = 40;
  for (int at = 0; at < kParts * kAnswerRows; ++at) PutState(1, "draining");
  PutState(0, "draining");
  const int64_t leavesAt = NowMillis();
  std::vector<std::string> jobs;
  while (NowMillis() < leavesAt + 2 * ToMillis(kNotice)) {
    jobs.push_back(fmt::format("{:016x}", 0xb00 + jobs.size()));
    BOOST_REQUIRE(SubmitUntilAccepted(node, jobs.back()));
    std::this_thread::sleep_for(milliseconds(200));
  }
  BOOST_TEST(LastStart() - leavesAt <= ToMillis(kNotice));
  // The jobs were held back, not lost.
  PutState(0, "ready");
  for (const std::string& job : jobs) BOOST_TEST(BecomesCompleted(node, job));
}

/** Guards against a start that waits for a connection and is sent although the
 *  runner has said meanwhile that it leaves. */
BOOST_AUTO_TEST_CASE(WaitingStartIsNotSentToALeavingRunner) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, "00000000000000a1"));
  BOOST_REQUIRE(BecomesCompleted(node, "00000000000000a1"));
  standin::FakeRunnerFaults faults;
  faults.m_startDelay = milliseconds(550);
  m_runners[0]->SetFaults(faults);
  // After an answer, the owner pauses before it waits for changes again.
  PutState(1, "draining");
  std::this_thread::sleep_for(milliseconds(350));
  const std::string job = "00000000000000a2";
  BOOST_REQUIRE(Call(node, "POST", "/queue/" + job,
                     R"({"spec":"s","steps":[{"count":12,"cpu":100,)"
                     R"("mem_mb":10,"estimate_ms":100}]})")
                    .m_status == 200);
  const auto started = [&] {
    size_t count = 0;
    for (const auto& [task, starts] : m_runners[0]->Starts()) {
      count += task.rfind(job, 0) == 0 ? 1 : 0;
    }
    return count;
  };
  BOOST_REQUIRE(Eventually([&] { return started() > 0; }));
  std::this_thread::sleep_for(milliseconds(50));
  const size_t before = started();
  PutState(0, "draining");
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(started() == before);
  BOOST_TEST(before < 12U);
  faults.m_startDelay = {};
  m_runners[0]->SetFaults(faults);
  PutState(0, "ready");
  BOOST_TEST(BecomesCompleted(node, job));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
