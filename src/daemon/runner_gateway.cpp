/**
 * @file runner_gateway.cpp Sends requests to runners from one traffic thread.
 */

#include "daemon/runner_gateway.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/metrics/counter_func.h"
#include "daemon/clock.h"

namespace bronze {

namespace {

// A runner accepts 60 connections, shared by about 9 entry VMs.
constexpr size_t kIdlePerRunner = 6;
constexpr size_t kMaxAnswerBytes = 16 << 20;
constexpr int kStatusRunnerBusy = 503;

/** A different id in the answer means that the runner mixed up two answers. */
bool HasOtherRequestId(const CallerCall& aCall, const HttpReply& aReply) {
  const std::string echo = aReply.Header("Bronze-Request-Id");
  return !echo.empty() &&
         echo != fmt::format("{:016x}", aCall.m_request.Value());
}

AttemptEnd ToAttemptEnd(const CallOutcome& aOutcome) {
  switch (aOutcome.m_stage) {
    case CallStage::NotConnected:
      return AttemptEnd::ConnectFailed;
    case CallStage::PartlySent:
      return AttemptEnd::SendFailed;
    case CallStage::Sent:
    case CallStage::PartlyRead:
      return aOutcome.m_timedOut ? AttemptEnd::DeadlineReached
                                 : AttemptEnd::AnswerLost;
    case CallStage::CompleteReply:
      return aOutcome.m_reply.m_status == kStatusRunnerBusy
                 ? AttemptEnd::RunnerBusy
                 : AttemptEnd::Answered;
  }
  return AttemptEnd::AnswerLost;
}

}  // namespace

RunnerGateway::RunnerGateway(boost::asio::io_context& aContext,
                             Counters& aCounters, EndHandler aOnEnd)
    : m_counters(aCounters),
      m_onEnd(std::move(aOnEnd)),
      m_client(aContext, {kIdlePerRunner, kMaxAnswerBytes}) {}

void RunnerGateway::Send(std::shared_ptr<CallerCall> aCall,
                         const RunnerId& aRunner,
                         const boost::asio::ip::tcp::endpoint& aAddress,
                         TimePoint aDeadline) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/run/" + aCall->m_kind.Value();
  call.m_headers.emplace_back("Bronze-Request-Id",
                              fmt::format("{:016x}", aCall->m_request.Value()));
  if (!aCall->m_key.empty()) {
    call.m_headers.emplace_back("Idempotency-Key", aCall->m_key);
  }
  call.m_body = aCall->m_body;
  const TimePoint start = Now();
  const RequestId request = aCall->m_request;
  const Duration timeout = std::max(aDeadline - start, Duration(1));
  auto onOutcome = [this, keptCall = std::move(aCall), aRunner,
                    start](CallOutcome aOutcome) {
    AttemptResult result;
    result.m_request = keptCall->m_request;
    result.m_runner = aRunner;
    result.m_end = ToAttemptEnd(aOutcome);
    result.m_runTime = Now() - start;
    if (aOutcome.m_stage == CallStage::CompleteReply &&
        HasOtherRequestId(*keptCall, aOutcome.m_reply)) {
      Count(m_counters, CounterId::AnswersForeign);
      result.m_end = AttemptEnd::AnswerLost;
    }
    keptCall->m_answer = std::move(aOutcome.m_reply);
    m_exchanges.erase(keptCall->m_request);
    m_onEnd(keptCall, std::move(result));
  };
  m_exchanges[request] =
      m_client.Call(aAddress, call, timeout, std::move(onOutcome));
}

void RunnerGateway::Abort(RequestId aRequest) {
  const auto found = m_exchanges.find(aRequest);
  if (found != m_exchanges.end()) found->second->Cancel();
}

}  // namespace bronze
