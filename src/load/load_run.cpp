/**
 * @file load_run.cpp Sends the requests of a run and checks their answers.
 */

#include "load/load_run.h"

#include <fmt/format.h>

#include <algorithm>

#include "standin/clock.h"

namespace bronze {

LoadRun::LoadRun(const LoadOptions& aOptions, TargetPool& aTargets,
                 boost::asio::io_context& aControl, LoadResult& aResult,
                 Duration aGrace)
    : m_options(aOptions),
      m_targets(aTargets),
      m_timer(aControl),
      m_result(aResult),
      m_grace(aGrace),
      m_arrivals(aOptions.m_seed) {}

void LoadRun::Start(std::function<void()> aOnEnd) {
  m_onEnd = std::move(aOnEnd);
  m_begin = ReadClock();
  m_nextArrival = NextArrival(m_arrivals, m_options);
  ScheduleArrival();
}

void LoadRun::ScheduleArrival() {
  if (!m_nextArrival) {
    EndIfDone();
    return;
  }
  const Duration wait = m_begin + *m_nextArrival - ReadClock();
  m_timer.expires_after(std::max(wait, Duration::zero()));
  m_timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) StartDueRequests();
  });
}

void LoadRun::StartDueRequests() {
  const TimePoint now = ReadClock();
  while (m_nextArrival && m_begin + *m_nextArrival <= now) {
    StartRequest(std::make_shared<LoadRequest>(
        MakeRequest(m_arrivals, m_options, m_begin)));
    m_nextArrival = NextArrival(m_arrivals, m_options);
  }
  ScheduleArrival();
}

void LoadRun::StartRequest(const RequestPtr& aRequest) {
  ++m_result.m_kinds[aRequest->m_kind].m_sent;
  if (aRequest->m_inSwing) ++m_result.m_sentSwing;
  if (m_inFlight >= m_options.m_connections) {
    ++m_result.m_delayed;
    m_waiting.push_back(aRequest);
    return;
  }
  ++m_inFlight;
  Send(aRequest);
}

void LoadRun::Send(const RequestPtr& aRequest) {
  const Duration left =
      std::max<Duration>(aRequest->m_deadline - ReadClock(), milliseconds(1));
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/v1/requests/" + aRequest->m_kind.Value();
  call.m_headers.emplace_back(
      "Bronze-Window-Ms",
      fmt::format("{}", std::chrono::ceil<milliseconds>(left).count()));
  if (!aRequest->m_key.empty()) {
    call.m_headers.emplace_back("Idempotency-Key", aRequest->m_key);
  }
  call.m_body = aRequest->m_body;
  const size_t target = m_targets.Choose(aRequest->m_tried);
  aRequest->m_tried.push_back(target);
  m_targets.Call(
      target, std::move(call), left + m_grace,
      [this, aRequest](const CallOutcome& aOutcome, TimePoint aEndTime) {
        OnOutcome(aRequest, aOutcome, aEndTime);
      });
}

void LoadRun::OnOutcome(const RequestPtr& aRequest, const CallOutcome& aOutcome,
                        TimePoint aEndedAt) {
  const AttemptResult attempt =
      ClassifyAttempt(m_receivedMarkers, *aRequest, aOutcome);
  if (MayRetry(*aRequest, attempt.m_outcome, m_targets.Size(), aEndedAt)) {
    ++m_result.m_kinds[aRequest->m_kind].m_retries;
    Send(aRequest);
    return;
  }
  RecordOutcome(m_result, *aRequest, attempt.m_outcome, attempt.m_error,
                aEndedAt);
  if (m_waiting.empty()) {
    --m_inFlight;
    EndIfDone();
    return;
  }
  const RequestPtr next = m_waiting.front();
  m_waiting.pop_front();
  Send(next);
}

void LoadRun::EndIfDone() {
  if (m_nextArrival || m_inFlight > 0 || !m_onEnd) return;
  const auto onEnd = std::move(m_onEnd);
  m_onEnd = nullptr;
  onEnd();
}

}  // namespace bronze
