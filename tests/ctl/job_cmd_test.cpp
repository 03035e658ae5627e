/**
 * @file job_cmd_test.cpp The "job" commands against a fake server.
 */

#include <boost/test/unit_test.hpp>

#include "fake_server.h"

namespace bronze {

namespace {

constexpr const char* kId = "00000000000000aa";
constexpr const char* kOtherId = "00000000000000bb";

constexpr const char* kJob = R"({"job": "00000000000000aa", "team": "planning",
  "kind": "plan", "state": "running", "tasks": 3, "queued": 2, "running": 1,
  "finished": 0, "failed": 0, "cancelled": 0, "waiting_for": "cores",
  "task_list": [
    {"index": 0, "state": "running", "worker": "w1", "token": 1,
     "attempts": 1, "message": "", "waiting_for": "", "waiting_ms": 0},
    {"index": 1, "state": "queued", "waiting_for": "cores", "waiting_ms": 90},
    {"index": 2, "state": "queued", "waiting_for": "cores",
     "waiting_ms": 1200}]})";

}  // namespace

// Guards against fields that are lost, renamed or sent as text.
BOOST_AUTO_TEST_CASE(SubmitSendsOptionsOrAFileAlike) {
  const TestFolder folder;
  folder.Write("job.yaml",
               "team: planning\nkind: plan\ncores: 1000\nmemory: 2048\n"
               "tasks: 3\npriority: -1\nurgent: true\ninput: in/1\n"
               "submission_id: s1\naccelerators: 2\n");
  FakeServer server;
  server.Answer("POST /v1/jobs", 201,
                R"({"job": "00000000000000aa", "state": "queued"})");
  const nlohmann::json expected = {
      {"team", "planning"}, {"kind", "plan"},  {"cores", 1000},
      {"memory", 2048},     {"tasks", 3},      {"priority", -1},
      {"urgent", true},     {"input", "in/1"}, {"submission_id", "s1"},
      {"accelerators", 2}};
  auto result = RunAgainst(server.Address(), {"job",        "submit",
                                              "--team",     "planning",
                                              "--kind",     "plan",
                                              "--cores",    "1000",
                                              "--memory",   "2048",
                                              "--tasks",    "3",
                                              "--priority", "-1",
                                              "--urgent",   "--input",
                                              "in/1",       "--submission-id",
                                              "s1",         "--accelerators",
                                              "2"});
  BOOST_TEST(result.m_out == "job 00000000000000aa is queued\n");
  BOOST_TEST(nlohmann::json::parse(server.LastCall().m_body) == expected);
  result = RunAgainst(server.Address(),
                      {"job", "submit", "--file", folder.Path("job.yaml")});
  BOOST_TEST(result.m_exitCode == 0);
  BOOST_TEST(nlohmann::json::parse(server.LastCall().m_body) == expected);
}

// Guards against an invalid job that is sent to the server, and against
// problems that are not reported.
BOOST_AUTO_TEST_CASE(InvalidJobsAreRejectedWithAllProblems) {
  const TestFolder folder;
  folder.Write("job.yaml", "team: a\nkind:\ncores: 0\nsize: 5\nurgent: 1\n");
  FakeServer server;
  auto result = RunAgainst(
      server.Address(),
      {"job", "submit", "--file", folder.Path("job.yaml"), "--json"});
  BOOST_TEST(result.m_exitCode == 2);
  const auto problems = nlohmann::json::parse(result.m_out).at("problems");
  BOOST_TEST(problems.size() == 4U);
  result = RunAgainst(server.Address(),
                      {"job", "submit", "--team", "a", "--kind", "b", "--cores",
                       "1", "--memory", "99999999999"});
  BOOST_TEST(result.m_exitCode == 2);
  BOOST_TEST(result.m_error.find("--memory") != std::string::npos);
  BOOST_TEST(server.Calls().empty());
}

// Guards against exit code 0 when the server rejects a job.
BOOST_AUTO_TEST_CASE(RejectedJobsShowTheReasonOfTheServer) {
  FakeServer server;
  server.Answer("POST /v1/jobs", 422,
                R"({"error": "impossible_job", "run": "not_run",
                    "message": "no VM has 9 cores; 8 would fit"})");
  const auto result =
      RunAgainst(server.Address(), {"job", "submit", "--team", "a", "--kind",
                                    "b", "--cores", "9000", "--memory", "1"});
  BOOST_TEST(result.m_exitCode == 2);
  BOOST_TEST(result.m_error ==
             "error: no VM has 9 cores; 8 would fit (impossible_job)\n");
}

// Guards against a filter that is dropped or not encoded in the query.
BOOST_AUTO_TEST_CASE(ListSendsItsFilters) {
  FakeServer server;
  server.Answer("GET /v1/jobs?team=a%26b&limit=5", 200,
                std::string(R"({"jobs": [)") + kJob + "]}");
  const auto result = RunAgainst(
      server.Address(), {"job", "list", "--team", "a&b", "--limit", "5"});
  BOOST_TEST(result.m_exitCode == 0);
  BOOST_TEST(result.m_out.find("00000000000000aa  planning  plan  running") !=
             std::string::npos);
}

// Guards against tasks, or reasons for waiting, that are not shown.
BOOST_AUTO_TEST_CASE(ShowAndExplainTellWhatAJobWaitsFor) {
  FakeServer server;
  server.Answer(std::string("GET /v1/jobs/") + kId, 200, kJob);
  const auto shown = RunAgainst(server.Address(), {"job", "show", kId});
  BOOST_TEST(shown.m_exitCode == 0);
  BOOST_TEST(shown.m_out.find("1200        cores") != std::string::npos);
  const auto text = RunAgainst(server.Address(), {"job", "explain", kId});
  BOOST_TEST(text.m_out ==
             "job 00000000000000aa is running\n"
             "2 tasks wait for cores, the longest 1200 ms\n");
  const auto json = nlohmann::json::parse(
      RunAgainst(server.Address(), {"job", "explain", kId, "--json"}).m_out);
  BOOST_TEST(json.at("reasons").at(0).at("longest_ms") == 1200);
}

// Guards against one invalid ID that prevents other jobs from being cancelled.
BOOST_AUTO_TEST_CASE(CancelGoesOnAfterAnError) {
  FakeServer server;
  server.Answer(std::string("DELETE /v1/jobs/") + kId, 404,
                R"({"error": "unknown_job", "message": "no such job"})");
  server.Answer(std::string("DELETE /v1/jobs/") + kOtherId, 200,
                R"({"job": "00000000000000bb", "state": "cancelled"})");
  const auto result =
      RunAgainst(server.Address(), {"job", "cancel", kId, "../vms", kOtherId});
  BOOST_TEST(result.m_exitCode == 6);
  BOOST_TEST(result.m_out == "job 00000000000000bb is cancelled\n");
  BOOST_TEST(result.m_error.find("no such job (unknown_job)") !=
             std::string::npos);
  const std::vector<std::string> calls = {
      std::string("DELETE /v1/jobs/") + kId,
      std::string("DELETE /v1/jobs/") + kOtherId};
  BOOST_TEST(server.Calls() == calls, boost::test_tools::per_element());
}

}  // namespace bronze
