/**
 * @file request_system_test.cpp Requests with real daemons.
 */

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

#include "system_fixture.h"

namespace bronze {

namespace {

const HttpHeaders kWindow = {{"Bronze-Window-Ms", "20000"}};

struct RequestFixture : SystemFixture {
  RequestFixture() {
    StartStandin({"--runners", "6", "--workers", "0", "--seed", "1"});
    StartDaemons(3);
    PushConfiguration();
  }

  Answer Request(const std::string& aVm, const std::string& aKind,
                 const std::string& aBody, HttpHeaders aHeaders = kWindow) {
    return Call(Addresses(aVm).m_callers, "POST", "/v1/requests/" + aKind,
                aBody, aHeaders);
  }

  /** Repeats a request until the status is neither 503 nor 504. */
  Answer RequestUntilRun(const std::string& aVm, const std::string& aKind,
                         const std::string& aBody, HttpHeaders aHeaders) {
    Answer answer;
    WaitUntil(aKind + " is answered", [&] {
      answer = Request(aVm, aKind, aBody, aHeaders);
      return answer.m_status != 503 && answer.m_status != 504;
    });
    return answer;
  }
};

}  // namespace

// Guards against an entry VM that cannot serve because others own the runners.
BOOST_FIXTURE_TEST_CASE(EachDaemonAnswersWithTheCallersOwnBody,
                        RequestFixture) {
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    const Answer answer = RequestUntilRun(vm, "check", vm, kWindow);
    BOOST_REQUIRE_EQUAL(answer.m_status, 200);
    BOOST_TEST(answer.Json().at("body") == vm);
  }
  CheckInvariants();
}

// Guards against a second run when a caller retries at another entry VM.
BOOST_FIXTURE_TEST_CASE(RepeatedKeyRunsOnce, RequestFixture) {
  const HttpHeaders headers = {{"Bronze-Window-Ms", "20000"},
                               {"Idempotency-Key", "device-1"}};
  BOOST_TEST(RequestUntilRun("entry-1", "commit", "x", headers).m_status ==
             200);
  const Answer repeated = RequestUntilRun("entry-2", "commit", "x", headers);
  BOOST_TEST(repeated.m_status == 409);
  BOOST_TEST(repeated.Json().at("error") == "already_run");
  BOOST_TEST(Request("entry-3", "commit", "x").m_status == 400);
  CheckInvariants();
}

// Guards against two runs when duplicates are sent at the same time.
BOOST_FIXTURE_TEST_CASE(ConcurrentDuplicatesRunOnce, RequestFixture) {
  RequestUntilRun("entry-1", "check", "warm", kWindow);
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    const HttpHeaders headers = {
        {"Bronze-Window-Ms", "20000"},
        {"Idempotency-Key", "pallet-" + std::to_string(i)}};
    for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
      StartCall(Addresses(vm).m_callers, "POST", "/v1/requests/commit",
                "marker-" + std::to_string(i), headers,
                [&answered](const Answer& aAnswer) {
                  answered += aAnswer.m_status == 200 ? 1 : 0;
                });
    }
  }
  RunCalls();
  BOOST_TEST(answered <= 20);
  BOOST_TEST(answered > 0);
  CheckInvariants();
}

// Guards against a graceful shutdown that drops requests in progress or accepts
// new ones.
BOOST_FIXTURE_TEST_CASE(DrainAnswersWhatIsInProgress, RequestFixture) {
  RequestUntilRun("entry-1", "check", "warm", kWindow);
  std::vector<int> statuses;
  for (int i = 0; i < 12; ++i) {
    StartCall(Addresses("entry-1").m_callers, "POST", "/v1/requests/plan",
              "long", kWindow, [&statuses, this](const Answer& aAnswer) {
                // The first answer shows that the others are in progress.
                if (statuses.empty()) Signal("entry-1", SIGTERM);
                statuses.push_back(aAnswer.m_status);
              });
  }
  RunCalls();
  BOOST_TEST(statuses == std::vector<int>(12, 200),
             boost::test_tools::per_element());
  BOOST_TEST(WaitForExit("entry-1") == 0);
  BOOST_TEST(RequestUntilRun("entry-2", "check", "after", kWindow).m_status ==
             200);
  CheckInvariants();
}

