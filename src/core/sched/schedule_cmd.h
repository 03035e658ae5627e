/**
 * @file schedule_cmd.h Passes over the queue, and start orders for durable
 * placements.
 */

#ifndef BRONZE_CORE_SCHED_SCHEDULE_CMD_H_
#define BRONZE_CORE_SCHED_SCHEDULE_CMD_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** Chooses runners for the tasks in TaskPhase::Ready, in the order of the
 *  queue. */
void PlaceTasks(Cell& aCell, TimePoint aNow);

/** @return for how long the passes have not reached the end of the queue; zero:
 *  the last one did. No step's last examination is longer ago than the longest
 *  round before and this time together. */
[[nodiscard]] Duration QueueRoundTime(const Cell& aCell, TimePoint aNow);

/** Orders the starts of the job's tasks whose chosen runner is durable. */
void OrderStarts(Cell& aCell, JobId aJob, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_SCHEDULE_CMD_H_
