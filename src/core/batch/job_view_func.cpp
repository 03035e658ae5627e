/**
 * @file job_view_func.cpp Jobs as returned to API callers.
 */

#include <algorithm>

#include "core/batch/row_key_func.h"
#include "core/batch/team_cmd.h"
#include "core/batch/team_internal.h"

namespace bronze {

namespace {

constexpr const char* kWaitsForStop = "the stop at its worker";

JobState StateOf(const TeamJob& aEntry, const JobView& aView) {
  if (aEntry.m_row.m_cancelled) return JobState::Cancelled;
  if (aEntry.m_open == 0) {
    return aView.m_failed > 0 ? JobState::Failed : JobState::Finished;
  }
  return aView.m_running > 0 || aView.m_finished > 0 ? JobState::Running
                                                     : JobState::Queued;
}

}  // namespace

JobView ViewOf(JobId aJob, const TeamJob& aEntry) {
  JobView view;
  view.m_job = aJob;
  view.m_team = aEntry.m_row.m_spec.m_team;
  view.m_kind = aEntry.m_row.m_spec.m_kind;
  view.m_tasks = aEntry.m_row.m_tasks;
  for (const TeamTask& task : aEntry.m_tasks) {
    switch (task.m_row.m_state) {
      case TaskState::Queued:
        ++view.m_queued;
        break;
      case TaskState::Starting:
      case TaskState::Running:
      case TaskState::Evicting:
        ++view.m_running;
        break;
      case TaskState::Finished:
        ++view.m_finished;
        break;
      case TaskState::Failed:
        ++view.m_failed;
        break;
      case TaskState::Cancelled:
        ++view.m_cancelled;
        break;
    }
  }
  view.m_state = StateOf(aEntry, view);
  if (view.m_queued > 0 && !aEntry.m_row.m_cancelled) {
    view.m_waitingFor = aEntry.m_waitingFor;
  }
  return view;
}

Result<JobView> QueryJob(const TeamOwnerState& aState, JobId aJob,
                         TimePoint aNow) {
  const auto shard = aState.m_shards.find(ShardOf(aJob));
  if (shard == aState.m_shards.end() ||
      shard->second.m_phase != UnitPhase::Ready) {
    return MakeError(
        ErrorKind::NotOwner,
        "this daemon does not own the shard of the job's team, or is "
        "still loading it");
  }
  const auto found = aState.m_jobs.find(aJob);
  if (found == aState.m_jobs.end()) {
    return MakeError(ErrorKind::UnknownJob, "no job has this id");
  }
  const TeamJob& job = found->second;
  JobView view = ViewOf(aJob, job);
  for (uint32_t index = 0; index < job.m_tasks.size(); ++index) {
    const TeamTask& task = job.m_tasks[index];
    TaskView item;
    item.m_index = index;
    item.m_state = task.m_row.m_state;
    item.m_worker = task.m_row.m_worker;
    item.m_token = task.m_row.m_token;
    item.m_attempts = task.m_row.m_attempts;
    item.m_message = task.m_row.m_message;
    if (task.m_row.m_state == TaskState::Queued) {
      item.m_waitingFor = view.m_waitingFor;
      item.m_waiting = std::max(aNow - task.m_since, Duration::zero());
    } else if (task.m_row.m_state == TaskState::Cancelled &&
               task.m_row.m_worker.IsValid()) {
      item.m_waitingFor = kWaitsForStop;
    }
    view.m_taskList.push_back(std::move(item));
  }
  return view;
}

std::vector<JobView> ListJobs(const TeamOwnerState& aState,
                              const JobFilter& aFilter) {
  std::vector<JobView> views;
  for (const auto& [id, job] : aState.m_jobs) {
    if (views.size() >= aFilter.m_limit) break;
    if (aFilter.m_team.IsValid() && job.m_row.m_spec.m_team != aFilter.m_team) {
      continue;
    }
    JobView view = ViewOf(id, job);
    if (aFilter.m_state && view.m_state != *aFilter.m_state) continue;
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace bronze
