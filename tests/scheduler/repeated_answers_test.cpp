/**
 * @file repeated_answers_test.cpp Entry nodes with runners and a store whose
 * answers arrive twice.
 */

#include <atomic>
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
constexpr int kManyJobs = 150;
/** Callers that hand in jobs at the same time. */
constexpr int kCallers = 8;
/** How long they do so while the store is at fault. */
constexpr Duration kFaultTime = seconds(5);
constexpr Duration kPauseAfterRefusal = milliseconds(3);

std::string JobName(int aNumber) {
  return fmt::format("{:016x}", 0xb00 + aNumber);
}

/** The answers to calls that each handed in another job. */
struct SubmitAnswers {
  std::set<std::string> m_accepted;
  std::set<std::string> m_refused;  ///< The answer says that it will not run.
};

bool IsRefusal(std::string_view aAnswer) {
  return aAnswer.rfind("HTTP/1.1 429", 0) == 0 ||
         aAnswer.rfind("HTTP/1.1 503", 0) == 0;
}

/** Faults of a store that turns some calls away and needs some time for each
 *  transaction, so that a second answer may arrive during one. */
standin::RowStoreFaults RefusingStore() {
  standin::RowStoreFaults faults;
  faults.m_refusesEach = 30;
  faults.m_refusedInRow = 2;
  faults.m_commitDelay = milliseconds(20);
  return faults;
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
    RepeatRunners({aShare, Duration(0), kLongestDelay, aBytes, {}});
  }

  void RepeatRunners(const Repetition& aRepetition) {
    for (const auto& proxy : m_runnerProxies) proxy->SetRepetition(aRepetition);
  }

  /** Hands in all jobs, one after another with a pause, and waits until they
   *  are done. */
  void RunJobs(const RunningNode& aNode, Duration aPause = Duration::zero()) {
    for (int job = 0; job < kJobs; ++job) {
      BOOST_REQUIRE(SubmitUntilAccepted(aNode, JobName(job)));
      std::this_thread::sleep_for(aPause);
    }
    for (int job = 0; job < kJobs; ++job) {
      BOOST_TEST(BecomesCompleted(aNode, JobName(job)), JobName(job));
    }
  }

  /** Hands half of the jobs in to the owner, makes aChange, hands the others in
   *  to the successor, and checks that all are done and none ran twice. */
  void RunJobsAcrossAChange(const RunningNode& aOwner,
                            const RunningNode& aSuccessor,
                            const std::function<void()>& aChange) {
    RepeatRunners(0.25);
    for (int job = 1; job < kJobs / 2; ++job) {
      BOOST_REQUIRE(SubmitUntilAccepted(aOwner, JobName(job)));
    }
    aChange();
    for (int job = kJobs / 2; job < kJobs; ++job) {
      BOOST_REQUIRE(SubmitUntilAccepted(aSuccessor, JobName(job)));
    }
    for (int job = 0; job < kJobs; ++job) {
      BOOST_TEST(BecomesCompleted(aSuccessor, JobName(job)), JobName(job));
    }
    BOOST_TEST(RepeatedByRunners() > 0U);
    CheckNoTaskRanTwice();
  }

  /** Hands in jobs with numbers from aFirst on, by kCallers callers at once,
   *  until about aAccepted of them are accepted or kFaultTime is over. */
  SubmitAnswers SubmitMany(const RunningNode& aNode, int aFirst,
                           int aAccepted) {
    const auto end = std::chrono::steady_clock::now() + kFaultTime;
    std::atomic<int> next = aFirst;
    std::atomic<int> accepted = 0;
    const auto submit = [&] {
      SubmitAnswers answers;
      while (std::chrono::steady_clock::now() < end && accepted < aAccepted) {
        const std::string job = JobName(next++);
        const int status = Submit(aNode, job).m_status;
        if (status == 200) {
          ++accepted;
          answers.m_accepted.insert(job);
          continue;
        }
        if (status == 503 || status == 429) answers.m_refused.insert(job);
        std::this_thread::sleep_for(kPauseAfterRefusal);
      }
      return answers;
    };
    std::vector<std::future<SubmitAnswers>> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.push_back(std::async(std::launch::async, submit));
    }
    SubmitAnswers all;
    for (auto& caller : callers) {
      SubmitAnswers answers = caller.get();
      all.m_accepted.merge(answers.m_accepted);
      all.m_refused.merge(answers.m_refused);
    }
    return all;
  }

  /** Lets another owner load the cell, which runs all jobs that are stored. */
  void CheckAnswersHold(const SubmitAnswers& aAnswers) {
    RunningNode& successor = AddNode("successor");
    for (const auto& node : m_nodes) {
      if (node.get() != &successor) node->Stop();
    }
    for (const std::string& job : aAnswers.m_accepted) {
      BOOST_TEST(BecomesCompleted(successor, job), job);
    }
    // Beyond the numbers that the callers reach within kFaultTime.
    constexpr int kLastJob = 10'000'000;
    BOOST_REQUIRE(SubmitUntilAccepted(successor, JobName(kLastJob)));
    BOOST_TEST(BecomesCompleted(successor, JobName(kLastJob)));
    for (const std::string& job : aAnswers.m_refused) {
      BOOST_TEST(!HasRun(job), job);
    }
    CheckNoTaskRanTwice();
  }

  /** The store carries out transactions, but answers with aStatus. */
  void CheckGatewayStatus(int aStatus) {
    RunningNode& node = AddNode("n1");
    AddNode("n2");
    BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(0)));
    standin::RowStoreFaults faults;
    faults.m_gatewayStatus = aStatus;
    m_store.SetFaults(faults);
    const SubmitAnswers answers = SubmitMany(node, 1, kJobs / 2);
    m_store.SetFaults({});
    BOOST_TEST(!answers.m_accepted.empty());
    CheckAnswersHold(answers);
  }

  [[nodiscard]] size_t RepeatedByRunners() const {
    size_t count = 0;
    for (const auto& proxy : m_runnerProxies) count += proxy->Repeated();
    return count;
  }

  /** Reports each task with two runs at once, or with a start after an end as
   *  done. Times are those of the runners' common clock. */
  void CheckNoTaskRanTwice() {
    std::map<std::string, std::vector<standin::RunRecord>> byTask;
    for (const auto& runner : m_runners) {
      for (const auto& run : runner->Runs()) byTask[run.m_task].push_back(run);
    }
    for (const auto& [task, runs] : byTask) {
      for (const auto& first : runs) {
        for (const auto& second : runs) {
          const bool later =
              &first != &second && second.m_startedAt >= first.m_startedAt;
          if (!later) continue;
          const bool twice =
              first.m_endedAt > second.m_startedAt || first.m_kind == "done";
          BOOST_TEST(!twice, "task " << task << ": run " << first.m_number
                                     << " from " << first.m_startedAt << " to "
                                     << first.m_endedAt << ", " << first.m_kind
                                     << "; run " << second.m_number << " from "
                                     << second.m_startedAt);
        }
      }
    }
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
  RunJobs(node);
  BOOST_TEST(RepeatedByRunners() > 0U);
  CheckNoTaskRanTwice();
}

