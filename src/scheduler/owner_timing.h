/**
 * @file owner_timing.h Times on which the ownership of a cell rests.
 *
 * An owner that lives writes its row at least every kBeat. It sends starts only
 * within kAuthority after it sent its last acknowledged commit. Another daemon
 * claims the cell only after it has seen the row unchanged for kOwnerSilence,
 * which is longer, so that no start leaves after a claim.
 */

#ifndef BRONZE_SCHEDULER_OWNER_TIMING_H_
#define BRONZE_SCHEDULER_OWNER_TIMING_H_

#include "core/base/time_type.h"

namespace bronze {

inline constexpr Duration kBeat = milliseconds(500);
inline constexpr Duration kAuthority = milliseconds(1800);
inline constexpr Duration kOwnerSilence = milliseconds(2100);
static_assert(kAuthority < kOwnerSilence);

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_OWNER_TIMING_H_
