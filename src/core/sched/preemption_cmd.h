/**
 * @file preemption_cmd.h Stops a less urgent task so that a more urgent one
 * finds room.
 */

#ifndef BRONZE_CORE_SCHED_PREEMPTION_CMD_H_
#define BRONZE_CORE_SCHED_PREEMPTION_CMD_H_

#include "core/sched/placement_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

/**
 * For each waiting task of the step, stops the less urgent task with the least
 * work to lose among those whose end alone makes room; one for each that waits,
 * at most once a second.
 * @pre No runner has room for a task of the step.
 */
void PreemptForStep(Cell& aCell, const QueueKey& aKey,
                    const PlacementQuery& aQuery, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PREEMPTION_CMD_H_
