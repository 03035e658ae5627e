/**
 * @file request_cmd.cpp Commands on the state of requests.
 */

#include "core/request/request_cmd.h"

#include <algorithm>

#include "core/request/admission_func.h"
#include "core/request/kind_func.h"
#include "core/request/queue_func.h"
#include "core/request/request_internal.h"
#include "core/request/retry_func.h"
#include "core/request/runner_func.h"

namespace bronze {

namespace {

/** @return why the request may not be retried, or nothing if it may. */
std::optional<CounterId> RetryObstacle(RequestState& aState,
                                       const PendingRequest& aPending,
                                       RetryRule aRule, TimePoint aNow) {
  if (aRule == RetryRule::Unknown) return CounterId::NoRetryNonIdempotent;
  if (aPending.m_deadline <= aNow) return CounterId::NoRetryWindow;
  const auto& rows = aState.m_runners.m_rows;
  if (std::none_of(rows.begin(), rows.end(), [](const RunnerState& aRunner) {
        return aRunner.m_id.IsValid() && !aRunner.m_leaving;
      })) {
    return CounterId::NoRetryNoRunner;
  }
  if (!TakeRetry(aState.m_retryBudget)) return CounterId::NoRetryBudget;
  return std::nullopt;
}

Error FinalError(const PendingRequest& aPending, CounterId aObstacle) {
  if (aPending.m_mayHaveRun) {
    return MakeError(
        ErrorKind::OutcomeUnknown,
        "no answer from the backend server; the request may have run");
  }
  if (aObstacle == CounterId::NoRetryBudget) {
    return MakeError(ErrorKind::RetryBudgetExhausted,
                     "no backend server was reached and the retry budget is "
                     "used up");
  }
  if (aObstacle == CounterId::NoRetryNoRunner) {
    return MakeError(ErrorKind::NoBackend,
                     "no backend server is left for a retry");
  }
  return MakeError(ErrorKind::DeadlineShed,
                   "no backend server was reached within the window");
}

/** @return the counter for a request that is not retried after this end. */
CounterId ReasonOf(const PendingRequest& aPending, AttemptEnd aEnd,
                   CounterId aObstacle) {
  const bool timedOut = aEnd == AttemptEnd::DeadlineReached;
  if (timedOut ||
      (aObstacle == CounterId::NoRetryNonIdempotent && aPending.m_idempotent)) {
    return CounterId::NoRetryWindow;
  }
  return aObstacle;
}

void RetryOrRefuse(RequestState& aState, const AttemptResult& aResult,
                   PendingRequest& aPending, RetryRule aRule, TimePoint aNow,
                   Counters& aCounters, RequestEffects& aEffects) {
  if (aRule == RetryRule::Unknown || aRule == RetryRule::RetryElseUnknown) {
    aPending.m_mayHaveRun = true;
  }
  aPending.m_avoid = aResult.m_runner;
  const auto obstacle = RetryObstacle(aState, aPending, aRule, aNow);
  if (obstacle) {
    Count(aCounters, ReasonOf(aPending, aResult.m_end, *obstacle));
    EndWithError(aState, aResult.m_request, FinalError(aPending, *obstacle),
                 aNow, aCounters, aEffects);
    return;
  }
  Count(aCounters, RetryRowFor(aResult.m_end).m_retryCounter);
  QueueOrDispatch(aState, aResult.m_request, aNow, aCounters, aEffects);
}

/** Ends an attempt without a caller: only the key owner needs the outcome. */
void EndWithoutCaller(RequestState& aState, const AttemptResult& aResult,
                      const Attempt& aAttempt, TimePoint aNow,
                      RequestEffects& aEffects) {
  if (!aAttempt.m_key.IsValid()) return;
  RunState runState = RunState::Unknown;
  const RetryRule rule = RetryRowFor(aResult.m_end).m_nonIdempotent;
  if (rule == RetryRule::Deliver) runState = RunState::Run;
  if (rule == RetryRule::RetryElseNotRun) runState = RunState::NotRun;
  EndClaim(aState, aResult.m_request, aAttempt.m_key, runState, aNow, aEffects);
}

void EndPending(RequestState& aState, const AttemptResult& aResult,
                PendingRequest& aPending, TimePoint aNow, Counters& aCounters,
                RequestEffects& aEffects) {
  const RetryRow& row = RetryRowFor(aResult.m_end);
  const RetryRule rule =
      aPending.m_idempotent ? row.m_idempotent : row.m_nonIdempotent;
  aPending.m_stage = RequestStage::Claiming;  // Neither running nor queued.
  if (rule == RetryRule::RetryElseNotRun && aPending.m_key.IsValid()) {
    EraseKeyDispatch(aState, aResult.m_request, aPending.m_key);
  }
  if (rule != RetryRule::Deliver) {
    RetryOrRefuse(aState, aResult, aPending, rule, aNow, aCounters, aEffects);
    return;
  }
  Count(aCounters, CounterId::RequestsAnswered);
  if (aPending.m_key.IsValid()) {
    EndClaim(aState, aResult.m_request, aPending.m_key, RunState::Run, aNow,
             aEffects);
  }
  aState.m_pending.erase(aResult.m_request);
  aEffects.emplace_back(DeliverAnswer{aResult.m_request});
}

void NoteEnd(RequestState& aState, const AttemptResult& aResult,
             const Attempt& aAttempt, TimePoint aNow) {
  // Only with DeadlineReached this VM closed the connection. In all other cases
  // the runner ended the exchange.
  const bool closed = aResult.m_end == AttemptEnd::DeadlineReached;
  EndSlot(aState, aAttempt, closed, aNow);
  if (aAttempt.m_class == KindClass::Standing && closed) return;
  NoteRunnerHealth(aState, aAttempt, aResult.m_end, aNow);
  if (aAttempt.m_class == KindClass::Standing) return;
  if (aResult.m_end == AttemptEnd::Answered || closed) {
    NoteRunTime(aState, aAttempt.m_kind, aResult.m_runTime, !closed);
    NoteRunnerLatency(aState, aAttempt, aResult.m_runTime, aNow);
  }
}

void EndLateAttempts(RequestState& aState, TimePoint aNow, Counters& aCounters,
                     RequestEffects& aEffects) {
  auto& timers = aState.m_attemptTimers;
  while (!timers.empty() && timers.begin()->first <= aNow) {
    const RequestId request = timers.begin()->second;
    const Attempt& attempt = aState.m_attempts.at(request);
    EndAttempt(aState,
               {request, aState.m_runners.m_rows[attempt.m_runner].m_id,
                AttemptEnd::DeadlineReached, aNow - attempt.m_dispatched},
               aNow, aCounters, aEffects);
  }
}

}  // namespace

void HandleArrival(RequestState& aState, const Arrival& aArrival,
                   TimePoint aNow, Counters& aCounters,
                   RequestEffects& aEffects) {
  Count(aCounters, CounterId::RequestsReceived);
  const auto kind = CheckAdmission(aState, aArrival, aNow);
  if (!kind) {
    Refuse(aArrival.m_request, kind.error(), aCounters, aEffects);
    return;
  }
  PendingRequest pending;
  pending.m_kind = aArrival.m_kind;
  pending.m_caller = aArrival.m_caller;
  pending.m_idempotent = kind.value().m_idempotent;
  if (!pending.m_idempotent) pending.m_key = aArrival.m_key;
  pending.m_arrived = aNow;
  pending.m_deadline = aNow + WindowOf(aState.m_settings, aArrival);
  const bool claims = pending.m_key.IsValid();
  aState.m_pending.emplace(aArrival.m_request, std::move(pending));
  CreditRetryBudget(aState.m_retryBudget,
                    aState.m_settings.m_retryBudgetPercent);
  if (claims) {
    StartClaim(aState, aArrival.m_request, aNow, aCounters, aEffects);
  } else {
    QueueOrDispatch(aState, aArrival.m_request, aNow, aCounters, aEffects);
  }
  DispatchQueued(aState, aNow, aCounters, aEffects);
}

void EndAttempt(RequestState& aState, const AttemptResult& aResult,
                TimePoint aNow, Counters& aCounters, RequestEffects& aEffects) {
  const auto found = aState.m_attempts.find(aResult.m_request);
  if (found == aState.m_attempts.end() ||
      aState.m_runners.m_rows[found->second.m_runner].m_id !=
          aResult.m_runner) {
    // The attempt has already ended, and its slot was freed then.
    Count(aCounters, CounterId::AnswersLate);
    return;
  }
  const Attempt attempt = std::move(found->second);
  aState.m_attempts.erase(found);
  aState.m_attemptTimers.erase(
      {attempt.m_deadline + kAttemptGrace, aResult.m_request});
  NoteEnd(aState, aResult, attempt, aNow);
  const auto pending = aState.m_pending.find(aResult.m_request);
  if (pending == aState.m_pending.end()) {
    Count(aCounters, CounterId::AnswersLate);
    EndWithoutCaller(aState, aResult, attempt, aNow, aEffects);
  } else {
    EndPending(aState, aResult, pending->second, aNow, aCounters, aEffects);
  }
  DispatchQueued(aState, aNow, aCounters, aEffects);
}

void HandleCallerLeft(RequestState& aState, RequestId aRequest, TimePoint aNow,
                      Counters& aCounters, RequestEffects& aEffects) {
  const auto found = aState.m_pending.find(aRequest);
  if (found == aState.m_pending.end()) return;
  Count(aCounters, RefusalCounter(ErrorKind::CallerGone));
  if (found->second.m_stage != RequestStage::Running) {
    DropRequest(aState, aRequest, aNow, aEffects);
    return;
  }
  // A standing request is useless without its caller and holds no slot, so it
  // can be aborted at once.
  if (found->second.m_class == KindClass::Standing) {
    aEffects.emplace_back(AbortAttempt{aRequest});
  }
  aState.m_pending.erase(found);
}

void AdvanceRequests(RequestState& aState, TimePoint aNow, Counters& aCounters,
                     RequestEffects& aEffects) {
  AdvanceRunners(aState, aNow);
  AdvanceGrants(aState, aNow, aCounters);
  EndLateAttempts(aState, aNow, aCounters, aEffects);
  AdvanceClaims(aState, aNow, aCounters, aEffects);
  DispatchQueued(aState, aNow, aCounters, aEffects);
  SendDueReports(aState, aNow, aEffects);
  PruneFlows(aState.m_queue);
}

}  // namespace bronze
