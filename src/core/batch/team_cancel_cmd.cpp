/**
 * @file team_cancel_cmd.cpp Cancellation of jobs and of their tasks.
 *
 * The job's row is committed first, and the caller is answered after that. The
 * cancellations of its tasks follow, a limited number at a time. If the shard
 * changes its owner meanwhile, the new owner finds the cancelled job in its
 * scan and continues.
 */

#include <algorithm>

#include "core/batch/row_key_func.h"
#include "core/batch/task_cmd.h"
#include "core/batch/team_cmd.h"
#include "core/batch/team_internal.h"

namespace bronze {

namespace {

constexpr size_t kMaxPendingTasks = 1000;  // Limits memory use.
constexpr Duration kStopRepeatInterval = seconds(1);

void AnswerCancel(const PendingCancel& aPending,
                  const std::optional<Error>& aError, const JobView& aView,
                  BatchEffects& aEffects) {
  for (const auto& [call, since] : aPending.m_calls) {
    aEffects.emplace_back(AnswerJob{call, JobCallKind::Cancel, aError, aView});
  }
}

Result<void> CheckCancel(const TeamOwnerState& aState, JobId aJob) {
  const auto shard = aState.m_shards.find(ShardOf(aJob));
  if (shard == aState.m_shards.end() ||
      shard->second.m_phase != UnitPhase::Ready) {
    return MakeError(
        ErrorKind::NotOwner,
        "this daemon does not own the shard of the job's team, or is "
        "still loading it");
  }
  const auto job = aState.m_jobs.find(aJob);
  if (job == aState.m_jobs.end()) {
    return MakeError(ErrorKind::UnknownJob, "no job has this id");
  }
  if (job->second.m_open == 0 && !job->second.m_row.m_cancelled) {
    return MakeError(ErrorKind::JobAlreadyEnded, "the job has already ended");
  }
  if (!aState.m_storeUp && !job->second.m_row.m_cancelled) {
    return MakeError(
        ErrorKind::StoreUnavailable,
        "the table service is unreachable, so nothing was changed");
  }
  return boost::outcome_v2::success();
}

void CommitJobCancel(TeamOwnerState& aState, JobId aJob,
                     PendingCancel& aPending, BatchEffects& aEffects) {
  const TeamJob& job = aState.m_jobs.at(aJob);
  SubmitChange change;
  change.m_id = TakeChangeId(aState);
  change.m_priority = ChangePriority::Bulk;
  change.m_unit = UnitOf(ShardOf(aJob));
  JobRow row = job.m_row;
  row.m_cancelled = true;
  change.m_jobs.push_back({aJob, job.m_version, std::move(row)});
  aPending.m_change = change.m_id;
  aState.m_jobChanges[change.m_id] = aJob;
  aEffects.emplace_back(std::move(change));
}

void CommitTaskCancel(TeamOwnerState& aState, TaskId aTask, TeamJob& aJob,
                      TeamTask& aEntry, BatchEffects& aEffects) {
  TaskRow next = aEntry.m_row;
  if (!CancelTask(next)) return;
  SubmitChange change;
  change.m_id = TakeChangeId(aState);
  change.m_priority = ChangePriority::Bulk;
  change.m_unit = UnitOf(ShardOf(aTask.m_job));
  TaskWrite write;
  write.m_task = aTask;
  write.m_check = aEntry.m_version;
  write.m_row = std::move(next);
  write.m_spec = aJob.m_row.m_spec;
  change.m_tasks.push_back(std::move(write));
  aEntry.m_change = change.m_id;
  aState.m_taskChanges[change.m_id] = aTask;
  aEffects.emplace_back(std::move(change));
}

}  // namespace

void CancelTasksOf(TeamOwnerState& aState, JobId aJob) {
  const TeamJob& job = aState.m_jobs.at(aJob);
  for (uint32_t index = 0; index < job.m_tasks.size(); ++index) {
    if (!IsEnded(job.m_tasks[index].m_row.m_state)) {
      aState.m_tasksToCancel.insert({aJob, index});
    }
  }
}

void CancelJob(TeamOwnerState& aState, JobId aJob, uint64_t aCall,
               TimePoint aNow, Counters& aCounters, BatchEffects& aEffects) {
  if (const auto checked = CheckCancel(aState, aJob); !checked) {
    Count(aCounters, RefusalCounter(checked.error().m_kind));
    aEffects.emplace_back(
        AnswerJob{aCall, JobCallKind::Cancel, checked.error(), {}});
    return;
  }
  const TeamJob& job = aState.m_jobs.at(aJob);
  if (job.m_row.m_cancelled) {
    aEffects.emplace_back(
        AnswerJob{aCall, JobCallKind::Cancel, std::nullopt, ViewOf(aJob, job)});
    return;
  }
  PendingCancel& pending = aState.m_cancels[aJob];
  pending.m_calls.emplace_back(aCall, aNow);
  if (!pending.m_change.IsValid() && !pending.m_reading) {
    CommitJobCancel(aState, aJob, pending, aEffects);
  }
}

void ContinueCancellations(TeamOwnerState& aState, TimePoint aNow,
                           BatchEffects& aEffects) {
  for (const TaskId& task : aState.m_tasksToCancel) {
    if (aState.m_taskChanges.size() >= kMaxPendingTasks) break;
    TeamJob& job = aState.m_jobs.at(task.m_job);
    TeamTask& entry = job.m_tasks[task.m_index];
    if (entry.m_change.IsValid() || entry.m_reading) continue;
    CommitTaskCancel(aState, task, job, entry, aEffects);
  }
  for (auto& [task, last] : aState.m_awaitingStop) {
    if (last != TimePoint() && aNow < last + kStopRepeatInterval) continue;
    last = aNow;
    const TeamTask& entry = aState.m_jobs.at(task.m_job).m_tasks[task.m_index];
    aEffects.emplace_back(SendCancel{{task, entry.m_row.m_rack}});
  }
}

void TaskCancelDone(TeamOwnerState& aState, TaskId aTask,
                    const ChangeDone& aDone, TimePoint aNow,
                    BatchEffects& aEffects) {
  const auto job = aState.m_jobs.find(aTask.m_job);
  if (job == aState.m_jobs.end()) return;
  TeamTask& entry = job->second.m_tasks[aTask.m_index];
  if (entry.m_change != aDone.m_id) return;
  entry.m_change = ChangeId();
  if (aDone.m_outcome == ChangeOutcome::Conflict) {
    // The rack owner has changed the row, so the new row is cancelled.
    entry.m_reading = true;
    aEffects.emplace_back(ReadTaskRow{aTask});
    return;
  }
  TaskRow row = entry.m_row;
  // The known row is the one that was cancelled: a newer one would have been
  // committed before this change, which would then have failed with a conflict.
  if (CancelTask(row)) AdoptTaskRow(aState, aTask, row, aDone.m_version, aNow);
}

void JobCancelDone(TeamOwnerState& aState, JobId aJob, const ChangeDone& aDone,
                   Counters& aCounters, BatchEffects& aEffects) {
  const auto pending = aState.m_cancels.find(aJob);
  if (pending == aState.m_cancels.end()) return;
  const auto job = aState.m_jobs.find(aJob);
  pending->second.m_change = ChangeId();
  if (job != aState.m_jobs.end() &&
      aDone.m_outcome == ChangeOutcome::Conflict) {
    pending->second.m_reading = true;
    aEffects.emplace_back(ReadJobRow{aJob});
    return;
  }
  if (job != aState.m_jobs.end()) {
    job->second.m_row.m_cancelled = true;
    job->second.m_version = aDone.m_version;
    CancelTasksOf(aState, aJob);
    Count(aCounters, CounterId::JobsCancelled);
    AnswerCancel(pending->second, std::nullopt, ViewOf(aJob, job->second),
                 aEffects);
  }
  aState.m_cancels.erase(pending);
}

void CancelRowRead(TeamOwnerState& aState, JobId aJob,
                   const std::optional<JobRow>& aRow, RowVersion aVersion,
                   BatchEffects& aEffects) {
  const auto pending = aState.m_cancels.find(aJob);
  const auto job = aState.m_jobs.find(aJob);
  if (pending == aState.m_cancels.end()) return;
  pending->second.m_reading = false;
  if (!aRow || job == aState.m_jobs.end()) {
    AnswerCancel(pending->second,
                 MakeError(ErrorKind::UnknownJob, "no job has this id"), {},
                 aEffects);
    aState.m_cancels.erase(pending);
    return;
  }
  job->second.m_row = *aRow;
  job->second.m_version = aVersion;
  if (!aRow->m_cancelled) {
    CommitJobCancel(aState, aJob, pending->second, aEffects);
    return;
  }
  CancelTasksOf(aState, aJob);
  AnswerCancel(pending->second, std::nullopt, ViewOf(aJob, job->second),
               aEffects);
  aState.m_cancels.erase(pending);
}

}  // namespace bronze
