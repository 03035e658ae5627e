/**
 * @file request_cmd.h Commands on the state of requests.
 *
 * Each command takes the current time, changes the state and appends the
 * effects that the daemon has to carry out to aEffects.
 */

#ifndef BRONZE_CORE_REQUEST_REQUEST_CMD_H_
#define BRONZE_CORE_REQUEST_REQUEST_CMD_H_

#include <optional>

#include "core/metrics/counter_func.h"
#include "core/request/request_base.h"

namespace bronze {

/** Handles a request from a caller: refuses, dispatches or queues it. */
void HandleArrival(RequestState& aState, const Arrival& aArrival,
                   TimePoint aNow, Counters& aCounters,
                   RequestEffects& aEffects);

/**
 * Handles the end of an attempt: delivers the answer, retries the request or
 * refuses it, and gives the free slot to the next request. The result of an
 * attempt that has already ended is counted as late and has no other effect.
 */
void EndAttempt(RequestState& aState, const AttemptResult& aResult,
                TimePoint aNow, Counters& aCounters, RequestEffects& aEffects);

/**
 * The caller closed its connection. An attempt that holds a slot continues
 * until it ends or its deadline passes, since its slot is not free before.
 */
void HandleCallerLeft(RequestState& aState, RequestId aRequest, TimePoint aNow,
                      Counters& aCounters, RequestEffects& aEffects);

/**
 * Does all time-driven work: refuses requests that cannot be answered in time,
 * frees slots, ends exclusions of runners, resends claims and sends slot
 * reports. To be called every 10 ms.
 */
void AdvanceRequests(RequestState& aState, TimePoint aNow, Counters& aCounters,
                     RequestEffects& aEffects);

/** Adds or updates a runner of the VM list. */
void SetRunner(RequestState& aState, const RunnerId& aRunner, Slots aCapacity,
               bool aLeaving);

/**
 * Removes a runner that is no longer in the VM list. While it still runs
 * requests it only gets no new ones, and the call has to be repeated.
 */
void RemoveRunner(RequestState& aState, const RunnerId& aRunner);

/** Replaces the owners of runners and keys, as of the epoch in force. */
void SetUnitOwners(RequestState& aState, UnitOwners aOwners, TimePoint aNow,
                   Counters& aCounters, RequestEffects& aEffects);

/** Handles the slot grants of a slot owner. */
void HandleSlotGrant(RequestState& aState, const PeerSender& aFrom,
                     const SlotGrant& aGrant, TimePoint aNow,
                     Counters& aCounters, RequestEffects& aEffects);

/** Handles the answer of a key owner or witness to a claim of this VM. */
void HandleKeyAnswer(RequestState& aState, const PeerSender& aFrom,
                     const KeyAnswer& aAnswer, TimePoint aNow,
                     Counters& aCounters, RequestEffects& aEffects);

/**
 * Acts as the witness for a key claim whose sender owns the key's shard itself:
 * keeps a copy, so that the loss of one VM never loses a claim.
 * @return the answer to send, or nothing if this VM is not the witness and the
 * claim is one for HandleKeyClaim().
 */
[[nodiscard]] std::optional<KeyAnswer> WitnessKeyClaim(RequestState& aState,
                                                       const PeerSender& aFrom,
                                                       const KeyClaim& aClaim,
                                                       TimePoint aNow);

/** Answers a new key owner that asks for the keys dispatched by this VM. */
void HandleKeyReportRequest(RequestState& aState, const PeerSender& aFrom,
                            TimePoint aNow, RequestEffects& aEffects);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_REQUEST_CMD_H_
