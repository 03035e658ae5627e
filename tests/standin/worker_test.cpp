/**
 * @file worker_test.cpp Tests of the simulated workers, their faults and
 * counters.
 */

#include "standin_fixture.h"

namespace bronze {

namespace {

struct Fixture : StandinFixture {
  Fixture() { Set(kEndlessTasks); }

  std::string StateOf(const std::string& aWorker, int aTask) {
    const json report = Report(aWorker);
    for (const json& task : report.at("tasks")) {
      if (task.at("task") == Task(aTask, 0).at("task")) return task.at("state");
    }
    return "absent";
  }
  int Start(const std::string& aWorker, const json& aBody) {
    return Command(aWorker, "/tasks/start", aBody);
  }
  std::string Stop(const std::string& aWorker, int aTask, int aToken) {
    return json::parse(
               Post(m_addresses.at(aWorker), "/tasks/stop", Task(aTask, aToken))
                   .m_reply.m_body)
        .at("state");
  }
  /** Tasks that start from now on finish after this time. */
  void SetRunTime(int aMs) {
    Set({{"task_kinds", {{"batch", {{"min_ms", aMs}, {"max_ms", aMs}}}}}});
  }
};

}  // namespace

// Guards against a task that runs on two workers without being counted.
BOOST_FIXTURE_TEST_CASE(TaskOnTwoWorkersCounts, Fixture) {
  BOOST_TEST(Start("worker-0", StartBody(1, 1)) == 200);
  BOOST_TEST(Start("worker-0", StartBody(1, 1)) == 200);
  BOOST_TEST(Count("tasks_started") == 1);
  BOOST_TEST(Count("task_in_two_places") == 0);
  BOOST_TEST(Start("worker-1", StartBody(1, 2)) == 200);
  BOOST_TEST(Count("task_in_two_places") == 1);
  BOOST_TEST(Count("resumed_twice") == 1);
  BOOST_TEST(Get("/standin/counts").at("violations").size() == 2u);
}

// Guards against a lower token that another worker accepts without counting it.
BOOST_FIXTURE_TEST_CASE(LowerTokenElsewhereCounts, Fixture) {
  Start("worker-0", StartBody(1, 5));
  BOOST_TEST(Stop("worker-0", 1, 5) == "stopped");
  BOOST_TEST(Start("worker-1", StartBody(1, 4)) == 200);
  BOOST_TEST(Count("task_in_two_places") == 1);
}

// Guards against a worker that accepts a command with a stale token.
BOOST_FIXTURE_TEST_CASE(WorkerRefusesLowerTokens, Fixture) {
  Start("worker-0", StartBody(1, 5));
  for (const char* path : {"/tasks/start", "/tasks/stop", "/tasks/checkpoint",
                           "/tasks/throttle"}) {
    BOOST_TEST(Command("worker-0", path, StartBody(1, 4)) == 409);
  }
  BOOST_TEST(StateOf("worker-0", 1) == "running");
  BOOST_TEST(Count("stale_tokens") == 4);
  // A start that arrives after its stop must not run.
  BOOST_TEST(Stop("worker-0", 2, 7) == "unknown");
  BOOST_TEST(Start("worker-0", StartBody(2, 7)) == 409);
  BOOST_TEST(Start("worker-0", StartBody(2, 8)) == 200);
}

// Guards against a start beyond the capacity that is not counted.
BOOST_FIXTURE_TEST_CASE(StartBeyondCapacityCounts, Fixture) {
  BOOST_TEST(Start("worker-0", StartBody(1, 1, 3000)) == 200);
  BOOST_TEST(Start("worker-0", StartBody(2, 1, 1000)) == 200);
  BOOST_TEST(Count("over_capacity") == 0);
  BOOST_TEST(Start("worker-0", StartBody(3, 1, 1)) == 422);
  BOOST_TEST(Count("over_capacity") == 1);
  Stop("worker-0", 2, 1);
  BOOST_TEST(Start("worker-0", StartBody(3, 2, 1000)) == 200);
  BOOST_TEST(Count("over_capacity") == 1);
}

// Guards against work that is lost or repeated after an eviction, and against a
// second resumption that is not counted.
BOOST_FIXTURE_TEST_CASE(EvictedTaskResumesOnce, Fixture) {
  Start("worker-0", StartBody(1, 1));
  const auto reply =
      Post(m_addresses.at("worker-0"), "/tasks/checkpoint", Task(1, 1));
  const std::string name = json::parse(reply.m_reply.m_body).at("checkpoint");
  BOOST_TEST(Call(m_platform, {"GET", "/objects/" + name, {}, {}, {}})
                 .m_reply.m_status == 200);
  BOOST_TEST(StateOf("worker-0", 1) == "checkpointed");
  SetRunTime(1);
  BOOST_TEST(Start("worker-1", StartBody(1, 2, 1000, name)) == 200);
  WaitForCount("tasks_finished", 1);
  BOOST_TEST(Count("tasks_resumed") == 1);
  BOOST_TEST(Count("resumed_twice") == 0);
  BOOST_TEST(Start("worker-0", StartBody(1, 3, 1000, name)) == 200);
  BOOST_TEST(Count("resumed_twice") == 1);
  BOOST_TEST(Count("task_in_two_places") == 0);
}

// Guards against a task that runs on after its lease has lapsed.
BOOST_FIXTURE_TEST_CASE(LapsedLeaseStopsTheTask, Fixture) {
  json body = StartBody(1, 1);
  body["lease_ms"] = 1;
  Start("worker-0", body);
  WaitForCount("leases_lapsed", 1);
  BOOST_TEST(StateOf("worker-0", 1) == "stopped");
  BOOST_TEST(Start("worker-1", StartBody(1, 2)) == 200);
  BOOST_TEST(Count("task_in_two_places") == 0);
}

// Guards against a renewal without effect, an unknown task that is not
// reported, and a report that keeps tasks which the caller told it to forget.
BOOST_FIXTURE_TEST_CASE(RenewalsAndForgetting, Fixture) {
  Start("worker-0", StartBody(1, 1));
  Start("worker-0", StartBody(2, 1));
  Stop("worker-0", 2, 1);
  json lease = {{"holder", "e1"}, {"epoch", 1}, {"lease_ms", 1}};
  lease["tasks"] = json::array({Task(1, 1), Task(3, 1)});
  lease["forget"] = json::array({Task(1, 1), Task(2, 1)});
  const auto reply = Post(m_addresses.at("worker-0"), "/lease", lease);
  BOOST_TEST(json::parse(reply.m_reply.m_body).at("unknown") ==
             json::array({Task(3, 1).at("task")}));
  BOOST_TEST(StateOf("worker-0", 2) == "absent");
  // The renewal replaced the lease of ten minutes with one of 1 ms.
  WaitForCount("leases_lapsed", 1);
}

// Guards against a lease fault without effect.
BOOST_FIXTURE_TEST_CASE(LeaseFaultEndsLeases, Fixture) {
  Start("worker-0", StartBody(1, 1));
  Start("worker-1", StartBody(2, 1));
  Switch("worker_lease_lapsed", true, {{"vm", "worker-0"}});
  BOOST_TEST(StateOf("worker-0", 1) == "stopped");
  BOOST_TEST(StateOf("worker-1", 2) == "running");
  BOOST_TEST(Count("leases_lapsed") == 1);
}

// Guards against a failing worker that finishes tasks.
BOOST_FIXTURE_TEST_CASE(FailingWorkerFailsEverything, Fixture) {
  Switch("worker_failing", true, {{"vm", "worker-0"}});
  Start("worker-0", StartBody(1, 1));
  Start("worker-1", StartBody(2, 1));
  WaitForCount("tasks_failed", 1);
  BOOST_TEST(StateOf("worker-0", 1) == "failed");
  BOOST_TEST(StateOf("worker-1", 2) == "running");
  Switch("worker_failing", false, {{"vm", "worker-0"}});
  Start("worker-0", StartBody(3, 1));
  BOOST_TEST(StateOf("worker-0", 3) == "running");
}

// Guards against tasks that survive a crash, and against counting a second run
// as a violation although the first result was lost.
BOOST_FIXTURE_TEST_CASE(CrashLosesTasksAndResults, Fixture) {
  SetRunTime(1);
  Start("worker-0", StartBody(1, 1));
  WaitForCount("tasks_finished", 1);
  Set(kEndlessTasks);
  Start("worker-0", StartBody(2, 1));
  Switch("worker_crash", true, {{"vm", "worker-0"}});
  BOOST_TEST(Count("tasks_running") == 0);
  WaitUntil([&] {
    return Post(m_addresses.at("worker-0"), "/report", {}).m_stage ==
           CallStage::NotConnected;
  });
  Start("worker-1", StartBody(1, 2));
  Start("worker-1", StartBody(2, 2));
  BOOST_TEST(Count("task_in_two_places") == 0);
  BOOST_TEST(Count("resumed_twice") == 0);
  Switch("worker_crash", false, {{"vm", "worker-0"}});
  WaitUntil([&] { return Start("worker-0", StartBody(3, 1)) == 200; });
  BOOST_TEST(StateOf("worker-0", 2) == "absent");
}

// Guards against an eviction that stops the task although no checkpoint could
// be written.
BOOST_FIXTURE_TEST_CASE(NoCheckpointWithoutTheObjectStore, Fixture) {
  Start("worker-0", StartBody(1, 1));
  Switch("objects_down", true);
  BOOST_TEST(Command("worker-0", "/tasks/checkpoint", Task(1, 1)) == 503);
  BOOST_TEST(StateOf("worker-0", 1) == "running");
  Switch("objects_down", false);
  BOOST_TEST(Command("worker-0", "/tasks/checkpoint", Task(1, 1)) == 200);
}

// Guards against checkpoints that are not written at the interval of the kind.
BOOST_FIXTURE_TEST_CASE(CheckpointsAtIntervals, Fixture) {
  Set({{"task_kinds", {{"batch", {{"checkpoint_ms", 5}}}}}});
  Start("worker-0", StartBody(1, 1));
  WaitForCount("object_writes", 2);
  BOOST_TEST(Report("worker-0").at("tasks").at(0).at("checkpoint") != "");
}

// Guards against a report that shows the declared instead of the actual use,
// and against a throttle without effect.
BOOST_FIXTURE_TEST_CASE(WrongSizesAndThrottle, Fixture) {
  Switch("wrong_sizes", true, {{"factor", 3.0}});
  Start("worker-0", StartBody(1, 1));
  const auto cores = [&] {
    return Report("worker-0").at("tasks").at(0).at("cores").get<int>();
  };
  BOOST_TEST(cores() == 3000);
  json throttle = Task(1, 1);
  throttle["cores"] = 1000;
  BOOST_TEST(Command("worker-0", "/tasks/throttle", throttle) == 200);
  BOOST_TEST(cores() == 1000);
}

// Guards against a report without a lag.
BOOST_FIXTURE_TEST_CASE(ReportLags, Fixture) {
  Start("worker-0", StartBody(1, 1));
  BOOST_TEST(StateOf("worker-0", 1) == "running");
  Set({{"report_lag_ms", 600'000}});
  BOOST_TEST(StateOf("worker-0", 1) == "absent");
}

// Guards against interference of batch tasks with requests that has no effect.
BOOST_FIXTURE_TEST_CASE(InterferenceSlowsRequests, Fixture) {
  json settings;
  settings["interference"] = json::array(
      {json{{"request", "check"}, {"task", "batch"}, {"factor", 3.0}}});
  Set(settings);
  const auto slowdown = [&] {
    return Report("worker-0").at("slowdowns").at("check").get<double>();
  };
  BOOST_TEST(slowdown() == 1.0);
  Start("worker-0", StartBody(1, 1));
  BOOST_TEST(slowdown() == 3.0);
  json throttle = Task(1, 1);
  throttle["cores"] = 500;
  Command("worker-0", "/tasks/throttle", throttle);
  BOOST_TEST(slowdown() == 2.0);
}

}  // namespace bronze
