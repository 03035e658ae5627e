/**
 * @file runner_test.cpp Tests of the simulated runners, their faults and
 * counters.
 */

#include "standin/runner_answer.h"
#include "standin_fixture.h"

namespace bronze {

namespace {

/** Settings with which a plan request outlasts any test. */
const json kEndlessPlan = {
    {"request_kinds", {{"plan", {{"min_ms", 600'000}, {"max_ms", 600'000}}}}}};

bool IsOwn(const CallOutcome& aOutcome, const HttpCall& aCall) {
  const auto answer = DecodeRunnerAnswer(aOutcome.m_reply.m_body);
  return answer && answer->m_body == aCall.m_body &&
         answer->m_digest == DigestOf(aCall.m_body);
}

}  // namespace

// Guards against answers that a caller cannot match to its request.
BOOST_FIXTURE_TEST_CASE(AnswerRepeatsTheRequest, StandinFixture) {
  HttpCall call = Request("check", "m1");
  const auto outcome = Call(m_addresses.at("runner-0"), call);
  BOOST_TEST(IsOwn(outcome, call));
  BOOST_TEST(outcome.m_reply.Header("Bronze-Request-Id") == "id-m1");
  BOOST_TEST(!IsOwn(outcome, Request("check", "m2")));
  call.m_body = std::string("\xff\x00\xfe", 3);
  BOOST_TEST(IsOwn(Call(m_addresses.at("runner-0"), call), call));
  BOOST_TEST(Count("slots_in_use") == 0);
  BOOST_TEST(Count("slots_in_use_peak") == 1);
}

// Guards against a second run of a non-idempotent request, on the same runner
// or another one, that is not counted.
BOOST_FIXTURE_TEST_CASE(NonIdempotentTwiceCounts, StandinFixture) {
  Call(m_addresses.at("runner-0"), Request("commit", "m1", "k1"));
  Call(m_addresses.at("runner-0"), Request("commit", "m2", "k2"));
  Call(m_addresses.at("runner-0"), Request("check", "m3"));
  Call(m_addresses.at("runner-1"), Request("check", "m3"));
  BOOST_TEST(Count("non_idempotent_twice") == 0);
  Call(m_addresses.at("runner-1"), Request("commit", "m4", "k1"));
  BOOST_TEST(Count("non_idempotent_twice") == 1);
  Call(m_addresses.at("runner-1"), Request("commit", "m2", "k5"));
  BOOST_TEST(Count("non_idempotent_twice") == 2);
}

// Guards against requests beyond the slots that are not counted, and against a
// slot that a watch request occupies or that a disconnected caller keeps.
BOOST_FIXTURE_TEST_CASE(RequestsBeyondTheSlotsCount, StandinFixture) {
  Set(kEndlessPlan);
  Set({{"request_kinds",
        {{"watch", {{"min_ms", 600'000}, {"max_ms", 600'000}}}}}});
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  boost::asio::io_context context;
  HttpClient client(context, {0, 1 << 20});
  const auto send = [&](const std::string& aKind) {
    exchanges.push_back(
        client.Call(ParseAddress(m_addresses.at("runner-0")).value(),
                    Request(aKind, "m"), seconds(600), [](CallOutcome) {}));
  };
  std::thread loop;
  auto work = boost::asio::make_work_guard(context);
  send("watch");
  send("plan");
  send("plan");
  loop = std::thread([&] { context.run(); });
  WaitForCount("requests_run", 3);
  BOOST_TEST(Count("slots_in_use") == 2);
  BOOST_TEST(Count("slot_over_commitments") == 0);
  boost::asio::post(context, [&] { send("plan"); });
  WaitForCount("requests_run", 4);
  BOOST_TEST(Count("slot_over_commitments") == 1);
  BOOST_TEST(Count("slots_in_use_peak") == 3);
  boost::asio::post(context, [&] {
    for (auto& exchange : exchanges) exchange->Cancel();
  });
  WaitUntil([&] { return Count("slots_in_use") == 0; });
  WaitUntil(
      [&] { return !Get("/standin/counts").at("slots_in_use_share").empty(); });
  work.reset();
  loop.join();
}

// Guards against a truncated answer that looks complete.
BOOST_FIXTURE_TEST_CASE(CutAnswer, StandinFixture) {
  Switch("runner_cut", true, {{"vm", "runner-0"}});
  const HttpCall call = Request("check", "m");
  BOOST_TEST((Call(m_addresses.at("runner-0"), call).m_stage ==
              CallStage::PartlyRead));
  BOOST_TEST(IsOwn(Call(m_addresses.at("runner-1"), call), call));
  Switch("runner_cut", false, {{"vm", "runner-0"}});
  BOOST_TEST(IsOwn(Call(m_addresses.at("runner-0"), call), call));
}

// Guards against a fault that does not swap the answers, and against a request
// id header that reveals the swap although "echo" is false.
BOOST_FIXTURE_TEST_CASE(CrossedAnswers, StandinFixture) {
  for (const bool echo : {true, false}) {
    Switch("runner_crossed", true, {{"echo", echo}});
    const std::vector<HttpCall> calls = {Request("check", "m1"),
                                         Request("check", "m2")};
    const auto outcomes = CallAll(m_addresses.at("runner-0"), calls);
    BOOST_TEST(IsOwn(outcomes[0], calls[1]));
    BOOST_TEST(IsOwn(outcomes[1], calls[0]));
    BOOST_TEST(outcomes[0].m_reply.Header("Bronze-Request-Id") ==
               (echo ? "id-m2" : ""));
  }
}

// Guards against a crashed runner that still answers or does not restart.
BOOST_FIXTURE_TEST_CASE(CrashCutsOffAndRefuses, StandinFixture) {
  Set(kEndlessPlan);
  const std::string address = m_addresses.at("runner-0");
  boost::asio::io_context context;
  HttpClient client(context, {0, 1 << 20});
  CallOutcome running;
  client.Call(ParseAddress(address).value(), Request("plan", "m"), seconds(600),
              [&](CallOutcome aOutcome) { running = aOutcome; });
  std::thread loop([&] { context.run(); });
  WaitForCount("requests_run", 1);
  Switch("runner_crash", true, {{"vm", "runner-0"}});
  loop.join();
  BOOST_TEST((running.m_stage == CallStage::Sent));
  WaitUntil([&] {
    return Call(address, Request("check", "m")).m_stage ==
           CallStage::NotConnected;
  });
  BOOST_TEST(Count("slots_in_use") == 0);
  BOOST_TEST(Count("requests_run") == 1);
  Switch("runner_crash", false, {{"vm", "runner-0"}});
  WaitUntil([&] {
    return Call(address, Request("check", "m")).m_stage ==
           CallStage::CompleteReply;
  });
}

// Guards against a late answer or a noisy neighbour without effect.
BOOST_FIXTURE_TEST_CASE(LateAndSlowedAnswers, StandinFixture) {
  const auto timeOf = [&] {
    const auto start = std::chrono::steady_clock::now();
    Call(m_addresses.at("runner-0"), Request("check", "m"));
    return std::chrono::steady_clock::now() - start;
  };
  // Only lower bounds: on a busy machine calls may take much longer.
  Switch("runner_late", true, {{"delay_ms", 60}});
  BOOST_TEST((timeOf() >= milliseconds(62)));
  Switch("runner_late", false);
  Switch("noisy_neighbour", true, {{"vm", "worker-0"}, {"factor", 30.0}});
  BOOST_TEST((timeOf() >= milliseconds(60)));
  BOOST_TEST(Report("worker-0").at("slowdowns").at("check") == 30.0);
  BOOST_TEST(Report("worker-1").at("slowdowns").at("check") == 1.0);
}

// Guards against work on a leaving VM that is not counted, or that is counted
// within the 3 s of kLeavingGrace.
BOOST_FIXTURE_TEST_CASE(WorkAfterLeavingCounts, StandinFixture) {
  Set(kEndlessTasks);
  const auto start = std::chrono::steady_clock::now();
  for (const char* vm : {"runner-0", "worker-0"}) {
    Post(m_platform, "/standin/vms", {{"id", vm}, {"state", "leaving"}});
  }
  WaitUntil([&] {
    Call(m_addresses.at("runner-0"), Request("check", "m"));
    return Count("work_after_leaving") == 1;
  });
  BOOST_TEST((std::chrono::steady_clock::now() - start >= seconds(3)));
  BOOST_TEST(Command("worker-0", "/tasks/start", StartBody(1, 1)) == 200);
  BOOST_TEST(Count("work_after_leaving") == 2);
  Call(m_addresses.at("runner-1"), Request("check", "m"));
  BOOST_TEST(Count("work_after_leaving") == 2);
}

}  // namespace bronze
