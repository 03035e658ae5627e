/**
 * @file runner_internal.h Parts that the runner commands share.
 */

#ifndef BRONZE_CORE_SCHED_RUNNER_INTERNAL_H_
#define BRONZE_CORE_SCHED_RUNNER_INTERNAL_H_

#include "core/sched/cell_base.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

/** Another life of the runner has begun under its id. What the earlier one ran
 *  is gone, but orders to it may still be carried out. */
void ForgetLife(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** Another instance answers at the runner's address: all that it ran is gone,
 *  and orders to it that are still under way are refused there. */
void EndInstance(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** Notes a lease end that may come into force. */
void NoteDeadline(Runner& aRunner, RunnerMillis aDeadline);

/** The runner has confirmed the current run of the task. */
void ConfirmRun(Cell& aCell, const TaskPlace& aPlace, TimePoint aNow);

/** @return the time after which a lease of that length on the runner's own
 *          clock has certainly ended. */
[[nodiscard]] Duration StretchedLease(Duration aLease);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RUNNER_INTERNAL_H_
