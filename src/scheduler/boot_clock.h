/**
 * @file boot_clock.h The only place that reads clocks for the scheduler.
 */

#ifndef BRONZE_SCHEDULER_BOOT_CLOCK_H_
#define BRONZE_SCHEDULER_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>

#include "core/base/time_type.h"
#include "core/sched/job_type.h"

namespace bronze {

/**
 * Time since the VM started, with the time for which it was suspended: leases
 * of runners go on while the steady clock of a suspended VM stands still.
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
