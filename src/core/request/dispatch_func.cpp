/**
 * @file dispatch_func.cpp Dispatches queued requests to runners.
 */

#include "core/request/admission_func.h"
#include "core/request/kind_func.h"
#include "core/request/queue_func.h"
#include "core/request/request_internal.h"
#include "core/request/routing_func.h"
#include "core/request/runner_func.h"

namespace bronze {

namespace {

void Dispatch(RequestState& aState, RequestId aRequest,
              PendingRequest& aPending, RunnerIndex aRunner, TimePoint aNow,
              Counters& aCounters, RequestEffects& aEffects) {
  Attempt attempt;
  attempt.m_runner = aRunner;
  attempt.m_kind = aPending.m_kind;
  attempt.m_class = aPending.m_class;
  attempt.m_key = aPending.m_key;
  attempt.m_dispatched = aNow;
  attempt.m_deadline = aPending.m_deadline;
  TakeSlot(aState, attempt);
  NoteProbe(aState, aPending, aNow);
  if (aPending.m_key.IsValid()) {
    NoteKeyDispatch(aState, aRequest, aPending.m_key, aNow);
  }
  aPending.m_stage = RequestStage::Running;
  aState.m_attemptTimers.insert(
      {aPending.m_deadline + kAttemptGrace, aRequest});
  aState.m_attempts.insert_or_assign(aRequest, std::move(attempt));
  Count(aCounters, CounterId::RequestAttempts);
  aEffects.emplace_back(DispatchRequest{
      aRequest, aState.m_runners.m_rows[aRunner].m_id, aPending.m_deadline});
}

/**
 * Whether the kind has become slower since the request was queued, so that its
 * deadline can no longer be met.
 */
bool HasBecomeUnreachable(const RequestState& aState,
                          const PendingRequest& aPending, TimePoint aNow) {
  if (aState.m_settings.m_queuePolicy == QueuePolicy::Fifo) return false;
  const Duration run = ExpectedRun(aState, aPending.m_kind);
  return run > aPending.m_queueEntry.m_runTime &&
         aNow + run > aPending.m_deadline;
}

bool HasChangedClass(const RequestState& aState,
                     const PendingRequest& aPending) {
  return aState.m_settings.m_queuePolicy != QueuePolicy::Fifo &&
         aPending.m_class != ClassOf(aState, aPending.m_kind);
}

void Shed(RequestState& aState, RequestId aRequest, TimePoint aNow,
          Counters& aCounters, RequestEffects& aEffects) {
  const bool mayHaveRun = aState.m_pending.at(aRequest).m_mayHaveRun;
  EndWithError(aState, aRequest,
               mayHaveRun
                   ? MakeError(ErrorKind::OutcomeUnknown,
                               "no answer from the backend server and no time "
                               "left for a retry; the request may have run")
                   : MakeError(ErrorKind::DeadlineShed,
                               "no slot became free within the window"),
               aNow, aCounters, aEffects);
}

enum class Step : uint8_t { Done, NoSlot };

/** Dispatches the next request of one class, if a slot is free for it. */
Step DispatchNext(RequestState& aState, KindClass aClass, TimePoint aNow,
                  Counters& aCounters, RequestEffects& aEffects) {
  const ClassQueue& queue = QueueOf(aState.m_queue, aClass);
  if (queue.m_size == 0) return Step::NoSlot;
  if (aClass == KindClass::Long && !MayStartLong(aState)) return Step::NoSlot;
  const RequestId next = NextOf(queue);
  PendingRequest& pending = aState.m_pending.at(next);
  if (pending.m_key.IsValid() && !IsClaimGranted(aState, pending, aNow)) {
    RemoveQueued(aState, next, pending);
    StartClaim(aState, next, aNow, aCounters, aEffects);
    return Step::Done;
  }
  if (HasBecomeUnreachable(aState, pending, aNow)) {
    Shed(aState, next, aNow, aCounters, aEffects);
    return Step::Done;
  }
  if (HasChangedClass(aState, pending)) {
    RemoveQueued(aState, next, pending);
    Enqueue(aState, next, pending);
    return Step::Done;
  }
  const auto runner = ChooseRunner(aState, pending, aNow);
  if (!runner) return Step::NoSlot;
  TakeQueued(aState, next, pending);
  Dispatch(aState, next, pending, *runner, aNow, aCounters, aEffects);
  return Step::Done;
}

void DispatchStanding(RequestState& aState, RequestId aRequest, TimePoint aNow,
                      Counters& aCounters, RequestEffects& aEffects) {
  PendingRequest& pending = aState.m_pending.at(aRequest);
  pending.m_class = KindClass::Standing;
  const auto runner = ChooseStandingRunner(aState, pending, aNow);
  if (!runner) {
    EndWithError(aState, aRequest,
                 MakeError(ErrorKind::NoBackend,
                           "no usable backend server for a standing request"),
                 aNow, aCounters, aEffects);
    return;
  }
  Dispatch(aState, aRequest, pending, *runner, aNow, aCounters, aEffects);
}

}  // namespace

void Refuse(RequestId aRequest, Error aError, Counters& aCounters,
            RequestEffects& aEffects) {
  Count(aCounters, RefusalCounter(aError.m_kind));
  aEffects.emplace_back(RefuseRequest{aRequest, std::move(aError)});
}

void DropRequest(RequestState& aState, RequestId aRequest, TimePoint aNow,
                 RequestEffects& aEffects) {
  const auto found = aState.m_pending.find(aRequest);
  const PendingRequest& pending = found->second;
  if (pending.m_stage == RequestStage::Queued) {
    RemoveQueued(aState, aRequest, pending);
  }
  if (pending.m_key.IsValid()) {
    EndClaim(aState, aRequest, pending.m_key,
             pending.m_mayHaveRun ? RunState::Unknown : RunState::NotRun, aNow,
             aEffects);
  }
  aState.m_pending.erase(found);
}

void EndWithError(RequestState& aState, RequestId aRequest, Error aError,
                  TimePoint aNow, Counters& aCounters,
                  RequestEffects& aEffects) {
  DropRequest(aState, aRequest, aNow, aEffects);
  Refuse(aRequest, std::move(aError), aCounters, aEffects);
}

void QueueOrDispatch(RequestState& aState, RequestId aRequest, TimePoint aNow,
                     Counters& aCounters, RequestEffects& aEffects) {
  PendingRequest& pending = aState.m_pending.at(aRequest);
  if (ClassOf(aState, pending.m_kind) == KindClass::Standing) {
    DispatchStanding(aState, aRequest, aNow, aCounters, aEffects);
  } else {
    Enqueue(aState, aRequest, pending);
  }
}

void ShedUnreachable(RequestState& aState, TimePoint aNow, Counters& aCounters,
                     RequestEffects& aEffects) {
  const auto& queued = aState.m_queue.m_byLatestStart;
  while (!queued.empty() && queued.begin()->first <= aNow) {
    Shed(aState, queued.begin()->second, aNow, aCounters, aEffects);
  }
}

void DispatchQueued(RequestState& aState, TimePoint aNow, Counters& aCounters,
                    RequestEffects& aEffects) {
  ShedUnreachable(aState, aNow, aCounters, aEffects);
  while (QueuedCount(aState.m_queue) > 0 &&
         !aState.m_runners.m_freeList.empty()) {
    const KindClass first = NextClass(aState.m_queue);
    const KindClass second =
        first == KindClass::Short ? KindClass::Long : KindClass::Short;
    if (DispatchNext(aState, first, aNow, aCounters, aEffects) == Step::Done) {
      continue;
    }
    if (DispatchNext(aState, second, aNow, aCounters, aEffects) ==
        Step::NoSlot) {
      break;
    }
  }
  if (QueuedCount(aState.m_queue) > 0) SendDueReports(aState, aNow, aEffects);
}

}  // namespace bronze
