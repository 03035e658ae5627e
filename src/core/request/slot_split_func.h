/**
 * @file slot_split_func.h Splits the slots of an owner among the entry VMs.
 */

#ifndef BRONZE_CORE_REQUEST_SLOT_SPLIT_FUNC_H_
#define BRONZE_CORE_REQUEST_SLOT_SPLIT_FUNC_H_

#include <vector>

#include "core/config/settings_type.h"
#include "core/message/peer_message_type.h"

namespace bronze {

/** Target number of slots of one entry VM. */
struct SlotShare {
  Slots m_needed;  ///< By demand; grants of others may be lowered for it.
  Slots m_wanted;  ///< m_needed and what it gets only from free slots.
};

/**
 * Splits slots with max-min fairness: no entry VM gets more than another whose
 * demand is not met. Demand for short requests comes first; long requests get
 * no slots of the reserve.
 * @return a share for each demand. Slots that cannot be split evenly go to the
 *         last ones in aDemands.
 */
[[nodiscard]] std::vector<SlotShare> SplitSlots(
    Slots aTotal, const std::vector<SlotDemand>& aDemands,
    const RequestSettings& aSettings);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_SLOT_SPLIT_FUNC_H_
