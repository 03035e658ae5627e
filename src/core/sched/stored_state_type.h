/**
 * @file stored_state_type.h State of jobs as it is stored.
 *
 * The progress of a job is one row, or, if that would be too large, one row
 * without tasks and a row for each block of consecutive tasks. The rows of a
 * divided job need not be written together: each block holds for its own tasks,
 * and a block that has no row has no task that was ever placed. Until the row
 * without tasks is stored, the undivided one holds.
 */

#ifndef BRONZE_CORE_SCHED_STORED_STATE_TYPE_H_
#define BRONZE_CORE_SCHED_STORED_STATE_TYPE_H_

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "core/sched/job_type.h"

namespace bronze::sched {

/** The stored state of one task. */
struct StoredTask {
  enum class State : uint8_t { Open, Placed, Done };
  State m_state = State::Open;
  RunNumber m_run;
  FailedRuns m_failedRuns;
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
  /** Tasks per block; 0: the row contains all tasks. */
  uint32_t m_tasksPerBlock = 0;
  /** Empty once the job and all its runs have ended. */
  std::vector<StoredOccurrence> m_occurrences;
};

/** Identifies a block of tasks of a divided job. */
struct TaskBlockKey {
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_firstTask = 0;  ///< Index in Occurrence::m_tasks.

  friend auto operator<=>(const TaskBlockKey&, const TaskBlockKey&) = default;
};

/** The row of one block. */
struct StoredTaskBlock {
  TaskBlockKey m_key;
  std::vector<StoredTask> m_tasks;
};

/** The rows of one job in a commit. */
struct JobWrite {
  JobId m_job;
  /** Version of the job that is durable with this commit. */
  uint64_t m_version = 0;
  std::optional<JobSpec> m_spec;  ///< Set only in the first write of the job.
  /** Not set while blocks of a job that has just been divided are missing. */
  std::optional<StoredState> m_state;
  std::vector<StoredTaskBlock> m_blocks;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_STORED_STATE_TYPE_H_
