/**
 * @file key_claim_base.h Idempotency keys that an entry VM has claimed or
 * dispatched.
 */

#ifndef BRONZE_CORE_REQUEST_KEY_CLAIM_BASE_H_
#define BRONZE_CORE_REQUEST_KEY_CLAIM_BASE_H_

#include <deque>
#include <set>
#include <unordered_map>

#include "core/message/peer_message_type.h"

namespace bronze {

/** A claim that is requested, or granted while its request has not ended. */
struct OpenClaim {
  RequestId m_request;
  VmId m_owner;
  Incarnation m_ownerIncarnation;
  VmId m_witness;  ///< Keeps a copy when this VM owns the key itself.
  bool m_ownerGranted = false;
  bool m_witnessGranted = false;
  TimePoint m_nextSend;
  TimePoint m_giveUpAt;  ///< The request is refused as "not run" then.
};

/** A key whose request this VM dispatched, or its owner may have. */
struct DispatchedKey {
  RequestId m_request;
  TimePoint m_expiresAt;  ///< End of the retention time.
};

/** An outcome to be sent a second time, as the owner does not confirm it. */
struct SentOutcome {
  TimePoint m_sendAt;
  KeyOutcome m_outcome;
};

struct KeyClaimState {
  std::unordered_map<IdempotencyKey, OpenClaim> m_open;
  std::unordered_map<IdempotencyKey, DispatchedKey> m_dispatched;
  /** Copies of claims by key owners that dispatch the request themselves. */
  std::unordered_map<IdempotencyKey, DispatchedKey> m_witnessed;
  /** Expiry times of m_dispatched and m_witnessed, earliest first. */
  std::deque<std::pair<TimePoint, IdempotencyKey>> m_expirations;
  std::deque<SentOutcome> m_outcomes;  ///< By m_sendAt.
  /** m_nextSend of each claim that waits for an answer. */
  std::set<std::pair<TimePoint, IdempotencyKey>> m_timers;
};

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_KEY_CLAIM_BASE_H_
