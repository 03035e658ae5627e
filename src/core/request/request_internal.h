/**
 * @file request_internal.h Functions shared by the commands on requests.
 */

#ifndef BRONZE_CORE_REQUEST_REQUEST_INTERNAL_H_
#define BRONZE_CORE_REQUEST_REQUEST_INTERNAL_H_

#include "core/metrics/counter_func.h"
#include "core/request/request_base.h"

namespace bronze {

/** The daemon may report the end of an attempt this long after its deadline. */
inline constexpr Duration kAttemptGrace = milliseconds(250);

/** Answers the caller with an error and counts it. */
void Refuse(RequestId aRequest, Error aError, Counters& aCounters,
            RequestEffects& aEffects);

/**
 * Ends a request that is not running with an error: releases its key claim and
 * removes it from the queue.
 */
void EndWithError(RequestState& aState, RequestId aRequest, Error aError,
                  TimePoint aNow, Counters& aCounters,
                  RequestEffects& aEffects);

/** As EndWithError(), without an answer to the caller. */
void DropRequest(RequestState& aState, RequestId aRequest, TimePoint aNow,
                 RequestEffects& aEffects);

/** Queues a request, or dispatches it at once when it is a standing one. */
void QueueOrDispatch(RequestState& aState, RequestId aRequest, TimePoint aNow,
                     Counters& aCounters, RequestEffects& aEffects);

/** Refuses queued requests whose deadline can no longer be met. */
void ShedUnreachable(RequestState& aState, TimePoint aNow, Counters& aCounters,
                     RequestEffects& aEffects);

/** Runs ShedUnreachable(), then dispatches while there are free slots. */
void DispatchQueued(RequestState& aState, TimePoint aNow, Counters& aCounters,
                    RequestEffects& aEffects);

// Slots (slot_holder_cmd.cpp).

/** Updates a runner's slot owner to the owners in force. */
void AssignRunnerOwner(RequestState& aState, RunnerIndex aIndex);

/** Sends the slot reports that are due by time or by a change of demand. */
void SendDueReports(RequestState& aState, TimePoint aNow,
                    RequestEffects& aEffects);

/** Ends grants whose validity is over. */
void AdvanceGrants(RequestState& aState, TimePoint aNow, Counters& aCounters);

// Idempotency keys (key_claim_cmd.cpp).

/**
 * Starts the claim for a request that is in m_pending and not queued, or
 * refuses it when another request here has the same key.
 */
void StartClaim(RequestState& aState, RequestId aRequest, TimePoint aNow,
                Counters& aCounters, RequestEffects& aEffects);

/** Whether the claim for the key is still granted; checked before dispatch. */
[[nodiscard]] bool IsClaimGranted(const RequestState& aState,
                                  const PendingRequest& aPending,
                                  TimePoint aNow);

/** Records that the request with the key is being dispatched. */
void NoteKeyDispatch(RequestState& aState, RequestId aRequest,
                     const IdempotencyKey& aKey, TimePoint aNow);

/** Erases the record of a dispatch whose attempt certainly did not run. */
void EraseKeyDispatch(RequestState& aState, RequestId aRequest,
                      const IdempotencyKey& aKey);

/** Ends the claim and tells the owner how the request ended. */
void EndClaim(RequestState& aState, RequestId aRequest,
              const IdempotencyKey& aKey, RunState aRunState, TimePoint aNow,
              RequestEffects& aEffects);

/** Restarts claims whose owner or witness has changed. */
void RenewClaims(RequestState& aState, TimePoint aNow,
                 RequestEffects& aEffects);

/** Resends claims and outcomes; refuses requests whose claim timed out. */
void AdvanceClaims(RequestState& aState, TimePoint aNow, Counters& aCounters,
                   RequestEffects& aEffects);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_REQUEST_INTERNAL_H_
