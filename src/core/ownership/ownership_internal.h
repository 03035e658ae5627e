/**
 * @file ownership_internal.h Declarations used only within this folder.
 */

#ifndef BRONZE_CORE_OWNERSHIP_OWNERSHIP_INTERNAL_H_
#define BRONZE_CORE_OWNERSHIP_OWNERSHIP_INTERNAL_H_

#include "core/ownership/ownership_base.h"

namespace bronze {

/** @return whether the unit's owner in the earlier epoch may still act for it.
 */
[[nodiscard]] bool IsBlockedBy(const OwnershipState& aState,
                               const EarlierEpochState& aEarlier,
                               const UnitId& aUnit, TimePoint aNow);

/** @return whether the unit's owner in any earlier epoch may still act for it.
 */
[[nodiscard]] bool IsBlocked(const OwnershipState& aState, const UnitId& aUnit,
                             TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_OWNERSHIP_OWNERSHIP_INTERNAL_H_
