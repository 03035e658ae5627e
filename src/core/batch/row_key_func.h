/**
 * @file row_key_func.h Keys of the rows of jobs and tasks.
 *
 * The high byte of a job id is its team shard, so the rows of a shard share a
 * key prefix, and the id alone tells which daemon owns the job. A task with
 * reserved capacity has a second row under its rack. Both rows are written in
 * one transaction and therefore have the same version. A new owner of the rack
 * scans the second rows.
 */

#ifndef BRONZE_CORE_BATCH_ROW_KEY_FUNC_H_
#define BRONZE_CORE_BATCH_ROW_KEY_FUNC_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/batch/job_type.h"

namespace bronze {

[[nodiscard]] TeamShard ShardOf(const TeamId& aTeam);
[[nodiscard]] TeamShard ShardOf(JobId aJob);

/**
 * @param aRandom used if aSubmissionId is empty.
 * @return the job id. Equal team and submission id give the same job id, so a
 *         repeated submission finds the row of the first.
 */
[[nodiscard]] JobId JobIdFor(const TeamId& aTeam,
                             std::string_view aSubmissionId, uint64_t aRandom);

[[nodiscard]] std::string JobText(JobId aJob);     ///< 16 hexadecimal digits.
[[nodiscard]] std::string TaskText(TaskId aTask);  ///< As JOB/INDEX.
[[nodiscard]] std::optional<JobId> ParseJobId(std::string_view aText);
[[nodiscard]] std::optional<TaskId> ParseTaskId(std::string_view aText);

[[nodiscard]] std::string JobKey(JobId aJob);
[[nodiscard]] std::string TaskKey(TaskId aTask);
[[nodiscard]] std::string RackTaskKey(const RackId& aRack, TaskId aTask);

/** Key prefixes for scans. */
[[nodiscard]] std::string JobPrefix(TeamShard aShard);
[[nodiscard]] std::string TaskPrefix(TeamShard aShard);
[[nodiscard]] std::string RackPrefix(const RackId& aRack);

/** @return the task in a key of TaskKey() or RackTaskKey(). */
[[nodiscard]] std::optional<TaskId> TaskOfKey(std::string_view aKey);
/** @return the job in a key of JobKey(). */
[[nodiscard]] std::optional<JobId> JobOfKey(std::string_view aKey);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_ROW_KEY_FUNC_H_
