/**
 * @file request_base.h State of all requests at one entry VM.
 */

#ifndef BRONZE_CORE_REQUEST_REQUEST_BASE_H_
#define BRONZE_CORE_REQUEST_REQUEST_BASE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

#include "core/config/settings_type.h"
#include "core/metrics/counter_type.h"
#include "core/request/key_claim_base.h"
#include "core/request/queue_base.h"
#include "core/request/request_type.h"
#include "core/request/runner_base.h"
#include "core/request/slot_holder_base.h"

namespace bronze {

/** Token bucket that limits retries to a percentage of first attempts. */
struct RetryBudget {
  double m_tokens = 0.0;  ///< In [0, kRetryBurst].
};
inline constexpr double kRetryBurst = 20.0;

/** What is measured about one kind of request. */
struct KindState {
  KindClass m_class = KindClass::Short;  ///< By measured run time, if known.
  double m_meanRun = 0.0;   ///< Exponentially weighted mean, in us.
  double m_floorRun = 0.0;  ///< Slowly rising lower bound of m_meanRun, in us.
  int64_t m_samples = 0;
  int m_cutOffInRow = 0;  ///< Consecutive attempts closed at their deadline.
  TimePoint m_nextProbe;  ///< When a request may skip the check of the window.
  Duration m_probeInterval = seconds(1);  ///< Doubled by each such request.
};

enum class RequestStage : uint8_t {
  Claiming,  ///< Waits for the key owner, or is between two stages.
  Queued,
  Running,  ///< An attempt is under way.
};

/** One request from its arrival to its answer. */
struct PendingRequest {
  KindId m_kind;
  CallerId m_caller;
  IdempotencyKey m_key;  ///< Valid exactly if m_idempotent is false.
  bool m_idempotent = true;
  RequestStage m_stage = RequestStage::Queued;
  KindClass m_class = KindClass::Short;  ///< Class when it was queued.
  TimePoint m_arrived;
  TimePoint m_deadline;
  QueueEntry m_queueEntry;    ///< Valid while Queued.
  RunnerId m_avoid;           ///< Runner of the last failed attempt.
  bool m_mayHaveRun = false;  ///< Bytes of some attempt were sent.
};

/** An attempt in progress; its request may have ended already. */
struct Attempt {
  RunnerIndex m_runner = 0;
  KindId m_kind;
  KindClass m_class = KindClass::Short;  ///< A Standing attempt holds no slot.
  IdempotencyKey m_key;  ///< Valid if the request is not idempotent.
  TimePoint m_dispatched;
  TimePoint m_deadline;
};

/** Slots in use, including those in RunnerPool::m_closedSlots. */
struct RunningCount {
  Slots m_short;
  Slots m_long;
};

struct RequestState {
  RequestSettings m_settings;
  VmId m_self;
  TimePoint m_authorityUntil;  ///< No request with a key is dispatched later.
  UnitOwners m_owners;
  RunnerPool m_runners;
  std::map<KindId, KindState> m_kinds;
  std::unordered_map<RequestId, PendingRequest> m_pending;
  std::unordered_map<RequestId, Attempt> m_attempts;
  /** When an attempt counts as timed out if the daemon reports no result. */
  std::set<std::pair<TimePoint, RequestId>> m_attemptTimers;
  RequestQueue m_queue;  ///< Holds only requests of m_pending.
  RunningCount m_running;
  RetryBudget m_retryBudget;
  SlotHolderState m_slots;
  KeyClaimState m_claims;
  bool m_draining = false;  ///< New requests are refused; pending ones go on.
  std::minstd_rand m_random;
};

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_REQUEST_BASE_H_
