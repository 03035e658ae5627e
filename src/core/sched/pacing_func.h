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
 * is moved to another runner. While a tail latency is over its target, all
 * best-effort tasks there are paused until it is well below, and moved if that
 * takes long: they can catch up later, the callers of a service can't.
 */
void PaceRunner(Cell& aCell, RunnerIndex aIndex, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PACING_FUNC_H_
