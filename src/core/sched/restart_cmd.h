/**
 * @file restart_cmd.h Restarts of long-running tasks that lost their run.
 *
 * A service is down while one of its tasks has no run, so these tasks do not
 * wait for the end of a quarantine: after kMaxQuarantineWait any runner that
 * has room and answers is good enough.
 */

#ifndef BRONZE_CORE_SCHED_RESTART_CMD_H_
#define BRONZE_CORE_SCHED_RESTART_CMD_H_

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** How long a restart looks for a runner that is not in quarantine. */
inline constexpr Duration kMaxQuarantineWait = seconds(2);

/** Whether the task is a long-running one that has had a run before. */
[[nodiscard]] inline bool IsRestart(const StepSpec& aStep, const Task& aTask) {
  const uint64_t earlierRuns =
      aTask.m_run.Value() - (aTask.m_phase == TaskPhase::Intended ? 1 : 0);
  return aStep.m_longRunning && earlierRuns > 0;
}

/** @return how long the restart that has waited longest has no run; zero: none
 *  waits. */
[[nodiscard]] Duration LongestRestartWait(const Cell& aCell, TimePoint aNow);

/**
 * Places the restarts that have waited for kMaxQuarantineWait, also on runners
 * in quarantine or on probation. It depends on no remembered search.
 * @pre A pass has placed what fits on other runners.
 */
void PlaceOverdueRestarts(Cell& aCell, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RESTART_CMD_H_
