/**
 * @file team_job_cmd.cpp Submission of jobs, and results of commits and reads
 *                        of their rows.
 */

#include <fmt/format.h>

#include <algorithm>

#include "core/batch/placement_func.h"
#include "core/batch/row_key_func.h"
#include "core/batch/team_cmd.h"
#include "core/batch/team_internal.h"

namespace bronze {

namespace {

constexpr uint32_t kMaxTasksPerJob = 20000;

TeamSettings SettingsOf(const TeamOwnerState& aState, const TeamId& aTeam) {
  const auto found = aState.m_settings.m_teams.find(aTeam);
  return found == aState.m_settings.m_teams.end() ? TeamSettings{}
                                                  : found->second;
}

Result<void> CheckSize(const TeamOwnerState& aState, const JobRow& aRow) {
  const TaskSpec& spec = aRow.m_spec;
  if (!spec.m_team.IsValid() || !spec.m_kind.IsValid()) {
    return MakeError(ErrorKind::BadJob, "a job needs a team and a kind");
  }
  if (spec.m_resources.m_cores <= Millicores(0) ||
      spec.m_resources.m_memory <= Mebibytes(0) ||
      spec.m_resources.m_accelerators < Accelerators(0)) {
    return MakeError(ErrorKind::BadJob,
                     "cores and memory of a task must be above zero, and "
                     "accelerators must not be negative");
  }
  if (aRow.m_tasks < 1 || aRow.m_tasks > kMaxTasksPerJob) {
    return MakeError(ErrorKind::BadJob,
                     fmt::format("the number of tasks of a job must be 1 to {}",
                                 kMaxTasksPerJob));
  }
  // Until the list of workers is known, any size may fit.
  if (!aState.m_workerLimits.empty()) {
    const NearestSize nearest =
        FindNearestSize(aState.m_workerLimits, spec.m_resources);
    if (!nearest.m_fits) {
      return MakeError(
          ErrorKind::ImpossibleJob,
          fmt::format("no worker can hold a task of this size; the nearest "
                      "size that fits, in millicores and MiB, is cores={} "
                      "memory={} accelerators={}",
                      nearest.m_size.m_cores.Value(),
                      nearest.m_size.m_memory.Value(),
                      nearest.m_size.m_accelerators.Value()));
    }
  }
  const Resources& quota = SettingsOf(aState, spec.m_team).m_quota;
  if (!Fits(spec.m_resources, quota)) {
    return MakeError(ErrorKind::QuotaExceeded,
                     fmt::format("one task exceeds the quota of the team, in "
                                 "millicores and MiB: cores={} "
                                 "memory={} accelerators={}",
                                 quota.m_cores.Value(), quota.m_memory.Value(),
                                 quota.m_accelerators.Value()));
  }
  return boost::outcome_v2::success();
}

Result<void> CheckSubmit(const TeamOwnerState& aState,
                         const JobSubmission& aSubmission) {
  auto sized = CheckSize(aState, aSubmission.m_row);
  if (!sized) return sized;
  const auto shard =
      aState.m_shards.find(ShardOf(aSubmission.m_row.m_spec.m_team));
  if (shard == aState.m_shards.end() ||
      shard->second.m_phase != UnitPhase::Ready) {
    return MakeError(
        ErrorKind::NotOwner,
        "this daemon does not own the shard of the team, or is still "
        "loading it");
  }
  if (!aState.m_storeUp) {
    return MakeError(
        ErrorKind::StoreUnavailable,
        "the table service is unreachable, so nothing was changed");
  }
  return boost::outcome_v2::success();
}

void AnswerSubmit(const PendingSubmit& aPending,
                  const std::optional<Error>& aError, const JobView& aView,
                  BatchEffects& aEffects) {
  for (const auto& [call, since] : aPending.m_calls) {
    aEffects.emplace_back(AnswerJob{call, JobCallKind::Submit, aError, aView});
  }
}

void SubmitDone(TeamOwnerState& aState, JobId aJob, const ChangeDone& aDone,
                TimePoint aNow, Counters& aCounters, BatchEffects& aEffects) {
  const auto found = aState.m_submits.find(aJob);
  if (found == aState.m_submits.end()) return;
  if (aDone.m_outcome == ChangeOutcome::Conflict) {
    // The row exists: the same submission was committed before, perhaps by an
    // earlier owner.
    found->second.m_reading = true;
    aEffects.emplace_back(ReadJobRow{aJob});
    return;
  }
  Count(aCounters, CounterId::JobsSubmitted);
  const TeamJob& job =
      AddJob(aState, aJob, found->second.m_row, aDone.m_version, aNow);
  AnswerSubmit(found->second, std::nullopt, ViewOf(aJob, job), aEffects);
  aState.m_submits.erase(found);
}

}  // namespace

TeamJob& AddJob(TeamOwnerState& aState, JobId aJob, const JobRow& aRow,
                RowVersion aVersion, TimePoint aNow) {
  const auto [item, added] = aState.m_jobs.try_emplace(aJob);
  TeamJob& job = item->second;
  if (!added) return job;
  job.m_row = aRow;
  job.m_version = aVersion;
  job.m_tasks.resize(aRow.m_tasks);
  for (TeamTask& task : job.m_tasks) task.m_since = aNow;
  job.m_open = aRow.m_tasks;
  job.m_order = aState.m_nextOrder++;
  job.m_known = aNow;
  Enqueue(aState, aJob, job, 0);
  return job;
}

void RemoveJob(TeamOwnerState& aState, JobId aJob) {
  const auto found = aState.m_jobs.find(aJob);
  if (found == aState.m_jobs.end()) return;
  const TeamJob& job = found->second;
  const TaskSpec& spec = job.m_row.m_spec;
  Team& team = aState.m_teams[spec.m_team];
  for (uint32_t index = 0; index < job.m_tasks.size(); ++index) {
    const TeamTask& task = job.m_tasks[index];
    const TaskId id{aJob, index};
    if (CountsAsUsed(task)) team.m_used -= TaskNeed(job, task);
    aState.m_offers.erase(id);
    aState.m_awaitingStop.erase(id);
    aState.m_tasksToCancel.erase(id);
    aState.m_taskChanges.erase(task.m_change);
  }
  team.m_queue.erase({!spec.m_urgent, -spec.m_priority, job.m_order, aJob});
  aState.m_jobs.erase(found);
}

void SubmitJob(TeamOwnerState& aState, const JobSubmission& aSubmission,
               TimePoint aNow, Counters& aCounters, BatchEffects& aEffects) {
  if (const auto checked = CheckSubmit(aState, aSubmission); !checked) {
    Count(aCounters, RefusalCounter(checked.error().m_kind));
    aEffects.emplace_back(AnswerJob{
        aSubmission.m_call, JobCallKind::Submit, checked.error(), {}});
    return;
  }
  const JobId id =
      JobIdFor(aSubmission.m_row.m_spec.m_team,
               aSubmission.m_row.m_submissionId, aSubmission.m_random);
  if (const auto known = aState.m_jobs.find(id); known != aState.m_jobs.end()) {
    aEffects.emplace_back(AnswerJob{aSubmission.m_call, JobCallKind::Submit,
                                    std::nullopt, ViewOf(id, known->second)});
    return;
  }
  PendingSubmit& pending = aState.m_submits[id];
  pending.m_calls.emplace_back(aSubmission.m_call, aNow);
  if (pending.m_change.IsValid()) return;
  pending.m_job = id;
  pending.m_row = aSubmission.m_row;
  SubmitChange change;
  change.m_id = TakeChangeId(aState);
  change.m_unit = UnitOf(ShardOf(id));
  change.m_jobs.push_back({id, RowVersion(), pending.m_row});
  pending.m_change = change.m_id;
  aState.m_jobChanges[change.m_id] = id;
  aEffects.emplace_back(std::move(change));
}

bool TeamChangeDone(TeamOwnerState& aState, const ChangeDone& aDone,
                    TimePoint aNow, Counters& aCounters,
                    BatchEffects& aEffects) {
  if (const auto task = aState.m_taskChanges.find(aDone.m_id);
      task != aState.m_taskChanges.end()) {
    const TaskId id = task->second;
    aState.m_taskChanges.erase(task);
    TaskCancelDone(aState, id, aDone, aNow, aEffects);
    return true;
  }
  const auto change = aState.m_jobChanges.find(aDone.m_id);
  if (change == aState.m_jobChanges.end()) return false;
  const JobId id = change->second;
  aState.m_jobChanges.erase(change);
  if (aState.m_submits.contains(id)) {
    SubmitDone(aState, id, aDone, aNow, aCounters, aEffects);
  } else {
    JobCancelDone(aState, id, aDone, aCounters, aEffects);
  }
  return true;
}

void JobRowRead(TeamOwnerState& aState, JobId aJob,
                const std::optional<JobRow>& aRow, RowVersion aVersion,
                TimePoint aNow, Counters& aCounters, BatchEffects& aEffects) {
  const auto found = aState.m_submits.find(aJob);
  if (found == aState.m_submits.end()) {
    const bool isOwned = aState.m_shards.contains(ShardOf(aJob));
    if (isOwned && aRow && !aState.m_jobs.contains(aJob)) {
      AddJob(aState, aJob, *aRow, aVersion, aNow);
    }
    CancelRowRead(aState, aJob, aRow, aVersion, aEffects);
    return;
  }
  PendingSubmit& pending = found->second;
  const bool same = aRow &&
                    aRow->m_submissionId == pending.m_row.m_submissionId &&
                    aRow->m_spec.m_team == pending.m_row.m_spec.m_team;
  if (same) {
    const TeamJob& job = AddJob(aState, aJob, *aRow, aVersion, aNow);
    if (aRow->m_cancelled) CancelTasksOf(aState, aJob);
    AnswerSubmit(pending, std::nullopt, ViewOf(aJob, job), aEffects);
  } else {
    Count(aCounters, RefusalCounter(ErrorKind::StoreConflict));
    AnswerSubmit(
        pending,
        MakeError(ErrorKind::StoreConflict,
                  "another job already has the id that this submission "
                  "gets; submit it with another submission_id"),
        {}, aEffects);
  }
  aState.m_submits.erase(found);
}

void JobRowReadFailed(TeamOwnerState& aState, JobId aJob,
                      BatchEffects& aEffects) {
  if (aState.m_submits.contains(aJob) || aState.m_cancels.contains(aJob)) {
    aEffects.emplace_back(ReadJobRow{aJob});
  }
}

}  // namespace bronze
