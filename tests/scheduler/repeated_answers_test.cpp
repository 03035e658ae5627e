/**
 * @file repeated_answers_test.cpp Entry nodes with runners and a store whose
 * answers arrive twice.
 */

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "node_fixture.h"
#include "repeating_proxy.h"

namespace bronze {

namespace {

/** Second answers arrive up to this time after the first. */
constexpr Duration kLongestDelay = milliseconds(40);
constexpr int kJobs = 60;

std::string JobName(int aNumber) {
  return fmt::format("{:016x}", 0xb00 + aNumber);
}

}  // namespace

/** Proxies stand before the store and the runners. */
struct RepeatingFixture : NodeFixture {
  RepeatingFixture() {
    for (size_t at = 0; at < m_runners.size(); ++at) {
      m_runnerProxies.push_back(std::make_unique<RepeatingProxy>(
          m_platformThreads.Context(0), m_runnerAddresses[at], at + 1));
      PutRunner("r" + std::to_string(at + 1),
                m_runnerProxies.back()->Address());
    }
    m_storeProxy = std::make_unique<RepeatingProxy>(
        m_platformThreads.Context(0), m_storeAddress, 100);
    m_storeAddress = m_storeProxy->Address();
  }

  void RepeatRunners(double aShare, size_t aBytes = SIZE_MAX) {
    for (const auto& proxy : m_runnerProxies) {
      proxy->SetRepetition({aShare, Duration(0), kLongestDelay, aBytes, {}});
    }
  }

  [[nodiscard]] size_t RepeatedByRunners() const {
    size_t count = 0;
    for (const auto& proxy : m_runnerProxies) count += proxy->Repeated();
    return count;
  }

  /** @return the tasks with two runs at once, or with a start after an end as
   *          done. */
  std::set<std::string> TasksRunTwice() {
    std::map<std::string, std::vector<standin::RunRecord>> byTask;
    for (const auto& runner : m_runners) {
      for (const auto& run : runner->Runs()) byTask[run.m_task].push_back(run);
    }
    std::set<std::string> twice;
    for (const auto& [task, runs] : byTask) {
      for (const auto& first : runs) {
        for (const auto& second : runs) {
          const bool later =
              &first != &second && second.m_startedAt >= first.m_startedAt;
          if (!later) continue;
          if (first.m_endedAt > second.m_startedAt || first.m_kind == "done") {
            twice.insert(task);
          }
        }
      }
    }
    return twice;
  }

  /** @return whether a task of the job was started. */
  bool HasRun(const std::string& aJob) {
    const auto starts = Starts();
    const auto at = starts.lower_bound(aJob);
    return at != starts.end() && at->first.rfind(aJob, 0) == 0;
  }

  std::vector<std::unique_ptr<RepeatingProxy>> m_runnerProxies;
  std::unique_ptr<RepeatingProxy> m_storeProxy;
};

BOOST_FIXTURE_TEST_SUITE(RepeatedAnswersSuite, RepeatingFixture)

/** Guards against a task that runs twice since a runner's second answer to one
 *  order is taken for that to the next: a start that runs counts as refused, or
 *  a stop as answered, or an old list as a new one. */
BOOST_AUTO_TEST_CASE(RunnersThatAnswerTwiceRunNoTaskTwice) {
  RunningNode& node = AddNode("n1");
  RepeatRunners(0.25);
  for (int job = 0; job < kJobs; ++job) {
    BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(job)));
  }
  for (int job = 0; job < kJobs; ++job) {
    BOOST_TEST(BecomesCompleted(node, JobName(job)), JobName(job));
  }
  BOOST_TEST(RepeatedByRunners() > 0U);
  BOOST_TEST(TasksRunTwice().empty());
}

/** Guards against the same where the second answer tells a later time on the
 *  runner's clock, so that the clock does not tell it apart. */
BOOST_AUTO_TEST_CASE(RunnersThatAnswerAnewRunNoTaskTwice) {
  RunningNode& node = AddNode("n1");
  for (const auto& proxy : m_runnerProxies) {
    proxy->SetRepetition(
        {0.25, Duration(0), kLongestDelay, SIZE_MAX, {}, true});
  }
  for (int job = 0; job < kJobs; ++job) {
    BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(job)));
  }
  for (int job = 0; job < kJobs; ++job) {
    BOOST_TEST(BecomesCompleted(node, JobName(job)), JobName(job));
  }
  BOOST_TEST(RepeatedByRunners() > 0U);
  BOOST_TEST(TasksRunTwice().empty());
}

