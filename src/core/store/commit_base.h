/**
 * @file commit_base.h State of the group commit of one daemon.
 */

#ifndef BRONZE_CORE_STORE_COMMIT_BASE_H_
#define BRONZE_CORE_STORE_COMMIT_BASE_H_

#include <deque>
#include <random>
#include <vector>

#include "core/store/store_type.h"

namespace bronze {

struct CommitSettings {
  Duration m_interval = milliseconds(250);  ///< Minimum between two commits.
  Duration m_leaseInterval = seconds(1);    ///< Between renewals of the lease
                                            ///< while there are no changes.
  Duration m_minBackoff = milliseconds(250);
  Duration m_maxBackoff = seconds(4);
  size_t m_maxChanges = 256;     ///< Per commit; those of priority Lease are
                                 ///< not counted.
  size_t m_maxBulkPercent = 50;  ///< Maximum share of bulk changes while normal
                                 ///< changes could fill the whole commit.
};

/** One transaction that was sent and whose outcome may not be known yet. */
struct CommitAttempt {
  CommitSequence m_sequence;
  TimePoint m_sent;  ///< Time of the first send; the lease is extended from it.
  std::vector<ChangeId> m_changes;
};

enum class CommitPhase : uint8_t {
  Idle,
  InFlight,  ///< The outcome of SendCommit is awaited.
  Reading,   ///< The outcome of ReadLeaseRow is awaited.
};

struct GroupCommitState {
  CommitSettings m_settings;
  std::deque<TableChange> m_pending;  ///< Including changes in flight.
  CommitSequence m_sequence;          ///< Of the last attempt.
  RowVersion m_leaseVersion;  ///< Last known version of this VM's lease row.
                              ///< Each commit checks it, so at most one of two
                              ///< attempts takes effect.
  CommitPhase m_phase = CommitPhase::Idle;
  TableTransaction m_transaction;  ///< Of m_attempt.
  CommitAttempt m_attempt;         ///< The last one that was sent.
  /** It is unknown whether m_attempt took effect; it is repeated unchanged
   * until that is known. */
  bool m_inDoubt = false;
  bool m_mustReadLease = false;  ///< Read the lease row before the next send.
  RowVersion m_rejectedEpochVersion;  ///< Version of the epoch row whose check
                                      ///< failed; 0: none.
  TimePoint m_lastSent;
  TimePoint m_backoffUntil;  ///< End of the backoff.
  Duration m_backoff = Duration::zero();
  std::minstd_rand m_random;
};

}  // namespace bronze

#endif  // BRONZE_CORE_STORE_COMMIT_BASE_H_
