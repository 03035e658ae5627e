/**
 * @file time_type.h Time types of the core.
 *
 * The core never reads a clock. Functions take the current time of a monotonic
 * clock as a parameter, so that tests can set it.
 */

#ifndef BRONZE_CORE_BASE_TIME_TYPE_H_
#define BRONZE_CORE_BASE_TIME_TYPE_H_

#include <chrono>

namespace bronze {

using Duration = std::chrono::microseconds;

/** The monotonic clock, as a type for std::chrono. It has no now(), because
 * only code outside the core reads the clock. */
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): std::chrono needs this name.
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace bronze

#endif  // BRONZE_CORE_BASE_TIME_TYPE_H_
