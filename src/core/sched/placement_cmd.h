/**
 * @file placement_cmd.h Builds the query for a runner and assigns the chosen
 * one; shared by the passes over the queue and by restarts.
 */

#ifndef BRONZE_CORE_SCHED_PLACEMENT_CMD_H_
#define BRONZE_CORE_SCHED_PLACEMENT_CMD_H_

#include "core/sched/placement_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

/** @return a query for any task of the step. It refers to its arguments. */
[[nodiscard]] PlacementQuery QueryFor(const Cell& aCell, const QueueKey& aKey,
                                      const Job& aJob, const StepSpec& aStep,
                                      TimePoint aNow);

/** Assigns the run number of a task whose resources are reserved, and marks
 *  the job for a commit. */
void MarkIntended(Cell& aCell, const TaskPlace& aPlace, RunNumber aRun,
                  TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_PLACEMENT_CMD_H_
