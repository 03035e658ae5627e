/**
 * @file owner_timing.h Timeouts that keep two daemons from scheduling the same
 * cell at once.
 *
 * A running owner writes its heartbeat every kOwnerHeartbeatInterval. It orders
 * task starts only within kAuthorityDuration after it sent its last
 * acknowledged heartbeat. Another daemon claims the cell only after it has seen
 * the heartbeat unchanged for kOwnerTimeout. As that is longer, the old owner
 * sends no start after the claim.
 */

#ifndef BRONZE_SCHEDULER_OWNER_TIMING_H_
#define BRONZE_SCHEDULER_OWNER_TIMING_H_

#include "core/base/time_type.h"

namespace bronze {

inline constexpr Duration kOwnerHeartbeatInterval = milliseconds(500);
inline constexpr Duration kAuthorityDuration = milliseconds(1800);
inline constexpr Duration kOwnerTimeout = milliseconds(2100);
static_assert(kAuthorityDuration < kOwnerTimeout);

/** An owner whose last acknowledged commit is older than this sends no
 *  heartbeat: another daemon may be able to commit. */
inline constexpr Duration kMaxCommitAge = milliseconds(1800);

/** A named successor owns the cell within this time after its release, or
 *  another VM claims it later. Calls wait for it meanwhile. */
inline constexpr Duration kMaxSuccessionTime = milliseconds(1500);

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_OWNER_TIMING_H_
