/**
 * @file commit_cmd.h Group commit: all pending changes in one transaction.
 *
 * The daemon calls DueCommit() after each event and on each timer tick. When
 * it returns a sequence number, the daemon encodes the lease row with that
 * number and calls BeginCommit(). It passes the outcome of SendCommit to
 * CommitEnded() and that of ReadLeaseRow to LeaseRowRead() or
 * LeaseReadFailed().
 */

#ifndef BRONZE_CORE_STORE_COMMIT_CMD_H_
#define BRONZE_CORE_STORE_COMMIT_CMD_H_

#include <optional>

#include "core/metrics/counter_func.h"
#include "core/store/commit_base.h"

namespace bronze {

/** Starts from this VM's lease row as read; version 0: there is no row yet. */
void StartCommits(GroupCommitState& aState, CommitSequence aLast,
                  RowVersion aLeaseVersion);

/** Queues a change for one of the next commits. */
void AddChange(GroupCommitState& aState, TableChange aChange);

/**
 * Drops the pending changes of a unit that this daemon no longer owns, without
 * reporting ChangeDone for them.
 */
void DropChangesOf(GroupCommitState& aState, const std::string& aUnit);

/** The commit that has to be sent now. */
struct CommitDue {
  CommitSequence m_sequence;
  bool m_readLease = false;  ///< BeginCommit() will read the lease row first.
};

/**
 * @param aEpochVersion version of the epoch row that the daemon has adopted.
 * @return what BeginCommit() would send now, if anything.
 */
[[nodiscard]] std::optional<CommitDue> DueCommit(const GroupCommitState& aState,
                                                 RowVersion aEpochVersion,
                                                 TimePoint aNow);

/** Sends the commit that DueCommit() returned, or reads the lease row first. */
void BeginCommit(GroupCommitState& aState, const CommitFence& aFence,
                 TimePoint aNow, Counters& aCounters, StoreEffects& aEffects);

void CommitEnded(GroupCommitState& aState, const CommitReply& aReply,
                 const CommitFence& aFence, TimePoint aNow, Counters& aCounters,
                 StoreEffects& aEffects);

/**
 * @param aSequence sequence number in the row; 0 when there is no row, or when
 *        another incarnation of this VM wrote it.
 */
void LeaseRowRead(GroupCommitState& aState, CommitSequence aSequence,
                  RowVersion aVersion, TimePoint aNow, Counters& aCounters,
                  StoreEffects& aEffects);

void LeaseReadFailed(GroupCommitState& aState, TimePoint aNow,
                     Counters& aCounters);

}  // namespace bronze

#endif  // BRONZE_CORE_STORE_COMMIT_CMD_H_
