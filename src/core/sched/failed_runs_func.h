/**
 * @file failed_runs_func.h Counts the failed runs of a task, each once.
 */

#ifndef BRONZE_CORE_SCHED_FAILED_RUNS_FUNC_H_
#define BRONZE_CORE_SCHED_FAILED_RUNS_FUNC_H_

#include "core/sched/failed_runs_type.h"

namespace bronze::sched {

/** @return whether the run was not counted before. Run 0 does not exist and
 *          never counts. */
bool AddFailedRun(FailedRuns& aRuns, RunNumber aRun);

/** Adds all runs of aOther, none of whose ranges were joined. */
void AddFailedRuns(FailedRuns& aRuns, const FailedRuns& aOther);

/**
 * The form in which earlier builds keep them: bit n stands for run n + 1, but
 * the highest bit for all runs from 64 on.
 */
[[nodiscard]] uint64_t MaskOfFailedRuns(const FailedRuns& aRuns);
/** Whether MaskOfFailedRuns tells all. */
[[nodiscard]] bool IsMaskExact(const FailedRuns& aRuns);
/** @return the runs of the mask; its highest bit counts as run 64. */
[[nodiscard]] FailedRuns FailedRunsOfMask(uint64_t aMask);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_FAILED_RUNS_FUNC_H_