/** Guards against a second answer that arrives after its call, and perhaps the
 *  next one, has timed out. Orders time out after 600 ms. */
BOOST_AUTO_TEST_CASE(RunnersThatAnswerAgainMuchLaterRunNoTaskTwice) {
  RunningNode& node = AddNode("n1");
  RepeatRunners({0.5, milliseconds(200), milliseconds(900), SIZE_MAX, {}});
  // Lets orders go on while the late answers arrive.
  constexpr Duration kPauseBetweenJobs = milliseconds(40);
  RunJobs(node, kPauseBetweenJobs);
  BOOST_TEST(RepeatedByRunners() > 0U);
  CheckNoTaskRanTwice();
}

/** Guards against a successor that takes a second answer for the list of runs
 *  that it asked for, and starts their tasks again. */
BOOST_AUTO_TEST_CASE(RunnersThatAnswerTwiceRunNoTaskTwiceAfterAHandover) {
  RunningNode& owner = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(owner, JobName(0)));
  RunJobsAcrossAChange(owner, AddNode("n2"), [&owner] { owner.Stop(); });
}

/** As above, but the store turns the owner away without notice: it hands
 *  nothing over, and its last orders may be late. */
BOOST_AUTO_TEST_CASE(RunnersThatAnswerTwiceRunNoTaskTwiceAfterATakeover) {
  RunningNode& owner = AddNode("n1", true);
  BOOST_REQUIRE(SubmitUntilAccepted(owner, JobName(0)));
  RunJobsAcrossAChange(owner, AddNode("n2"), [this] {
    standin::RowStoreFaults faults;
    faults.m_refusedServer = 1;
    m_store.SetFaults(faults);
  });
}

