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
#include "core/sched/unresponsive_runner_cmd.h"

namespace bronze::sched {

/** The stored state of one task. */
struct StoredTask {
  enum class State : uint8_t { Open, Placed, Done };
  State m_state = State::Open;
  RunNumber m_run;
  uint64_t m_failedRuns = 0;
  RunnerId m_runner;         ///< Set in state Placed.
  std::string m_checkpoint;  ///< Set in state Open.
};

struct StoredOccurrence {
  uint32_t m_number = 0;
  std::vector<StoredTask> m_tasks;  ///< Empty: no task was ever placed.
};

/** The row that changes with a job's progress. */
struct StoredState {
  JobId m_job;
  JobPhase m_phase = JobPhase::Active;
  uint32_t m_nextOccurrence = 0;
  bool m_anyStarted = false;
  std::optional<CellId> m_movingTo;  ///< The job belongs to this cell.
  uint32_t m_moveCount = 0;
  /** Empty once the job and all its runs have ended. */
  std::vector<StoredOccurrence> m_occurrences;
};

/** The rows of one job in a commit. */
struct JobWrite {
  JobId m_job;
  uint64_t m_version = 0;
  std::optional<JobSpec> m_spec;  ///< Set only in the first write of the job.
  StoredState m_state;
};

/** The cell that schedules a job whose home is this cell. */
struct StoredRoute {
  JobId m_job;
  CellId m_cell;
  uint32_t m_moveCount = 0;  ///< See JobRoute.
};

struct Commit {
  std::vector<JobWrite> m_writes;
  std::vector<JobId> m_removed;
  std::vector<StoredRoute> m_routes;
  std::vector<JobId> m_removedRoutes;
  std::vector<UnresponsiveRunner>
      m_unresponsive;  ///< Replaces the stored list.
  std::optional<StoredInterference>
      m_interference;  ///< Set at intervals, if it has changed.
};

/** @return the job's state as it is stored. */
[[nodiscard]] StoredState StateOf(const Cell& aCell, const Job& aJob);

/** @param aMaxRows limits the rows that the commit writes or deletes. */
[[nodiscard]] Commit TakeCommit(Cell& aCell, size_t aMaxRows, TimePoint aNow);

[[nodiscard]] inline bool HasCommit(const Cell& aCell) {
  return !aCell.m_dirty.empty() || !aCell.m_removed.empty() ||
         !aCell.m_dirtyRoutes.empty() || !aCell.m_removedRoutes.empty() ||
         aCell.m_commitWanted;
}

/** The commit is durable: issues the orders that waited for it. */
void ApplyCommitted(Cell& aCell, const Commit& aCommit, TimePoint aNow);

/** The commit failed or its outcome is unknown: its changes go into a later
 *  commit. */
void ReturnCommit(Cell& aCell, const Commit& aCommit);

/** Restores a stored job into a cell at a takeover. */
void RestoreJob(Cell& aCell, JobSpec aSpec, const StoredState& aState,
                TimePoint aNow, UnixMillis aUnixNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_COMMIT_CMD_H_
