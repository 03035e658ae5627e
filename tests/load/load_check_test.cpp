/**
 * @file load_check_test.cpp Checks of the load generator, against faulty entry
 * VMs.
 */

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <set>

#include "load_fixture.h"
#include "net/error_reply.h"

namespace bronze {

namespace {

using ResponderPtr = std::shared_ptr<HttpResponder>;

uint64_t Sent(const LoadResult& aResult) {
  uint64_t sent = 0;
  for (const auto& [kind, counts] : aResult.m_kinds) sent += counts.m_sent;
  return sent;
}

uint64_t Retries(const LoadResult& aResult) {
  return aResult.m_kinds.begin()->second.m_retries;
}

std::string JobState(bool aEnds) {
  return aEnds ? R"({"state": "finished", "finished": 4})"
               : R"({"state": "running", "finished": 1})";
}

}  // namespace

// Guards against failures reported for a correct system.
BOOST_AUTO_TEST_CASE(CorrectAnswersAreClean) {
  FakeEntryVm entry([](size_t, HttpCall aCall, ResponderPtr aResponder) {
    aResponder->Reply(CorrectAnswer(aCall));
  });
  LoadOptions options = OptionsFor({entry.m_address});
  options.m_connections = 1;
  const LoadResult result = RunLoad(options);
  BOOST_TEST(Sent(result) > 0u);
  BOOST_TEST(CountOf(result, RequestOutcome::Answered) == Sent(result));
  BOOST_TEST(result.m_inWindow == Sent(result));
  BOOST_TEST(IsClean(result));
}

// Guards against an answer to another request that counts as correct.
BOOST_AUTO_TEST_CASE(MisdeliveredAnswersAreFlagged) {
  FakeEntryVm entry(
      [waiting = std::pair<HttpReply, ResponderPtr>()](
          size_t, HttpCall aCall, ResponderPtr aResponder) mutable {
        if (!waiting.second) {
          waiting = {CorrectAnswer(aCall), std::move(aResponder)};
          return;
        }
        aResponder->Reply(waiting.first);
        waiting.second->Reply(CorrectAnswer(aCall));
        waiting.second = nullptr;
      });
  LoadOptions options = OptionsFor({entry.m_address});
  options.m_window = seconds(1);
  const LoadResult result = RunLoad(options, milliseconds(1));
  BOOST_TEST(CountOf(result, RequestOutcome::Misdelivered) > 0u);
  BOOST_TEST(CountOf(result, RequestOutcome::Answered) == 0u);
  BOOST_TEST(!IsClean(result));
}

// Guards against an answer that two requests receive.
BOOST_AUTO_TEST_CASE(DuplicateAnswersAreFlagged) {
  FakeEntryVm entry(
      [first = std::optional<HttpReply>()](size_t, HttpCall aCall,
                                           ResponderPtr aResponder) mutable {
        if (!first) first = CorrectAnswer(aCall);
        aResponder->Reply(*first);
      });
  const LoadResult result = RunLoad(OptionsFor({entry.m_address}));
  BOOST_TEST(CountOf(result, RequestOutcome::Duplicate) == Sent(result) - 1);
  BOOST_TEST(!IsClean(result));
}

// Guards against a truncated answer in a complete HTTP reply.
BOOST_AUTO_TEST_CASE(TruncatedAnswersAreFlagged) {
  FakeEntryVm entry([](size_t, HttpCall aCall, ResponderPtr aResponder) {
    HttpReply reply = CorrectAnswer(aCall);
    reply.m_body.resize(reply.m_body.size() - 1);
    aResponder->Reply(reply);
  });
  const LoadResult result = RunLoad(OptionsFor({entry.m_address}));
  BOOST_TEST(CountOf(result, RequestOutcome::Malformed) == Sent(result));
  BOOST_TEST(LostOf(result) == Sent(result));
  BOOST_TEST(!IsClean(result));
}

// Guards against a body that was altered in transit but is still valid JSON.
BOOST_AUTO_TEST_CASE(ChangedBodiesAreFlagged) {
  FakeEntryVm entry([](size_t, HttpCall aCall, ResponderPtr aResponder) {
    HttpReply reply = CorrectAnswer(aCall);
    reply.m_body.insert(reply.m_body.find("marker") + 1, "x");
    aResponder->Reply(reply);
  });
  const LoadResult result = RunLoad(OptionsFor({entry.m_address}));
  BOOST_TEST(CountOf(result, RequestOutcome::Malformed) == Sent(result));
}

// Guards against a request that never gets an answer and is not reported.
BOOST_AUTO_TEST_CASE(LostAnswersAreFlagged) {
  FakeEntryVm entry([kept = std::vector<ResponderPtr>()](
                        size_t, HttpCall, ResponderPtr aResponder) mutable {
    kept.push_back(std::move(aResponder));
  });
  LoadOptions options = OptionsFor({entry.m_address});
  options.m_window = milliseconds(50);
  const LoadResult result = RunLoad(options, milliseconds(50));
  BOOST_TEST(CountOf(result, RequestOutcome::Lost) == Sent(result));
  BOOST_TEST(!IsClean(result));
}

// Guards against an error reply that counts as lost or as an answer.
BOOST_AUTO_TEST_CASE(RefusedRequestsAreNotLost) {
  FakeEntryVm entry([](size_t, HttpCall, ResponderPtr aResponder) {
    aResponder->Reply(ErrorReply(MakeError(ErrorKind::QueueFull, "full")));
  });
  const LoadResult result = RunLoad(OptionsFor({entry.m_address}));
  BOOST_TEST(CountOf(result, RequestOutcome::Refused) == Sent(result));
  BOOST_TEST(result.m_refusals.at("queue_full") == Sent(result));
  BOOST_TEST(result.m_inWindow == 0u);
  BOOST_TEST(IsClean(result));
}

// Guards against a non-idempotent request that is retried after its outcome
// became unknown, by an error reply or by a broken connection.
BOOST_AUTO_TEST_CASE(UnknownOutcomesAreNotRetried) {
  for (const bool breaks : {false, true}) {
    std::multiset<std::string> seen;
    const HttpHandler handler = [&](size_t, HttpCall aCall,
                                    ResponderPtr aResponder) {
      seen.insert(aCall.Header("Idempotency-Key"));
      if (breaks) {
        aResponder->Abort();
      } else {
        aResponder->Reply(
            ErrorReply(MakeError(ErrorKind::OutcomeUnknown, "unknown")));
      }
    };
    uint64_t sent = 0;
    {
      FakeEntryVm entry(handler);
      LoadOptions options = OptionsFor({entry.m_address, entry.m_address});
      options.m_mix = {{KindId("commit"), 1.0}};
      const LoadResult result = RunLoad(options);
      sent = Sent(result);
      BOOST_TEST(Retries(result) == 0u);
      BOOST_TEST(CountOf(result, RequestOutcome::Unknown) +
                     CountOf(result, RequestOutcome::Broken) ==
                 sent);
      BOOST_TEST(IsClean(result));
    }
    BOOST_TEST(seen.size() == sent);
    BOOST_TEST(std::set<std::string>(seen.begin(), seen.end()).size() == sent);
  }
}

// Guards against an idempotent request that is not retried at another entry VM
// after a broken or refused connection.
BOOST_AUTO_TEST_CASE(AnotherTargetIsTried) {
  FakeEntryVm good([](size_t, HttpCall aCall, ResponderPtr aResponder) {
    aResponder->Reply(CorrectAnswer(aCall));
  });
  FakeEntryVm breaking([](size_t, HttpCall aCall, ResponderPtr aResponder) {
    HttpReply reply = CorrectAnswer(aCall);
    reply.m_cutAfter = reply.m_body.size() / 2;
    aResponder->Reply(reply);
  });
  const LoadResult result = RunLoad(
      OptionsFor({breaking.m_address, UnusedAddress(), good.m_address}));
  BOOST_TEST(CountOf(result, RequestOutcome::Answered) == Sent(result));
  BOOST_TEST(Retries(result) > 0u);
  const LoadResult alone = RunLoad(OptionsFor({breaking.m_address}));
  BOOST_TEST(CountOf(alone, RequestOutcome::Lost) == Sent(alone));
  const LoadResult unreachable = RunLoad(OptionsFor({UnusedAddress()}));
  BOOST_TEST(unreachable.m_refusals.at("connection_failed") ==
             Sent(unreachable));
  BOOST_TEST(IsClean(unreachable));
}

// Guards against a draining entry VM that keeps getting its share of requests,
// which a load balancer with health checks would not send it.
BOOST_AUTO_TEST_CASE(DrainingTargetIsSkipped) {
  FakeEntryVm good([](size_t, HttpCall aCall, ResponderPtr aResponder) {
    aResponder->Reply(CorrectAnswer(aCall));
  });
  FakeEntryVm draining([](size_t, HttpCall, ResponderPtr aResponder) {
    aResponder->Reply(ErrorReply(MakeError(ErrorKind::Draining, "drains")));
  });
  LoadOptions options = OptionsFor({draining.m_address, good.m_address});
  options.m_connections = 1;
  const LoadResult result = RunLoad(options);
  BOOST_TEST(CountOf(result, RequestOutcome::Refused) > 0u);
  BOOST_TEST(CountOf(result, RequestOutcome::Refused) < Sent(result) / 2);
  BOOST_TEST(IsClean(result));
}

// Guards against a job that is submitted twice or not polled until it ends.
BOOST_AUTO_TEST_CASE(JobsArePolledUntilTheyEnd) {
  for (const bool ends : {true, false}) {
    std::multiset<std::string> submissions;
    LoadResult result;
    {
      FakeEntryVm entry([&](size_t, HttpCall aCall, ResponderPtr aResponder) {
        HttpReply reply;
        if (aCall.m_method == "GET") {
          reply.m_body = JobState(ends);
        } else {
          const auto body = nlohmann::json::parse(aCall.m_body);
          submissions.insert(body.at("submission_id").get<std::string>());
          // The first answer to each submission is lost, except with a limit
          // of zero, which leaves no time for a retry.
          if (ends && submissions.count(body.at("submission_id")) == 1) return;
          reply.m_status = 201;
          reply.m_body = R"({"job": "1", "state": "queued"})";
        }
        aResponder->Reply(reply);
      });
      LoadOptions options = OptionsFor({entry.m_address});
      options.m_rate = 0.0;
      options.m_jobs = 2;
      result = RunLoad(options, seconds(1), seconds(ends ? 60 : 0));
    }
    BOOST_TEST(submissions.size() == (ends ? 4u : 2u));
    BOOST_TEST(result.m_batch.m_submitted == 2u);
    BOOST_TEST(result.m_batch.m_finished == (ends ? 2u : 0u));
    BOOST_TEST(result.m_batch.m_tasksFinished == (ends ? 8u : 2u));
    BOOST_TEST(result.m_batch.m_open == (ends ? 0u : 2u));
    BOOST_TEST(result.m_batch.m_tasksOpen == (ends ? 0u : 6u));
    BOOST_TEST(IsClean(result) == ends);
  }
}

}  // namespace bronze
