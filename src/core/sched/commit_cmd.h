/**
 * @file commit_cmd.h State of a cell that must survive its owner: rows to
 * write, and restoring a cell from its rows at a takeover.
 */

#ifndef BRONZE_CORE_SCHED_COMMIT_CMD_H_
#define BRONZE_CORE_SCHED_COMMIT_CMD_H_

#include <optional>
#include <string>
#include <vector>

#include "core/sched/cell_base.h"
#include "core/sched/stored_state_type.h"
#include "core/sched/unresponsive_runner_cmd.h"

namespace bronze::sched {

/** The cell that schedules a job whose home is this cell. */
struct StoredRoute {
  JobId m_job;
  CellId m_cell;
  uint32_t m_moveCount = 0;  ///< See JobRoute.
};

struct Commit {
  std::vector<JobWrite> m_writes;
  std::vector<JobId> m_removed;
  std::vector<BlockRemoval> m_removedBlocks;
  std::vector<StoredRoute> m_routes;
  std::vector<JobId> m_removedRoutes;
  std::vector<UnresponsiveRunner>
      m_unresponsive;  ///< Replaces the stored list.
  std::optional<StoredInterference>
      m_interference;  ///< Set at intervals, if it has changed.
};

/**
 * Each row is within CellSettings::m_rowBytes, and the commit, with the owner's
 * row, within CellSettings::m_commitBytes. What does not fit goes into the next
 * one. New jobs, whose callers wait, go first in the order in which they came.
 * If other changed jobs wait as well, a third of the rows and bytes and half of
 * the tasks are kept for these, so that ends of runs become durable at a rate
 * that does not depend on the number of new jobs.
 * @param aMaxRows limits the rows that the commit writes or deletes.
 */
[[nodiscard]] Commit TakeCommit(Cell& aCell, size_t aMaxRows, TimePoint aNow);

[[nodiscard]] inline bool HasCommit(const Cell& aCell) {
  return !aCell.m_dirty.empty() || !aCell.m_removed.empty() ||
         !aCell.m_dirtyRoutes.empty() || !aCell.m_removedRoutes.empty() ||
         !aCell.m_removedBlocks.empty() || aCell.m_commitWanted;
}

/** The commit is durable: issues the orders that waited for it. */
void ApplyCommitted(Cell& aCell, const Commit& aCommit, TimePoint aNow);

/** The commit failed or its outcome is unknown: its changes go into a later
 *  commit. */
void ReturnCommit(Cell& aCell, const Commit& aCommit);

/** Leaves the job out of commits until aUntil: the store does not accept its
 *  rows. Nothing of it that is not durable yet takes effect before. */
void HoldBackJob(Cell& aCell, JobId aJob, TimePoint aUntil);

/** Adds a block to the state of its divided job. @return false if the state
 *  has no such block, so that its row is a leftover. */
[[nodiscard]] bool AddTaskBlock(StoredState& aState, const JobSpec& aSpec,
                                const StoredTaskBlock& aBlock);

/** Restores a stored job into a cell at a takeover. */
void RestoreJob(Cell& aCell, JobSpec aSpec, const StoredState& aState,
                TimePoint aNow, UnixMillis aUnixNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_COMMIT_CMD_H_
