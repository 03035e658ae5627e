/**
 * @file runner_internal.h Functions shared by the runner commands.
 */

#ifndef BRONZE_CORE_SCHED_RUNNER_INTERNAL_H_
#define BRONZE_CORE_SCHED_RUNNER_INTERNAL_H_

#include "core/sched/cell_base.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

/** A new instance of the runner has started under its id. The runs of the
 *  earlier one have ended, but orders to it may still be executed by the new
 *  one. */
void BeginNewInstance(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** Another instance answers at the runner's address: all earlier runs have
 *  ended, and the new instance refuses orders addressed to the old one. */
void EndInstance(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** @return the superseded run of that number; null if there is none. */
[[nodiscard]] SupersededRun* FindSupersededRun(Runner& aRunner,
                                               const TaskKey& aTask,
                                               RunNumber aRun);

/** Records that the runner has confirmed the current run of the task. */
void ConfirmRun(Cell& aCell, const TaskPlace& aPlace, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RUNNER_INTERNAL_H_