/** Guards against second answers of the store and of runners that act
 *  together: a refused commit, and orders for its jobs. */
BOOST_AUTO_TEST_CASE(StoreAndRunnersThatAnswerTwiceKeepAllAnswers) {
  RunningNode& node = AddNode("n1");
  AddNode("n2");
  BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(0)));
  RepeatRunners(0.25);
  m_storeProxy->SetRepetition({0.25, Duration(0), kLongestDelay, SIZE_MAX, {}});
  standin::RowStoreFaults faults;
  faults.m_refusesEach = 5;
  m_store.SetFaults(faults);
  const SubmitAnswers answers = SubmitMany(node, 1, kJobs);
  m_storeProxy->SetRepetition({});
  m_store.SetFaults({});
  BOOST_TEST(m_storeProxy->Repeated() > 0U);
  BOOST_TEST(RepeatedByRunners() > 0U);
  BOOST_TEST(!answers.m_refused.empty());
  BOOST_TEST(!answers.m_accepted.empty());
  CheckAnswersHold(answers);
}

/** Guards against the same where the second answer tells a later time on the
 *  runner's clock, so that the clock does not tell it apart. */
BOOST_AUTO_TEST_CASE(RunnersThatAnswerAnewRunNoTaskTwice) {
  RunningNode& node = AddNode("n1");
  RepeatRunners({0.25, Duration(0), kLongestDelay, SIZE_MAX, {}, true});
  RunJobs(node);
  BOOST_TEST(RepeatedByRunners() > 0U);
  CheckNoTaskRanTwice();
}

/** Guards against a second answer that is cut, with the begin of the next one
 *  in its place. */
BOOST_AUTO_TEST_CASE(RunnersThatRepeatAPartRunNoTaskTwice) {
  RunningNode& node = AddNode("n1");
  constexpr size_t kPartOfHead = 30;
  RepeatRunners(0.25, kPartOfHead);
  RunJobs(node);
  CheckNoTaskRanTwice();
}

/** Guards against a job that is refused as not stored although it is: the
 *  store's refusal of one call is taken for the answer to the transaction that
 *  stores the job. The next owner finds the job and runs it. */
BOOST_AUTO_TEST_CASE(RefusedJobsNeverRunIfTheStoreAnswersTwice) {
  RunningNode& node = AddNode("n1");
  AddNode("n2");
  BOOST_REQUIRE(SubmitUntilAccepted(node, JobName(0)));
  // After a refused commit, the owner waits for 100 ms and accepts new jobs
  // once a commit has succeeded. So the second refusal arrives during a later
  // commit, which stores some of them.
  m_storeProxy->SetRepetition(
      {1.0, milliseconds(145), milliseconds(195), SIZE_MAX, IsRefusal});
  m_store.SetFaults(RefusingStore());
  const SubmitAnswers answers = SubmitMany(node, 1, kManyJobs);
  m_storeProxy->SetRepetition({});
  m_store.SetFaults({});
  BOOST_TEST(m_storeProxy->Repeated() > 0U);
  BOOST_TEST(!answers.m_refused.empty());
  BOOST_TEST(!answers.m_accepted.empty());
  CheckAnswersHold(answers);
}

/** These guard against a status of the store that leaves the outcome of a
 *  transaction open, as that of a gateway does, but is taken for a refusal: the
 *  caller gets 503 for a job that is stored and runs. */
BOOST_AUTO_TEST_CASE(RefusedJobsNeverRunIfTheStoreAnswers500) {
  CheckGatewayStatus(500);
}

BOOST_AUTO_TEST_CASE(RefusedJobsNeverRunIfTheStoreAnswers502) {
  CheckGatewayStatus(502);
}

BOOST_AUTO_TEST_CASE(RefusedJobsNeverRunIfTheStoreAnswers504) {
  CheckGatewayStatus(504);
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
  CheckNoTaskRanTwice();
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
  constexpr size_t kSecondAnswers = 40;
  BOOST_REQUIRE(
      Eventually([this] { return RepeatedByRunners() >= kSecondAnswers; }));
  BOOST_TEST(Call(node, "GET", "/queue/").m_body ==
             fmt::format(R"({{"pending":{}}})", kWaiting));
  for (int job = 1; job <= kWaiting; ++job) {
    BOOST_TEST(!HasRun(JobName(job)), JobName(job));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
