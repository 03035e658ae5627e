/**
 * @file store_type.h Changes to the table, and effects of the group commit.
 */

#ifndef BRONZE_CORE_STORE_STORE_TYPE_H_
#define BRONZE_CORE_STORE_STORE_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/message/platform_type.h"

namespace bronze {

using ChangeId = NumberId<struct ChangeIdTag>;

/** Priority of a change when the changes of a commit are chosen. */
enum class ChangePriority : uint8_t {
  Lease,   ///< Extends a lease; always part of the next commit.
  Normal,  ///< A share of each commit is reserved for these.
  Bulk,    ///< Cancellations; fill the rest of the commit.
};

/** Rows that are written together or not at all. */
struct TableChange {
  ChangeId m_id;  ///< Unique within one run of the daemon.
  ChangePriority m_priority = ChangePriority::Normal;
  std::string m_unit;  ///< Unit whose owner makes the change; may be empty.
  std::vector<TableCheck> m_checks;
  std::vector<TableWrite> m_writes;
};

/**
 * The epoch and lease rows that fence every commit of a daemon: the commit
 * fails when another epoch has been committed or when another process has
 * written the lease row.
 */
struct CommitFence {
  TableCheck m_epoch;        ///< Row epoch/<region>, in the adopted version.
  std::string m_leaseKey;    ///< Key of the row lease/<vm>.
  std::string m_leaseValue;  ///< Contains the sequence that DueCommit() gave.
};

enum class CommitOutcome : uint8_t {
  Committed,
  Conflict,     ///< A check failed, so nothing was written.
  Unavailable,  ///< The table refused or was not reached: nothing was written.
  ReplyLost,    ///< Unknown until the lease row has been read.
};

struct CommitReply {
  CommitOutcome m_outcome = CommitOutcome::ReplyLost;
  RowVersion m_version;  ///< Version of all written rows, when committed.
  std::vector<std::string> m_conflicts;  ///< Keys whose check failed.
};

/** Send this transaction and pass the outcome to CommitEnded(). */
struct SendCommit {
  CommitSequence m_sequence;
  TableTransaction m_transaction;
};

/** Read this VM's lease row and pass it to LeaseRowRead(). */
struct ReadLeaseRow {
  std::string m_key;
};

/** The epoch row is newer than the one in the fence: read and adopt it. */
struct EpochRowChanged {};

enum class ChangeOutcome : uint8_t { Committed, Conflict };

struct ChangeDone {
  ChangeId m_id;
  ChangeOutcome m_outcome = ChangeOutcome::Conflict;
  RowVersion m_version;  ///< Of all rows written, when committed.
};

/** A commit took effect. It extends the lease from the time it was sent. */
struct LeaseCommitted {
  CommitSequence m_sequence;
  TimePoint m_sent;
};

using StoreEffect = std::variant<SendCommit, ReadLeaseRow, EpochRowChanged,
                                 ChangeDone, LeaseCommitted>;
using StoreEffects = std::vector<StoreEffect>;

}  // namespace bronze

#endif  // BRONZE_CORE_STORE_STORE_TYPE_H_
