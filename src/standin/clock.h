/**
 * @file clock.h The monotonic clock, as read by the test programs.
 */

#ifndef BRONZE_STANDIN_CLOCK_H_
#define BRONZE_STANDIN_CLOCK_H_

#include <chrono>

#include "core/base/time_type.h"

namespace bronze {

[[nodiscard]] inline TimePoint ReadClock() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace bronze

#endif  // BRONZE_STANDIN_CLOCK_H_
