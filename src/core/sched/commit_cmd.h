/**
 * @file commit_cmd.h What of a cell must last: rows to write, and rebuilding
 * the cell from the rows at a takeover.
 */

#ifndef BRONZE_CORE_SCHED_COMMIT_CMD_H_
#define BRONZE_CORE_SCHED_COMMIT_CMD_H_

#include <optional>
#include <string>
#include <vector>

#include "core/sched/cell_base.h"
#include "core/sched/silence_cmd.h"

namespace bronze::sched {

/** What is stored of one task. */
struct StoredTask {
  enum class State : uint8_t { Open, Placed, Done };
  State m_state = State::Open;
  RunNumber m_run;
  uint64_t m_failedRuns = 0;
  RunnerId m_runner;         ///< With Placed.
  std::string m_checkpoint;  ///< With Open.
};

struct StoredOccurrence {
  uint32_t m_number = 0;
  std::vector<StoredTask> m_tasks;  ///< Empty: no task was ever placed.
};

/** The row that changes with the job's progress. */
struct StoredState {
  JobId m_job;
  JobPhase m_phase = JobPhase::Active;
  uint32_t m_nextOccurrence = 0;
  bool m_anyStarted = false;
  std::vector<StoredOccurrence> m_occurrences;  ///< Empty once it has ended.
};

/** The rows of one job in a commit. */
struct JobWrite {
  JobId m_job;
  uint64_t m_version = 0;
  std::optional<JobSpec> m_spec;  ///< Only the first time.
  StoredState m_state;
};

struct Commit {
  std::vector<JobWrite> m_writes;
  std::vector<JobId> m_removed;
  std::vector<SilentRunner> m_silent;  ///< Replaces those stored before.
  std::optional<StoredHarm> m_harm;    ///< Now and then, if it has changed.
};

/** @param aMaxJobs bounds the rows of one transaction. */
[[nodiscard]] Commit TakeCommit(Cell& aCell, size_t aMaxJobs, TimePoint aNow);

[[nodiscard]] inline bool HasCommit(const Cell& aCell) {
  return !aCell.m_dirty.empty() || !aCell.m_removed.empty() ||
         aCell.m_commitWanted;
}

/** The commit is durable: orders that waited for it are made. */
void ApplyCommitted(Cell& aCell, const Commit& aCommit, TimePoint aNow);

/** The commit certainly did not take place, or its outcome is unknown. */
void ReturnCommit(Cell& aCell, const Commit& aCommit);

/** Enters a stored job into a cell that is being taken over. */
void RestoreJob(Cell& aCell, JobSpec aSpec, const StoredState& aState,
                TimePoint aNow, UnixMillis aUnixNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_COMMIT_CMD_H_
