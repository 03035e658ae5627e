/**
 * @file slow_store_test.cpp Tests what callers are answered while the store
 * takes a large share of their window for each transaction.
 */

#include <boost/test/unit_test.hpp>
#include <map>

#include "node_fixture.h"

namespace bronze {

namespace {

constexpr Duration kSlowTransaction = milliseconds(400);
constexpr Duration kCallPause = milliseconds(25);
constexpr int kCalls = 240;
/** Jobs under way whose states change more often than a slow store can write
 *  them. */
constexpr int kChains = 300;
constexpr int kChainSteps = 10;

struct SlowStoreFixture : NodeFixture {
  void SlowDown() {
    standin::RowStoreFaults faults;
    faults.m_commitDelay = kSlowTransaction;
    m_store.SetFaults(faults);
  }

  /** Submits a job without waiting for the answer. */
  std::future<HttpReply> BeginSubmit(const RunningNode& aNode,
                                     const std::string& aId) {
    return std::async(std::launch::async,
                      [this, &aNode, aId] { return Submit(aNode, aId); });
  }

  /** Submits kChains jobs of many short steps, one after another. */
  void StartChains(const RunningNode& aNode) {
    std::string steps;
    for (int at = 0; at < kChainSteps; ++at) {
      steps += fmt::format(
          R"({}{{"count":1,"cpu":50,"mem_mb":10,"estimate_ms":100{}}})",
          at == 0 ? "" : ",",
          at == 0 ? "" : fmt::format(R"(,"after":[{}])", at - 1));
    }
    std::vector<std::future<HttpReply>> replies;
    replies.reserve(kChains);
    for (int at = 0; at < kChains; ++at) {
      replies.push_back(
          std::async(std::launch::async, [this, &aNode, &steps, at] {
            return Call(aNode, "POST", "/queue/" + ChainName(at),
                        R"({"spec":"s","steps":[)" + steps + "]}");
          }));
    }
    for (auto& reply : replies) BOOST_TEST(reply.get().m_status == 200);
  }

  /** Submits kCalls jobs, some tens a second, through the nodes in turn.
   *  @return the number of answers, by status and body. */
  std::map<std::string, int> SubmitMany(
      const std::vector<RunningNode*>& aNodes) {
    std::vector<std::future<HttpReply>> replies;
    replies.reserve(kCalls);
    for (int at = 0; at < kCalls; ++at) {
      replies.push_back(BeginSubmit(*aNodes[at % aNodes.size()], JobName(at)));
      std::this_thread::sleep_for(kCallPause);
    }
    std::map<std::string, int> answers;
    for (auto& pending : replies) {
      const HttpReply reply = pending.get();
      ++answers[fmt::format("{} {}", reply.m_status, reply.m_body)];
    }
    return answers;
  }

  static std::string ChainName(int aNumber) {
    return fmt::format("{:016x}", 0xc000 + aNumber);
  }

  static std::string JobName(int aNumber) {
    return fmt::format("{:016x}", 0x51000 + aNumber);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SlowStoreSuite, SlowStoreFixture)

/** Guards against refusals of jobs that a commit can carry within the caller's
 *  window: the owner saw only the time-out of one attempt instead of the
 *  window, and counted all changed jobs as if they went first. */
BOOST_AUTO_TEST_CASE(CallsWithRoomForACommitAreAccepted) {
  RunningNode& owner = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(owner, "00000000000000a1"));
  RunningNode& other = AddNode("n2");
  BOOST_REQUIRE(SubmitUntilAccepted(other, "00000000000000a2"));
  StartChains(owner);
  SlowDown();
  const auto answers = SubmitMany({&owner, &other});
  for (const auto& [answer, count] : answers) {
    BOOST_TEST(answer == "200 {}", count << " answers: " << answer);
  }
  m_store.SetFaults({});
  for (int at = 0; at < kCalls; ++at) {
    BOOST_TEST(BecomesCompleted(owner, JobName(at)), JobName(at));
  }
  for (int at = 0; at < kChains; ++at) {
    BOOST_TEST(BecomesCompleted(owner, ChainName(at)), ChainName(at));
  }
  for (const auto& [task, count] : Starts()) BOOST_TEST(count == 1, task);
  BOOST_TEST(owner.Metrics().find("admissions_total{cell=\"0\","
                                  "verdict=\"too_late\"} 0") !=
             std::string::npos);
}

/** Guards against an unknown outcome for a job that was never sent to the
 * store, and against a refusal of one that was: both callers' deadlines come
 * while the store works on the first job. */
BOOST_AUTO_TEST_CASE(DeadlineSettlesOnlyJobsThatWereNotSent) {
  constexpr milliseconds kShortWindow(600);
  const std::string body =
      R"({"spec":"s","steps":[{"count":1,"cpu":50,"mem_mb":10}]})";
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, "00000000000000a1"));
  standin::RowStoreFaults faults;
  faults.m_commitDelay = seconds(5);
  std::string sent;
  std::string unsent;
  HttpReply refused;
  int attempt = 0;
  // Repeated if another commit was under way, so that the first job was not
  // sent either.
  BOOST_REQUIRE(Eventually([&] {
    sent = fmt::format("{:016x}", 0xb100 + attempt);
    unsent = fmt::format("{:016x}", 0xb200 + attempt);
    ++attempt;
    m_store.SetFaults(faults);
    auto first = std::async(std::launch::async, [&] {
      return Call(node, "POST", "/queue/" + sent, body, kShortWindow);
    });
    while (m_store.Value("job", "c0", sent).empty() &&
           first.wait_for(milliseconds(5)) != std::future_status::ready) {
    }
    refused = Call(node, "POST", "/queue/" + unsent, body, kShortWindow);
    const bool wasSent = first.get().m_status == 504;
    m_store.SetFaults({});
    if (!wasSent) {
      const std::string next = fmt::format("{:016x}", 0xb300 + attempt);
      BOOST_TEST(SubmitUntilAccepted(node, next));
    }
    return wasSent;
  }));
  BOOST_TEST(refused.m_status == 503);
  BOOST_TEST(m_store.Value("job", "c0", unsent).empty());
  BOOST_TEST(BecomesCompleted(node, sent));
  BOOST_TEST(Call(node, "GET", "/queue/" + unsent).m_status == 410);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
