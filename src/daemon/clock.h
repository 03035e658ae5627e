/**
 * @file clock.h Reads the monotonic clock; the core gets the time as
 * an argument and never reads a clock.
 */

#ifndef BRONZE_DAEMON_CLOCK_H_
#define BRONZE_DAEMON_CLOCK_H_

#include <chrono>

#include "core/base/time_type.h"

namespace bronze {

[[nodiscard]] inline TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace bronze

#endif  // BRONZE_DAEMON_CLOCK_H_
