/**
 * @file pending_check.h Compares the pending jobs of a cell with the states of
 * its jobs.
 */

#ifndef BRONZE_TESTS_CORE_SCHED_PENDING_CHECK_H_
#define BRONZE_TESTS_CORE_SCHED_PENDING_CHECK_H_

#include <map>

#include "core/sched/job_cmd.h"

namespace bronze::sched {

/** Whether each queue's number of pending jobs is that of its active jobs
 *  without a schedule and without a started task. */
[[nodiscard]] inline bool PendingCountIsExact(const Cell& aCell) {
  std::map<QueueId, uint32_t> expected;
  for (const auto& [queue, jobs] : aCell.m_pending) expected[queue] = 0;
  for (const auto& [id, job] : aCell.m_jobs) {
    const bool waits = job.m_phase == JobPhase::Active && !job.m_anyStarted &&
                       job.m_spec.m_maxRuns == 0;
    expected[job.m_spec.m_queue] += waits ? 1 : 0;
  }
  for (const auto& [queue, count] : expected) {
    if (PendingJobs(aCell, queue) != count) return false;
  }
  return true;
}

}  // namespace bronze::sched

#endif  // BRONZE_TESTS_CORE_SCHED_PENDING_CHECK_H_
