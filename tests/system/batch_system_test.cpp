/**
 * @file batch_system_test.cpp Jobs with real daemons and simulated workers.
 */

#include <boost/test/unit_test.hpp>
#include <csignal>

#include "system_fixture.h"

namespace bronze {

using nlohmann::json;

namespace {

struct BatchFixture : SystemFixture {
  BatchFixture() {
    StartStandin(
        {"--runners", "1", "--workers", "6", "--per-rack", "2", "--seed", "5"});
    StartDaemons(3);
    PushConfiguration();
  }

  std::string Submit(const std::string& aVm, const json& aJob) {
    std::string job;
    WaitUntil("the job is accepted", [&] {
      const Answer answer =
          Call(Addresses(aVm).m_callers, "POST", "/v1/jobs", aJob.dump());
      if (answer.m_status != 201) return false;
      job = answer.Json().at("job");
      return true;
    });
    return job;
  }

  json Show(const std::string& aVm, const std::string& aJob) {
    const Answer answer =
        Call(Addresses(aVm).m_callers, "GET", "/v1/jobs/" + aJob);
    return answer.m_status == 200 ? answer.Json() : json{{"state", "?"}};
  }

  void WaitForState(const std::string& aVm, const std::string& aJob,
                    const std::string& aState) {
    WaitUntil("the job is " + aState,
              [&] { return Show(aVm, aJob).at("state") == aState; });
  }

  static json Job(int aTasks) {
    return {{"team", "t1"},    {"kind", "season"},
            {"tasks", aTasks}, {"cores", 2000},
            {"memory", 1000},  {"submission_id", "s" + std::to_string(aTasks)}};
  }
};

}  // namespace

// Guards against a job that one daemon accepts and another does not know.
BOOST_FIXTURE_TEST_CASE(AJobFinishesAndIsSeenEverywhere, BatchFixture) {
  const std::string job = Submit("entry-1", Job(5));
  BOOST_TEST(Submit("entry-2", Job(5)) == job);
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    WaitForState(vm, job, "finished");
  }
  BOOST_TEST(Counts().at("tasks_finished") == 5);
  CheckInvariants();
}

// Guards against tasks that are lost or run twice when a daemon is killed while
// tasks start, run and finish.
BOOST_FIXTURE_TEST_CASE(JobsSurviveTheLossOfADaemon, BatchFixture) {
  const std::string job = Submit("entry-1", Job(40));
  WaitUntil("tasks run",
            [&] { return Counts().at("tasks_started").get<int>() > 3; });
  Signal("entry-2", SIGKILL);
  WaitForState("entry-1", job, "finished");
  BOOST_TEST(Show("entry-1", job).at("finished") == 40);
  CheckInvariants();
}

// Guards against running tasks that are stopped, and results that are lost,
// while the table service is down.
BOOST_FIXTURE_TEST_CASE(ResultsAreKeptWhileTheTableIsDown, BatchFixture) {
  const std::string job = Submit("entry-1", Job(12));
  WaitUntil("tasks run",
            [&] { return Counts().at("tasks_running").get<int>() > 0; });
  SetFault({{"name", "table_down"}, {"on", true}});
  WaitUntil("the running tasks end",
            [&] { return Counts().at("tasks_running").get<int>() == 0; });
  SetFault({{"name", "table_down"}, {"on", false}});
  WaitForState("entry-3", job, "finished");
  CheckInvariants();
}

// Guards against a job that stays queued although no worker is large enough.
BOOST_FIXTURE_TEST_CASE(AnImpossibleJobIsRefusedWithTheReason, BatchFixture) {
  json wide = Job(1);
  wide["cores"] = 10'000'000;
  WaitUntil("the workers are known", [&] {
    const Answer answer =
        Call(Addresses("entry-1").m_callers, "POST", "/v1/jobs", wide.dump());
    return answer.m_status == 422 &&
           answer.Json().at("error") == "impossible_job";
  });
}

// Guards against a cancelled job whose tasks keep running.
BOOST_FIXTURE_TEST_CASE(ACancelledJobStops, BatchFixture) {
  const std::string job = Submit("entry-1", Job(60));
  const Answer cancelled =
      Call(Addresses("entry-3").m_callers, "DELETE", "/v1/jobs/" + job);
  BOOST_TEST(cancelled.m_status == 200);
  WaitUntil("no task of it runs",
            [&] { return Counts().at("tasks_running").get<int>() == 0; });
  WaitForState("entry-2", job, "cancelled");
  CheckInvariants();
}

}  // namespace bronze
