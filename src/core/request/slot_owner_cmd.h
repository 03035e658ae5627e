/**
 * @file slot_owner_cmd.h Commands on the state of a slot owner.
 */

#ifndef BRONZE_CORE_REQUEST_SLOT_OWNER_CMD_H_
#define BRONZE_CORE_REQUEST_SLOT_OWNER_CMD_H_

#include "core/metrics/counter_func.h"
#include "core/request/slot_owner_base.h"

namespace bronze {

/** The runners that the daemon owns and whose takeover is complete. */
struct SlotOwnership {
  Epoch m_epoch;
  std::set<VmId> m_members;  ///< Of the epoch.
  /**
   * Whether a VM was removed or restarted (new incarnation) within the longest
   * window, so that requests which it dispatched may still run.
   */
  bool m_membersLost = false;
  std::map<RunnerId, OwnedRunnerInfo> m_runners;
};

/**
 * Replaces members and owned runners. To be called on a new epoch, when a
 * takeover is complete and when the VM list changes a runner. Slots of a newly
 * owned runner are free only once the members' reports show it.
 */
void SetOwnedRunners(SlotOwnerState& aState, const SlotOwnership& aOwnership,
                     TimePoint aNow);

/**
 * Handles the report of an entry VM and answers it with a grant. Reports of
 * another epoch or an old incarnation are dropped. No grant is valid beyond
 * aAuthorityUntil.
 */
void HandleSlotReport(SlotOwnerState& aState, const PeerSender& aFrom,
                      const SlotReport& aReport, TimePoint aAuthorityUntil,
                      TimePoint aNow, Counters& aCounters,
                      SlotOwnerEffects& aEffects);

/** Frees slots of expired grants and grants them anew. Call it every 50 ms. */
void AdvanceSlotOwner(SlotOwnerState& aState, TimePoint aAuthorityUntil,
                      TimePoint aNow, Counters& aCounters,
                      SlotOwnerEffects& aEffects);

/** @return slots of the runner that may be in use or granted anywhere. */
[[nodiscard]] Slots CountedSlots(const OwnedRunner& aRunner);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_SLOT_OWNER_CMD_H_
