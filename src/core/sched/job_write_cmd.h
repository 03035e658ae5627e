/**
 * @file job_write_cmd.h The rows of one job that a commit contains.
 */

#ifndef BRONZE_CORE_SCHED_JOB_WRITE_CMD_H_
#define BRONZE_CORE_SCHED_JOB_WRITE_CMD_H_

#include <cstddef>
#include <optional>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** Tasks of one commit; limits the time that it takes to encode. */
inline constexpr size_t kMaxTasksPerCommit = 10000;
/** A job with more tasks in its state row is divided, however small these are:
 *  each row must fit into a commit. */
inline constexpr size_t kMaxTasksPerStateRow = 4000;
static_assert(kMaxTasksPerStateRow <= kMaxTasksPerCommit);

/** What a commit may still contain. Any single row fits into an unused one. */
struct CommitBudget {
  size_t m_rows = 0;
  size_t m_bytes = 0;  ///< Of the transaction as sent.
  size_t m_tasks = 0;
};

/** @return the bytes of aRows with values of aValueBytes in all, as sent. */
[[nodiscard]] size_t BytesAsSent(size_t aValueBytes, size_t aRows);

/** Takes rows with aValueBytes in all from the budget, and aTasks. @return
 *  false, and takes nothing, if they do not fit. */
[[nodiscard]] bool TakeRows(CommitBudget& aBudget, size_t aRows,
                            size_t aValueBytes, size_t aTasks = 0);

/** @return the job's state in one piece, whether the job is divided or not. */
[[nodiscard]] StoredState StateOf(const Cell& aCell, const Job& aJob);

/**
 * Takes the changed rows of the job that fit into the budget. Divides the job
 * if its state row would be larger than CellSettings::m_stateBytes or have more
 * than kMaxTasksPerStateRow.
 * @return nothing if none fits.
 */
[[nodiscard]] std::optional<JobWrite> TakeJobWrite(Cell& aCell, Job& aJob,
                                                   CommitBudget& aBudget);

/** Whether some change of the job's blocks is in no commit. */
[[nodiscard]] bool HasUnstoredBlock(const Job& aJob);

/** The rows are durable. */
void ApplyJobWrite(Job& aJob, const JobWrite& aWrite);

/** The row of the block may have other contents than were last taken for it.
 *  @return whether the job has such a block; then it is taken again. */
bool MarkBlockUnstored(Job& aJob, const TaskBlockKey& aBlock);

/** The rows were not written: their blocks are taken again. */
void ReturnJobWrite(Job& aJob, const JobWrite& aWrite);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_JOB_WRITE_CMD_H_
