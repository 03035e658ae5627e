/**
 * @file lease_func.cpp How long the leases of runners last.
 */

#include "core/sched/lease_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** By the protocol, a runner's clock may be up to 2 % slow. */
constexpr int64_t kSlowestClockPercent = 102;
/** Added to a lease end for the transmission time of the answer that gave the
 *  clock. */
constexpr Duration kLeaseMargin = milliseconds(300);
/** For this long after a heartbeat, leases of full length are ordered. */
constexpr Duration kFullLeaseTime = milliseconds(1800);
/** Leases can last for this long after a heartbeat, so that running tasks
 *  survive an outage of the store. */
constexpr Duration kMinReach = milliseconds(7500);

}  // namespace

Duration LeaseUpperBound(Duration aLease) {
  return aLease * kSlowestClockPercent / 100 + kLeaseMargin;
}

Duration LeastClockAdvance(Duration aTime) {
  return aTime * 100 / kSlowestClockPercent;
}

Duration LeaseReach(Duration aLease) {
  return LeaseUpperBound(std::max(aLease + kFullLeaseTime, kMinReach));
}

TimePoint MisdirectedLeaseEnd(UnixMillis aStartedAt, Duration aLeaseCap,
                              TimePoint aNow, UnixMillis aUnixNow) {
  // An instance of unknown age may have begun just now.
  const Duration age = aStartedAt.Value() == 0
                           ? Duration::zero()
                           : milliseconds((aUnixNow - aStartedAt).Value());
  const TimePoint lastOrderAt =
      aNow + std::min(Duration::zero(), kMaxOrderDelay - age);
  return lastOrderAt + LeaseUpperBound(aLeaseCap);
}

RunnerMillis LatestDeadline(const Runner& aRunner, TimePoint aHorizon) {
  const Duration left = aHorizon - aRunner.m_clockAt - kLeaseMargin;
  const Duration lease = LeastClockAdvance(left);
  return aRunner.m_clock +
         RunnerMillis(std::chrono::floor<milliseconds>(lease).count());
}

}  // namespace bronze::sched
