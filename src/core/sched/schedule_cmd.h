/**
 * @file schedule_cmd.h Passes over the queue, and the orders that follow from
 * durable intents.
 */

#ifndef BRONZE_CORE_SCHED_SCHEDULE_CMD_H_
#define BRONZE_CORE_SCHED_SCHEDULE_CMD_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** Gives places to tasks in Ready, in the order of the queue. */
void PlaceTasks(Cell& aCell, TimePoint aNow);

/** Orders the starts of the job's intents that are durable. */
void OrderStarts(Cell& aCell, JobId aJob, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_SCHEDULE_CMD_H_
