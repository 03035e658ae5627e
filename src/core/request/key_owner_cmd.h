/**
 * @file key_owner_cmd.h Commands on the state of a key owner.
 */

#ifndef BRONZE_CORE_REQUEST_KEY_OWNER_CMD_H_
#define BRONZE_CORE_REQUEST_KEY_OWNER_CMD_H_

#include "core/metrics/counter_func.h"
#include "core/request/key_owner_base.h"

namespace bronze {

/** The key shards that the daemon owns and whose takeover is complete. */
struct KeyOwnership {
  Epoch m_epoch;
  std::set<VmId> m_members;  ///< Of the epoch.
  std::set<KeyShard> m_shards;
  /**
   * Until when unknown keys of newly owned shards are in doubt; from
   * InDoubtUntil().
   */
  TimePoint m_inDoubtUntil;
};

/** A VM that was removed from the members of the epoch. */
struct RemovedMember {
  VmId m_vm;
  TimePoint m_removedAt;
};

/**
 * A claim is known to two VMs, so it may be lost when two are lost within the
 * retention time.
 * @param aRemoved all members that are known to have been removed.
 * @param aSurvivors whether a member of the earlier epoch is in this one.
 * @return until when a new owner treats unknown keys as in doubt.
 */
[[nodiscard]] TimePoint InDoubtUntil(const std::vector<RemovedMember>& aRemoved,
                                     bool aSurvivors, Duration aMaxWindow,
                                     TimePoint aNow);

/** Replaces members and owned shards; starts the takeover of new shards. */
void SetOwnedKeys(KeyOwnerState& aState, const KeyOwnership& aOwnership,
                  TimePoint aNow, KeyOwnerEffects& aEffects);

/** Adds the rows of a shard, read from the table for its takeover. */
void AddKeyRows(KeyOwnerState& aState, KeyShard aShard,
                const std::vector<KeyRow>& aRows, TimePoint aNow);

/** Handles a member's report of the keys that it dispatched. */
void HandleKeyReport(KeyOwnerState& aState, const PeerSender& aFrom,
                     const KeyReport& aReport, TimePoint aNow,
                     KeyOwnerEffects& aEffects);

/**
 * Handles the claim of a key by a member. Gives no answer during the takeover
 * of the shard, unless the key is known, nor without authority; the claimer
 * then repeats the claim.
 */
void HandleKeyClaim(KeyOwnerState& aState, const PeerSender& aFrom,
                    const KeyClaim& aClaim, TimePoint aAuthorityUntil,
                    TimePoint aNow, Counters& aCounters,
                    KeyOwnerEffects& aEffects);

/** Handles the outcome of a request whose key was claimed. */
void HandleKeyOutcome(KeyOwnerState& aState, const PeerSender& aFrom,
                      const KeyOutcome& aOutcome, TimePoint aNow,
                      KeyOwnerEffects& aEffects);

/**
 * Marks overdue claims as in doubt, erases expired keys and asks for missing
 * reports. To be called every 50 ms.
 */
void AdvanceKeyOwner(KeyOwnerState& aState, TimePoint aNow,
                     KeyOwnerEffects& aEffects);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_KEY_OWNER_CMD_H_
