/**
 * @file lease_func.h How long the leases of runners last, at most and at least.
 *
 * An owner cannot take back a lease end that it has ordered, and its successor
 * cannot ask for it. So every owner orders leases only up to a horizon, which
 * follows from the last heartbeat that the store has acknowledged. A successor
 * reads that heartbeat and thus knows a time by which all of them have ended.
 */

#ifndef BRONZE_CORE_SCHED_LEASE_FUNC_H_
#define BRONZE_CORE_SCHED_LEASE_FUNC_H_

#include "core/sched/runner_type.h"

namespace bronze::sched {

/** An order takes effect within this time after it was sent, also on an
 *  instance of the runner that it was not meant for. */
inline constexpr Duration kMaxOrderDelay = seconds(20);

/** @return the local time by which a lease of that length on the runner's
 *  clock has ended for certain. */
[[nodiscard]] Duration LeaseUpperBound(Duration aLease);

/** @return by how much the clock of a runner advances in that time at least. */
[[nodiscard]] Duration LeastClockAdvance(Duration aTime);

/** @return the time from a heartbeat to the horizon of leases that it permits.
 *  @param aLease length of a full lease. */
[[nodiscard]] Duration LeaseReach(Duration aLease);

/** @return the local time by which a lease has ended that the instance took
 *  from an order to an earlier one. Such a lease end is on another clock, so
 *  only the runner's maximum limits the lease.
 *  @param aStartedAt start time of the instance; 0: unknown. */
[[nodiscard]] TimePoint MisdirectedLeaseEnd(UnixMillis aStartedAt,
                                            Duration aLeaseCap, TimePoint aNow,
                                            UnixMillis aUnixNow);

/** @return the latest lease end, on the runner's clock, by which a lease has
 *  ended for certain at aHorizon. */
[[nodiscard]] RunnerMillis LatestDeadline(const Runner& aRunner,
                                          TimePoint aHorizon);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_LEASE_FUNC_H_
