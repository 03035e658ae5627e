/**
 * @file pacing_func.h Keeps tasks that fill from disturbing tasks that serve.
 */

#ifndef BRONZE_CORE_SCHED_PACING_FUNC_H_
#define BRONZE_CORE_SCHED_PACING_FUNC_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

/**
 * Learns from the runner's last report which images harm which, and acts where
 * a tail is over its limit: fills that are known to harm it are moved at once;
 * if the tail stays over its target, all fills there are paced to a standstill
 * until it is well below.
 */
void PaceRunner(Cell& aCell, RunnerIndex aIndex, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PACING_FUNC_H_
