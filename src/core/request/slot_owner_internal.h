/**
 * @file slot_owner_internal.h Functions shared by the commands of a slot owner.
 */

#ifndef BRONZE_CORE_REQUEST_SLOT_OWNER_INTERNAL_H_
#define BRONZE_CORE_REQUEST_SLOT_OWNER_INTERNAL_H_

#include "core/request/slot_owner_cmd.h"

namespace bronze {

/** Moves slots between entry VMs by demand. @return VMs with a new grant. */
[[nodiscard]] std::set<VmId> Rebalance(SlotOwnerState& aState);

/** Sets a grant and updates the largest one that may still be in force. */
void ChangeGrant(SlotOwnerState& aState, HeldSlots& aHeld, Slots aSlots);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_SLOT_OWNER_INTERNAL_H_
