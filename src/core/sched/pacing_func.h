/**
 * @file pacing_func.h Throttles best-effort tasks to protect latency-critical
 * tasks.
 */

#ifndef BRONZE_CORE_SCHED_PACING_FUNC_H_
#define BRONZE_CORE_SCHED_PACING_FUNC_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

/**
 * Learns the interference between images from the runner's last report, and
 * throttles best-effort tasks. A task whose safe pace is too low to be useful
 * is moved to another runner. While a tail latency is over its target,
 * best-effort tasks with slack there are paused at once until it is well below:
 * they can catch up, the callers of a service can't. Those without slack are
 * paused if that lasts. All are moved if it lasts longer.
 */
void PaceRunner(Cell& aCell, RunnerIndex aIndex, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PACING_FUNC_H_
