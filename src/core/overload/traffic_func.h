/**
 * @file traffic_func.h Decides how much connections may hold, and which are
 * closed first.
 */

#ifndef BRONZE_CORE_OVERLOAD_TRAFFIC_FUNC_H_
#define BRONZE_CORE_OVERLOAD_TRAFFIC_FUNC_H_

#include <vector>

#include "core/overload/traffic_type.h"

namespace bronze {

/** Bytes of one connection that are not counted one by one: room for them is
 *  part of what each connection costs. Ordinary calls hold less. */
inline constexpr ByteCount kUncountedBytes{4096};

/** @return the bounds for a process with these limits; docs/platform.md states
 *          the arithmetic. */
[[nodiscard]] TrafficLimits TrafficLimitsOf(const ProcessLimits& aLimits);

/** @return the bytes that count toward the total. */
[[nodiscard]] ByteCount CountedBytes(ByteCount aBytes);

/** Chooses connections to close, so that at least aExcess bytes become free.
 *  The largest goes first. Complete calls stay, as they may run, and so do
 *  connections without counted bytes. */
[[nodiscard]] std::vector<ConnectionId> ChooseForBytes(
    std::vector<ConnectionUse> aUses, ByteCount aExcess);

/** Chooses up to aCount connections to close, so that others can be accepted.
 *  An address that has more connections than others loses some first, and of
 *  these the one that made no progress for longest. Complete calls stay.
 *  @param aUses the connections of one role. */
[[nodiscard]] std::vector<ConnectionId> ChooseForRoom(
    const std::vector<ConnectionUse>& aUses, size_t aCount);

/** @return whether a reply that the process reads as a client may hold aOwn
 *          bytes. Beyond the total, none may hold more than an equal share. */
[[nodiscard]] bool MayHoldReply(ByteCount aOwn, ByteCount aTotal,
                                size_t aReplies, ByteCount aLimit);

}  // namespace bronze

#endif  // BRONZE_CORE_OVERLOAD_TRAFFIC_FUNC_H_
