/**
 * @file key_owner_base.h State of a key owner: the idempotency keys claimed in
 * its shards.
 */

#ifndef BRONZE_CORE_REQUEST_KEY_OWNER_BASE_H_
#define BRONZE_CORE_REQUEST_KEY_OWNER_BASE_H_

#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/request/request_type.h"

namespace bronze {

/** Stored row of a claimed key; the state is never Granted. */
struct KeyRow {
  IdempotencyKey m_key;
  RequestId m_request;
  VmId m_claimer;
  KeyState m_state = KeyState::InProgress;
};

struct ClaimedKey {
  RequestId m_request;
  VmId m_claimer;
  KeyState m_state = KeyState::InProgress;
  TimePoint m_inDoubtAt;  ///< When InProgress becomes InDoubt.
  TimePoint m_expiresAt;  ///< End of the retention time.
};

/** A key shard that this daemon owns. */
struct KeyShardState {
  std::unordered_map<IdempotencyKey, ClaimedKey> m_keys;
  // Takeover: claims of unknown keys get no answer until all rows are read and
  // no report is missing.
  bool m_rowsRead = false;
  std::set<VmId> m_unreported;  ///< Members whose KeyReport is missing.
  TimePoint m_inDoubtUntil;     ///< Until then, unknown keys are in doubt.
};

struct KeyOwnerState {
  VmId m_self;
  Duration m_maxWindow = seconds(30);
  Epoch m_epoch;
  std::set<VmId> m_members;
  std::map<KeyShard, KeyShardState> m_shards;
  /** Next state change or expiry of each known key. */
  std::set<std::pair<TimePoint, IdempotencyKey>> m_timers;
  TimePoint m_nextAsk;  ///< When to ask for missing reports again.
};

struct SendKeyAnswer {
  VmId m_to;
  KeyAnswer m_answer;
};
/** Ask the member for its KeyReport. */
struct AskKeyReport {
  VmId m_to;
  KeyReport m_report;
};
/** Read all rows of the shard, then call AddKeyRows(). */
struct ReadKeyRows {
  KeyShard m_shard = 0;
};
/** Write the row with the next group commit, replacing an earlier one. */
struct StoreKeyRow {
  KeyShard m_shard = 0;
  KeyRow m_row;
};
/** Delete the row with the next group commit. */
struct EraseKeyRow {
  KeyShard m_shard = 0;
  IdempotencyKey m_key;
};

using KeyOwnerEffect = std::variant<SendKeyAnswer, AskKeyReport, ReadKeyRows,
                                    StoreKeyRow, EraseKeyRow>;
using KeyOwnerEffects = std::vector<KeyOwnerEffect>;

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_KEY_OWNER_BASE_H_
