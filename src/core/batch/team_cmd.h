/**
 * @file team_cmd.h Jobs of the owned team shards: submission, queue, offers and
 *                  cancellation.
 *
 * The daemon calls these functions only while its authority is valid. It
 * forwards calls on jobs of other shards to their owners.
 */

#ifndef BRONZE_CORE_BATCH_TEAM_CMD_H_
#define BRONZE_CORE_BATCH_TEAM_CMD_H_

#include <span>

#include "core/batch/team_base.h"
#include "core/metrics/counter_func.h"

namespace bronze {

/**
 * Starts to own a shard. Emits ScanShard, whose result goes to RecoverShard().
 */
void OwnShard(TeamOwnerState& aState, TeamShard aShard, TimePoint aNow,
              BatchEffects& aEffects);

/**
 * Ends the ownership of a shard. Calls that wait for a commit are answered with
 * Timeout, as their outcome is unknown.
 */
void DropShard(TeamOwnerState& aState, TeamShard aShard,
               BatchEffects& aEffects);

/**
 * Handles the rows of a shard scan. The first scan restores the state of the
 * shard; later ones make up for lost updates. Rows that are not newer than the
 * state are skipped.
 */
void RecoverShard(TeamOwnerState& aState, TeamShard aShard,
                  std::span<const JobRecord> aJobs,
                  std::span<const TaskRecord> aTasks, TimePoint aNow,
                  BatchEffects& aEffects);

void UseTeamSettings(TeamOwnerState& aState, const BatchSettings& aSettings);

/** Updates the worker sizes and the capacity from the platform's VM list. */
void UseWorkerSizes(TeamOwnerState& aState, std::span<const VmInfo> aVms);

/** Replaces the free capacity of all racks, those of this daemon included. */
void UseSummaries(TeamOwnerState& aState, std::vector<RackSummary> aRacks);

/** Emit AnswerJob at once, or after the job's row was committed. */
void SubmitJob(TeamOwnerState& aState, const JobSubmission& aSubmission,
               TimePoint aNow, Counters& aCounters, BatchEffects& aEffects);
void CancelJob(TeamOwnerState& aState, JobId aJob, uint64_t aCall,
               TimePoint aNow, Counters& aCounters, BatchEffects& aEffects);

[[nodiscard]] Result<JobView> QueryJob(const TeamOwnerState& aState, JobId aJob,
                                       TimePoint aNow);
[[nodiscard]] std::vector<JobView> ListJobs(const TeamOwnerState& aState,
                                            const JobFilter& aFilter);

/** Handles a message of a rack owner. */
void UpdatesArrived(TeamOwnerState& aState, const TaskUpdates& aUpdates,
                    TimePoint aNow);

/**
 * Handles the result of a commit.
 * @return false if the change was not submitted by these functions.
 */
bool TeamChangeDone(TeamOwnerState& aState, const ChangeDone& aDone,
                    TimePoint aNow, Counters& aCounters,
                    BatchEffects& aEffects);

/** Handle the results of row reads. A row that does not exist has version 0. */
void TeamTaskRowRead(TeamOwnerState& aState, TaskId aTask,
                     const std::optional<TaskRow>& aRow, RowVersion aVersion,
                     TimePoint aNow);
void TeamTaskRowReadFailed(TeamOwnerState& aState, TaskId aTask);
void JobRowRead(TeamOwnerState& aState, JobId aJob,
                const std::optional<JobRow>& aRow, RowVersion aVersion,
                TimePoint aNow, Counters& aCounters, BatchEffects& aEffects);
void JobRowReadFailed(TeamOwnerState& aState, JobId aJob,
                      BatchEffects& aEffects);

/**
 * Offers queued tasks, continues cancellations, checks offers without an
 * answer, deletes rows of old jobs and answers calls that wait too long. Call
 * it every 100 ms.
 */
void TickTeams(TeamOwnerState& aState, TimePoint aNow, Counters& aCounters,
               BatchEffects& aEffects);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_TEAM_CMD_H_