/** Guards against a second answer that is cut, with the begin of the next one
 *  in its place. */
BOOST_AUTO_TEST_CASE(RunnersThatRepeatAPartRunNoTaskTwice) {
  RunningNode& node = AddNode("n1");
  constexpr size_t kPartOfHead = 30;
  RepeatRunners(0.25, kPartOfHead);
  for (int job = 0; job < kJobs; ++job) {
    BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(job)));
  }
  for (int job = 0; job < kJobs; ++job) {
    BOOST_TEST(BecomesCompleted(node, JobName(job)), JobName(job));
  }
  BOOST_TEST(TasksRunTwice().empty());
}

/** Guards against a job that is refused as not stored although it is: the
 *  store's refusal of one call is taken for the answer to the transaction that
 *  stores the job. The next owner finds the job and runs it. */
BOOST_AUTO_TEST_CASE(RefusedJobsNeverRunIfTheStoreAnswersTwice) {
  RunningNode& node = AddNode("n1");
  AddNode("n2");
  BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(0)));
  m_storeProxy->SetRepetition({0.25, Duration(0), kLongestDelay, SIZE_MAX, {}});
  standin::RowStoreFaults faults;
  faults.m_refusesEach = 5;
  m_store.SetFaults(faults);
  std::set<std::string> refused;
  std::set<std::string> accepted;
  constexpr int kMaxJobs = 400;
  const auto end = std::chrono::steady_clock::now() + seconds(12);
  for (int job = 1; job <= kMaxJobs && std::chrono::steady_clock::now() < end;
       ++job) {
    const int status = Submit(node, JobName(job)).m_status;
    if (status == 503 || status == 429) refused.insert(JobName(job));
    if (status == 200) accepted.insert(JobName(job));
  }
  m_storeProxy->SetRepetition({});
  m_store.SetFaults({});
  for (const std::string& job : accepted) {
    BOOST_TEST(BecomesCompleted(node, job), job);
  }
  BOOST_TEST(m_storeProxy->Repeated() > 0U);
  BOOST_TEST(!refused.empty());
  BOOST_TEST(!accepted.empty());
  for (const std::string& job : refused) BOOST_TEST(!HasRun(job), job);
  BOOST_TEST(TasksRunTwice().empty());
}

/** Guards against an owner that loads a cell from answers to other reads: jobs
 *  that were accepted are unknown, or their tasks run again. */
BOOST_AUTO_TEST_CASE(StoreThatAnswersTwiceLosesNoJob) {
  RunningNode& node = AddNode("n1");
  AddNode("n2");
  BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(0)));
  m_storeProxy->SetRepetition({0.25, Duration(0), kLongestDelay, SIZE_MAX, {}});
  std::set<std::string> accepted;
  for (int job = 1; job <= kJobs; ++job) {
    if (Submit(node, JobName(job)).m_status == 200) {
      accepted.insert(JobName(job));
    }
  }
  BOOST_TEST(accepted.size() > 0U);
  for (const std::string& job : accepted) {
    BOOST_TEST(Call(node, "GET", "/queue/" + job).m_status != 410, job);
  }
  m_nodes.front()->Stop();
  RunningNode& successor = *m_nodes.back();
  for (const std::string& job : accepted) {
    BOOST_TEST(BecomesCompleted(successor, job), job);
  }
  BOOST_TEST(m_storeProxy->Repeated() > 0U);
  BOOST_TEST(TasksRunTwice().empty());
}

/** Guards against a second answer that is taken for that of a start: its job
 *  counts as begun from then on, also for later owners, and the number of
 *  pending jobs is too low. */
BOOST_AUTO_TEST_CASE(RefusedStartsLeaveTheJobsPending) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(0)));
  BOOST_REQUIRE(BecomesCompleted(node, JobName(0)));
  standin::FakeRunnerFaults faults;
  faults.m_refusesStarts = true;
  for (const auto& runner : m_runners) runner->SetFaults(faults);
  RepeatRunners(0.5);
  constexpr int kWaiting = 12;
  for (int job = 1; job <= kWaiting; ++job) {
    BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(job)));
  }
  constexpr Duration kWatched = seconds(6);
  std::this_thread::sleep_for(kWatched);
  BOOST_TEST(RepeatedByRunners() > 0U);
  BOOST_TEST(Call(node, "GET", "/queue/").m_body ==
             fmt::format(R"({{"pending":{}}})", kWaiting));
  for (int job = 1; job <= kWaiting; ++job) {
    BOOST_TEST(!HasRun(JobName(job)), JobName(job));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
