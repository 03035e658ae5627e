/**
 * @file owner_timing.h Timeouts that keep two daemons from scheduling the same
 * cell at once.
 *
 * A running owner writes its owner row at least every kOwnerHeartbeatInterval.
 * It orders task starts only within kAuthorityDuration after it sent its last
 * acknowledged commit. Another daemon claims the cell only after it has seen
 * the row unchanged for kOwnerTimeout. As that is longer, the old owner sends
 * no start after the claim.
 */

#ifndef BRONZE_SCHEDULER_OWNER_TIMING_H_
#define BRONZE_SCHEDULER_OWNER_TIMING_H_

#include "core/base/time_type.h"

namespace bronze {

inline constexpr Duration kOwnerHeartbeatInterval = milliseconds(500);
inline constexpr Duration kAuthorityDuration = milliseconds(1800);
inline constexpr Duration kOwnerTimeout = milliseconds(2100);
static_assert(kAuthorityDuration < kOwnerTimeout);

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_OWNER_TIMING_H_
