/**
 * @file preemption_cmd.h Stops a less urgent task to make room for a more
 * urgent one.
 */

#ifndef BRONZE_CORE_SCHED_PREEMPTION_CMD_H_
#define BRONZE_CORE_SCHED_PREEMPTION_CMD_H_

#include "core/sched/placement_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

/** Whether there may be tasks that are less urgent than the step. */
[[nodiscard]] inline bool MayPreempt(const Cell& aCell, const QueueKey& aKey) {
  return aKey.m_priority < aCell.m_leastUrgent;
}

/**
 * For each waiting task of the step, stops one less urgent task, at most once a
 * second. Among the tasks whose end alone makes enough room, it chooses the one
 * that loses the least work.
 * @pre No runner has room for a task of the step.
 * @return number of searches, each of which examines the runs of all runners.
 */
uint32_t PreemptForStep(Cell& aCell, const QueueKey& aKey,
                        const PlacementQuery& aQuery, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PREEMPTION_CMD_H_