// Guards against a caller that gets the answer of another request, or a
// truncated one.
BOOST_FIXTURE_TEST_CASE(CrossedAndCutAnswersReachNoCaller, RequestFixture) {
  RequestUntilRun("entry-1", "check", "warm", kWindow);
  for (const char* fault : {"runner_crossed", "runner_cut"}) {
    SetFault({{"name", fault}, {"on", true}, {"probability", 0.3}});
    int whole = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string body = "own-" + std::to_string(i);
      StartCall(Addresses("entry-1").m_callers, "POST", "/v1/requests/check",
                body, kWindow, [&whole, body](const Answer& aAnswer) {
                  if (aAnswer.m_status != 200) return;
                  ++whole;
                  BOOST_TEST(aAnswer.Json().at("body") == body);
                });
    }
    RunCalls();
    BOOST_TEST(whole > 0);
    SetFault({{"name", fault}, {"on", false}});
  }
  CheckInvariants();
}

// Guards against a request that gets lost because its runner has crashed.
BOOST_FIXTURE_TEST_CASE(DeadRunnerIsAvoided, RequestFixture) {
  RequestUntilRun("entry-1", "check", "warm", kWindow);
  SetFault({{"name", "runner_crash"}, {"on", true}, {"vm", "runner-0"}});
  for (int i = 0; i < 30; ++i) {
    const Answer answer = RequestUntilRun("entry-1", "check", "x", kWindow);
    BOOST_TEST(answer.m_status == 200);
  }
  CheckInvariants();
}

// Guards against a crash, or a wrong error, on malformed input.
BOOST_FIXTURE_TEST_CASE(BadInputIsRefusedWithItsKind, RequestFixture) {
  const auto kindOf = [](const Answer& aAnswer) {
    return aAnswer.Json().at("error").get<std::string>();
  };
  const std::string callers = Addresses("entry-1").m_callers;
  const std::string operators = Addresses("entry-1").m_operators;
  BOOST_TEST(kindOf(Request("entry-1", "nothing", "x")) == "unknown_kind");
  BOOST_TEST(kindOf(Call(callers, "GET", "/v1/requests/check")) ==
             "method_not_allowed");
  BOOST_TEST(kindOf(Call(callers, "POST", "/nowhere")) == "unknown_route");
  BOOST_TEST(kindOf(Request("entry-1", "check", "x",
                            {{"Bronze-Window-Ms", "soon"}})) == "bad_window");
  BOOST_TEST(
      kindOf(Request("entry-1", "check", std::string(size_t{2} << 20, 'x'))) ==
      "body_too_large");
  BOOST_TEST(kindOf(Request("entry-1", "check", "x",
                            {{"X-Long", std::string(20'000, 'x')}})) ==
             "header_too_large");
  BOOST_TEST(kindOf(Call(callers, "POST", "/v1/jobs", "{\"team\":")) ==
             "bad_job");
  BOOST_TEST(kindOf(Call(callers, "POST", "/v1/jobs",
                         std::string(100'000, '['))) == "bad_job");
  BOOST_TEST(kindOf(Call(callers, "GET", "/v1/jobs/xyz")) == "unknown_job");
  BOOST_TEST(kindOf(Call(operators, "PUT", "/v1/config", "{}")) ==
             "bad_request");
  const Answer invalid = Call(
      operators, "PUT", "/v1/config",
      R"({"based_on": 1, "files": {"a.yaml": "request: {queu_limit: 5}"}})");
  BOOST_TEST(kindOf(invalid) == "config_invalid");
  BOOST_TEST(invalid.Json().at("problems").at(0).at("line") == 1);
  BOOST_TEST(RequestUntilRun("entry-1", "check", "x", kWindow).m_status == 200);
}

}  // namespace bronze
