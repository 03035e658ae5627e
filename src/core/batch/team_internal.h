/**
 * @file team_internal.h Functions that the team_*_cmd.cpp files share.
 */

#ifndef BRONZE_CORE_BATCH_TEAM_INTERNAL_H_
#define BRONZE_CORE_BATCH_TEAM_INTERNAL_H_

#include "core/batch/team_base.h"
#include "core/metrics/counter_func.h"

namespace bronze {

/** @return the declared size of the task, or the measured use if larger. */
[[nodiscard]] Resources TaskNeed(const TeamJob& aJob, const TeamTask& aTask);

/** @return whether the task counts as use of its team: placed or offered. */
[[nodiscard]] bool CountsAsUsed(const TeamTask& aTask);

/**
 * Replaces the known row of the task by a newer one and updates the team's use
 * and queue. Does nothing if the row is not newer.
 */
void AdoptTaskRow(TeamOwnerState& aState, TaskId aTask, const TaskRow& aRow,
                  RowVersion aVersion, TimePoint aNow);

/**
 * Opens an offer to aRack, or closes the open one if aRack is invalid. Updates
 * the team's use.
 */
void SetOffer(TeamOwnerState& aState, TaskId aTask, TeamTask& aEntry,
              const RackId& aRack, TimePoint aNow);

/** Puts the job into its team's queue, as its task aIndex is queued. */
void Enqueue(TeamOwnerState& aState, JobId aJob, TeamJob& aEntry,
             uint32_t aIndex);

/** Adds a job whose row is committed, unless the job is known. */
TeamJob& AddJob(TeamOwnerState& aState, JobId aJob, const JobRow& aRow,
                RowVersion aVersion, TimePoint aNow);
void RemoveJob(TeamOwnerState& aState, JobId aJob);

[[nodiscard]] ChangeId TakeChangeId(TeamOwnerState& aState);
[[nodiscard]] std::string UnitOf(TeamShard aShard);

/** Offers queued tasks to racks in the order of fair sharing. */
void OfferQueued(TeamOwnerState& aState, TimePoint aNow,
                 BatchEffects& aEffects);

/** Marks the tasks of a cancelled job that have not ended for cancellation. */
void CancelTasksOf(TeamOwnerState& aState, JobId aJob);
/** Submits task cancellations and repeats SendCancel. */
void ContinueCancellations(TeamOwnerState& aState, TimePoint aNow,
                           BatchEffects& aEffects);
/** Handles the result of the commit that cancels a task. */
void TaskCancelDone(TeamOwnerState& aState, TaskId aTask,
                    const ChangeDone& aDone, TimePoint aNow,
                    BatchEffects& aEffects);

/** Handles the result of the commit that cancels a job. */
void JobCancelDone(TeamOwnerState& aState, JobId aJob, const ChangeDone& aDone,
                   Counters& aCounters, BatchEffects& aEffects);
/** Continues the cancellation of a job with the row read after a conflict. */
void CancelRowRead(TeamOwnerState& aState, JobId aJob,
                   const std::optional<JobRow>& aRow, RowVersion aVersion,
                   BatchEffects& aEffects);

[[nodiscard]] JobView ViewOf(JobId aJob, const TeamJob& aEntry);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_TEAM_INTERNAL_H_
