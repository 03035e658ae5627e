/**
 * @file counter_type.h The closed list of counters.
 *
 * The counters named Refused* are in the order of ErrorKind, because
 * RefusalCounter() computes one from the other.
 */

#ifndef BRONZE_CORE_METRICS_COUNTER_TYPE_H_
#define BRONZE_CORE_METRICS_COUNTER_TYPE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace bronze {

enum class CounterId : uint16_t {
  RequestsReceived,
  RequestsAnswered,
  RequestAttempts,
  RetryConnectFailed,
  RetrySendFailed,
  RetryAnswerLost,
  RetryRunnerBusy,
  RetryStaleConnection,
  NoRetryWindow,
  NoRetryBudget,
  NoRetryNonIdempotent,
  NoRetryNoRunner,
  AnswersForeign,
  AnswersLate,
  SlotsGranted,
  SlotsLapsed,
  SlotsRefusedAuthority,
  KeysClaimed,
  KeysRepeated,
  KeysInDoubt,
  HeartbeatsSent,
  HeartbeatsReceived,
  PeerMessagesSent,
  PeerMessagesReceived,
  PeerBytesSent,
  PeerBytesReceived,
  PeerDroppedSendFull,
  PeerDroppedMalformed,
  PeerDroppedUnknown,
  PeerDroppedStale,
  PeerDroppedEpoch,
  SuspicionsRaised,
  EpochsProposed,
  EpochsAdopted,
  AuthorityLapsed,
  AuthorityByPeers,
  UnitsTakenOver,
  UnitsReleased,
  CommitsSent,
  CommitsConflicted,
  CommitsUnavailable,
  CommitsReplyLost,
  CommitsResolved,
  StoreReads,
  StoreReadsFailed,
  StoreRetryCommit,
  StoreRetryRead,
  StoreRetryObjectPut,
  StoreRetryObjectGet,
  StoreRetryVmList,
  ConfigAccepted,
  ConfigRefusedInvalid,
  ConfigRefusedConflict,
  ConfigPushed,
  ConfigPulled,
  JobsSubmitted,
  JobsCancelled,
  TasksStarted,
  TasksFinished,
  TasksFailed,
  EvictedInterference,
  EvictedUrgent,
  EvictedGrowth,
  EvictedDrain,
  EvictedWorkerLost,
  TaskRetryWorkerRefused,
  TaskRetryWorkerFailed,
  TaskRetryLeaseLapsed,
  TaskRetryNoCapacity,
  WorkersQuarantined,
  WorkersProbed,
  ConnectionsClosedForMemory,
  ConnectionsClosedForRoom,
  ConnectionsClosedUnread,
  AcceptsFailed,
  RefusedBadRequest,
  RefusedUnknownRoute,
  RefusedMethodNotAllowed,
  RefusedHeaderTooLarge,
  RefusedBodyTooLarge,
  RefusedSlowSender,
  RefusedTooManyConnections,
  RefusedOverloaded,
  RefusedUnauthorized,
  RefusedUnknownKind,
  RefusedBadWindow,
  RefusedMissingIdempotencyKey,
  RefusedQueueFull,
  RefusedCallerOverShare,
  RefusedDeadlineUnreachable,
  RefusedDeadlineShed,
  RefusedNoBackend,
  RefusedRetryBudgetExhausted,
  RefusedBackendBroken,
  RefusedOutcomeUnknown,
  RefusedDuplicateInProgress,
  RefusedAlreadyRun,
  RefusedCallerGone,
  RefusedDraining,
  RefusedNotReady,
  RefusedNotOwner,
  RefusedBadJob,
  RefusedUnknownJob,
  RefusedImpossibleJob,
  RefusedQuotaExceeded,
  RefusedJobAlreadyEnded,
  RefusedWorkerRefused,
  RefusedStaleToken,
  RefusedUnknownWorker,
  RefusedNoCapacity,
  RefusedConfigInvalid,
  RefusedConfigConflict,
  RefusedUnknownConfigVersion,
  RefusedStoreUnavailable,
  RefusedStoreConflict,
  RefusedTimeout,
  RefusedConnectionFailed,
  RefusedPeerMalformed,
  RefusedPeerUnknown,
  RefusedFileUnreadable,
  RefusedUsage,
  RefusedInternal,
};

/** Number of counters; RefusedInternal is the last. */
inline constexpr size_t kCounterCount =
    static_cast<size_t>(CounterId::RefusedInternal) + 1;

/** The counters of one process. Any thread may increment them. */
struct Counters {
  std::array<std::atomic<uint64_t>, kCounterCount> m_values = {};
};

}  // namespace bronze

#endif  // BRONZE_CORE_METRICS_COUNTER_TYPE_H_
