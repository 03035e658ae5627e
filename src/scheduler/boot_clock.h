/**
 * @file boot_clock.h Clocks of the scheduler; nothing else in it reads one.
 */

#ifndef BRONZE_SCHEDULER_BOOT_CLOCK_H_
#define BRONZE_SCHEDULER_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>

#include "core/base/time_type.h"
#include "core/sched/job_type.h"

namespace bronze {

/**
 * Time since the VM booted, including the time it was suspended. The steady
 * clock stops while the VM is suspended, but leases of runners still expire.
 */
[[nodiscard]] inline TimePoint BootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  constexpr int64_t kNanosPerMicro = 1000;
  return TimePoint(seconds(time.tv_sec) +
                   Duration(time.tv_nsec / kNanosPerMicro));
}

[[nodiscard]] inline sched::UnixMillis UnixNow() {
  return sched::UnixMillis(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_BOOT_CLOCK_H_
