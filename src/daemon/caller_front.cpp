/**
 * @file caller_front.cpp HTTP interface for callers.
 */

#include "daemon/caller_front.h"

#include <charconv>
#include <random>

#include "core/metrics/counter_func.h"
#include "daemon/clock.h"
#include "daemon/job_call.h"
#include "net/error_reply.h"

namespace bronze {

namespace {

constexpr std::string_view kRequestPrefix = "/v1/requests/";

RequestId NewRequestId() {
  // Random, because ids must be unique across all entry VMs.
  thread_local std::mt19937_64 random{[] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }()};
  return RequestId(random() >> 1);
}

/** @return the window in the header; zero if there is no such header. */
Result<Duration> ParseWindow(const HttpCall& aCall) {
  const std::string text = aCall.Header("Bronze-Window-Ms");
  if (text.empty()) return Duration::zero();
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  constexpr int64_t kMaxWindowMs = 3'600'000;
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
      value < 1 || value > kMaxWindowMs) {
    return MakeError(ErrorKind::BadWindow,
                     "header Bronze-Window-Ms must be a number of "
                     "milliseconds from 1 to 3600000");
  }
  return Duration(milliseconds(value));
}

Result<Arrival> ParseArrival(const HttpCall& aCall) {
  if (!aCall.m_target.starts_with(kRequestPrefix)) {
    return MakeError(ErrorKind::UnknownRoute,
                     "no such path; see /v1/requests/{kind} and /v1/jobs");
  }
  if (aCall.m_method != "POST") {
    return MakeError(ErrorKind::MethodNotAllowed,
                     "this path accepts only POST");
  }
  auto window = ParseWindow(aCall);
  if (!window) return window.error();
  Arrival arrival;
  arrival.m_kind = KindId(aCall.m_target.substr(kRequestPrefix.size()));
  arrival.m_caller = CallerId(aCall.Header("Bronze-Caller"));
  if (!arrival.m_caller.IsValid()) arrival.m_caller = CallerId(aCall.m_remote);
  arrival.m_key = IdempotencyKey(aCall.Header("Idempotency-Key"));
  arrival.m_window = window.value();
  return arrival;
}

}  // namespace

CallerFront::CallerFront(ControlLoop& aControl, Counters& aCounters)
    : m_control(aControl), m_counters(aCounters) {}

void CallerFront::Handle(size_t aThread, HttpCall aCall,
                         std::shared_ptr<HttpResponder> aResponder) {
  if (IsJobCall(aCall)) {
    m_control.Post([this, call = std::move(aCall),
                    responder = std::move(aResponder)]() mutable {
      m_control.Batch().HandleJobCall(std::move(call), std::move(responder));
    });
    return;
  }
  auto arrival = ParseArrival(aCall);
  if (!arrival) {
    Count(m_counters, RefusalCounter(arrival.error().m_kind));
    aResponder->Reply(ErrorReply(arrival.error()));
    return;
  }
  const RequestId request = NewRequestId();
  arrival.value().m_request = request;
  auto call = std::make_shared<CallerCall>();
  call->m_request = request;
  call->m_kind = arrival.value().m_kind;
  call->m_body = std::move(aCall.m_body);
  call->m_key = arrival.value().m_key.Value();
  call->m_arrived = Now();
  call->m_thread = aThread;
  call->m_responder = aResponder;
  aResponder->OnSenderGone(
      [this, request] { m_control.Requests().PostCallerLeft(request); });
  m_control.Requests().PostArrival(std::move(call), std::move(arrival.value()));
}

}  // namespace bronze
