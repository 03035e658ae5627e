/**
 * @file pacing_func.h Keeps tasks that fill from disturbing tasks that serve.
 */

#ifndef BRONZE_CORE_SCHED_PACING_FUNC_H_
#define BRONZE_CORE_SCHED_PACING_FUNC_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

/**
 * Sets the share at which the runner's filling tasks work, from the tails in
 * its last report, and orders the change. Tasks that stay paced low for long
 * are stopped at a checkpoint and placed elsewhere.
 */
void PaceRunner(Cell& aCell, RunnerIndex aRunner, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PACING_FUNC_H_
