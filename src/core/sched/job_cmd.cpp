/**
 * @file job_cmd.cpp Commands of callers on jobs: submit, cancel, look up.
 */

#include "core/sched/job_cmd.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/advice_cmd.h"
#include "core/sched/stored_size_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Whether the steps cannot be put in an order in which each follows its
 *  predecessors. */
bool HasCycle(const std::vector<StepSpec>& aSteps) {
  std::vector<bool> placed(aSteps.size(), false);
  for (size_t pass = 0; pass < aSteps.size(); ++pass) {
    bool any = false;
    for (size_t step = 0; step < aSteps.size(); ++step) {
      if (placed[step]) continue;
      const auto& after = aSteps[step].m_after;
      if (std::all_of(after.begin(), after.end(),
                      [&](uint32_t aEarlier) { return placed[aEarlier]; })) {
        placed[step] = true;
        any = true;
      }
    }
    if (!any) break;
  }
  return std::find(placed.begin(), placed.end(), false) != placed.end();
}

}  // namespace

Result<void> CheckJob(const JobSpec& aSpec) {
  const auto& steps = aSpec.m_steps;
  if (steps.empty() || steps.size() > kMaxSteps) {
    return MakeError(
        ErrorKind::BadJob,
        fmt::format("a job must have 1 to {} steps, but this one has {}",
                    kMaxSteps, steps.size()));
  }
  uint64_t tasks = 0;
  for (const StepSpec& step : steps) {
    tasks += step.m_count;
    if (step.m_count == 0) {
      return MakeError(ErrorKind::BadJob,
                       "a step has no tasks; the minimum is 1");
    }
    for (const uint32_t earlier : step.m_after) {
      if (earlier >= steps.size()) {
        return MakeError(
            ErrorKind::BadJob,
            fmt::format("a step depends on step {}, which does not exist",
                        earlier));
      }
    }
  }
  if (tasks > kMaxTasksPerJob) {
    return MakeError(
        ErrorKind::BadJob,
        fmt::format("a job may have at most {} tasks, but this one has {}",
                    kMaxTasksPerJob, tasks));
  }
  if (HasCycle(steps)) {
    return MakeError(ErrorKind::BadJob,
                     "the steps depend on each other in a cycle");
  }
  return boost::outcome_v2::success();
}

void ApplyLiveConfig(Cell& aCell, const LiveConfig& aConfig) {
  for (const QueueConfig& queue : aConfig.m_queues) {
    QueueService& known = aCell.m_queueServices[queue.m_id];
    if (known.m_configVersion >= aConfig.m_version) continue;
    known = {aConfig.m_version, queue.m_policy.m_service};
  }
  aCell.m_fullSearchAt = TimePoint();
  aCell.m_capacityChanged = true;
}

const ServiceId& ServiceOf(const Cell& aCell, const JobSpec& aSpec) {
  const auto found = aCell.m_queueServices.find(aSpec.m_queue);
  const bool isNewer =
      found != aCell.m_queueServices.end() &&
      found->second.m_configVersion >= aSpec.m_policy.m_configVersion;
  return isNewer ? found->second.m_service : aSpec.m_policy.m_service;
}

Result<DurableVersion> SubmitJob(Cell& aCell, JobSpec aSpec, TimePoint aNow,
                                 UnixMillis aUnixNow) {
  const JobId id = aSpec.m_id;
  const auto known = aCell.m_jobs.find(id);
  if (known != aCell.m_jobs.end()) {
    return DurableVersion{id, known->second.m_specStored
                                  ? known->second.m_storedVersion
                                  : known->second.m_version};
  }
  if (aCell.m_jobs.size() - aCell.m_ended.size() >=
      aCell.m_settings.m_maxOpenJobs) {
    return MakeError(ErrorKind::QueueFull,
                     "the scheduler has reached its limit of open jobs");
  }
  const size_t bytes = StoredBytesBound(aSpec);
  if (bytes > aCell.m_settings.m_rowBytes) {
    ++aCell.m_counts.m_oversizedJobs;
    return MakeError(
        ErrorKind::BadJob,
        fmt::format("the job's description takes up to {} bytes in the store, "
                    "which accepts {}",
                    bytes, aCell.m_settings.m_rowBytes));
  }
  Job& job = aCell.m_jobs[id];
  job.m_spec = std::move(aSpec);
  job.m_spec.m_acceptedAt = aUnixNow;
  IndexSteps(aCell, job);
  MarkChanged(aCell, job);
  AddNewJob(aCell, job);
  UpdatePending(aCell, job);
  ++aCell.m_counts.m_accepted;
  if (job.m_spec.m_maxRuns == 0) {
    BeginOccurrence(aCell, job, 0, aNow);
  } else {
    aCell.m_scheduled.emplace(job.m_spec.m_startTime, id);
  }
  return DurableVersion{id, job.m_version};
}

Result<DurableVersion> CancelJob(Cell& aCell, JobId aJob, TimePoint aNow) {
  const auto found = aCell.m_jobs.find(aJob);
  if (found == aCell.m_jobs.end()) {
    return MakeError(ErrorKind::UnknownJob, "no such job");
  }
  EndJob(aCell, found->second, JobPhase::Cancelled, aNow);
  return DurableVersion{aJob, found->second.m_version};
}

Result<JobState> LookUpJob(const Cell& aCell, JobId aJob) {
  const auto found = aCell.m_jobs.find(aJob);
  if (found == aCell.m_jobs.end()) {
    return MakeError(ErrorKind::UnknownJob, "no such job");
  }
  const Job& job = found->second;
  // A job that came from another cell was accepted long ago.
  if (!job.m_specStored) {
    return MakeError(ErrorKind::NotReady, "the job is being stored");
  }
  const JobState open = job.m_anyStarted ? JobState::Running : JobState::Queued;
  if (job.m_storedVersion < job.m_version && job.m_phase != JobPhase::Active) {
    return open;
  }
  switch (job.m_phase) {
    case JobPhase::Active:
      return open;
    case JobPhase::Completed:
      return JobState::Completed;
    case JobPhase::Failed:
      return JobState::Failed;
    case JobPhase::Cancelled:
      return JobState::Cancelled;
  }
  return open;
}

uint32_t PendingJobs(const Cell& aCell, const QueueId& aQueue) {
  const auto found = aCell.m_pending.find(aQueue);
  return found == aCell.m_pending.end()
             ? 0
             : static_cast<uint32_t>(found->second.size());
}

bool WithdrawJob(Cell& aCell, JobId aJob) {
  const auto found = aCell.m_jobs.find(aJob);
  if (found != aCell.m_jobs.end()) {
    // Blocks of a divided job may be stored already. It stays, and its callers
    // wait.
    if (aCell.m_dirty.count(aJob) == 0 || found->second.m_specStored ||
        found->second.m_tasksPerBlock > 0) {
      return false;
    }
    ForgetJob(aCell, found->second);
    std::erase(aCell.m_newJobs, aJob);
    return true;
  }
  const auto route = aCell.m_routes.find(aJob);
  // The route of a job that has moved replaces the job.
  if (aCell.m_dirtyRoutes.count(aJob) == 0 || route == aCell.m_routes.end() ||
      route->second.m_moveCount > 0) {
    return false;
  }
  aCell.m_dirtyRoutes.erase(aJob);
  aCell.m_routes.erase(route);
  return true;
}

std::vector<JobId> WithdrawUnstored(Cell& aCell, const std::set<JobId>& aKept) {
  std::set<JobId> unstored = aCell.m_dirty;
  unstored.insert(aCell.m_dirtyRoutes.begin(), aCell.m_dirtyRoutes.end());
  std::vector<JobId> withdrawn;
  for (const JobId id : unstored) {
    if (aKept.count(id) == 0 && WithdrawJob(aCell, id)) withdrawn.push_back(id);
  }
  return withdrawn;
}

namespace {

/** Whether another occurrence may begin: what a job with many due times holds
 *  of this owner's memory, of its passes and of its state row is limited. */
bool MayBeginOccurrence(const Cell& aCell, const Job& aJob) {
  const size_t open = aJob.m_occurrences.size();
  if (open == 0) return true;
  const size_t tasks = TaskCount(aJob.m_spec);
  return open < aCell.m_settings.m_maxOpenOccurrences &&
         (open + 1) * tasks <= aCell.m_settings.m_maxOpenTasks;
}

void BeginDueOccurrences(Cell& aCell, TimePoint aNow, UnixMillis aUnixNow) {
  auto at = aCell.m_scheduled.begin();
  while (at != aCell.m_scheduled.end() && at->first <= aUnixNow) {
    const JobId id = at->second;
    const auto found = aCell.m_jobs.find(id);
    const bool isOpen = found != aCell.m_jobs.end() &&
                        found->second.m_phase == JobPhase::Active;
    if (isOpen && !MayBeginOccurrence(aCell, found->second)) {
      ++at;
      continue;
    }
    at = aCell.m_scheduled.erase(at);
    if (!isOpen) continue;
    Job& job = found->second;
    const uint32_t number = job.m_nextOccurrence;
    if (number >= job.m_spec.m_maxRuns) continue;
    BeginOccurrence(aCell, job, number, aNow);
    MarkChanged(aCell, job);
    if (job.m_nextOccurrence < job.m_spec.m_maxRuns) {
      const UnixMillis next(job.m_spec.m_startTime.Value() +
                            job.m_spec.m_intervalMs *
                                static_cast<int64_t>(job.m_nextOccurrence));
      // It may be due as well, and sorts before the position reached.
      const auto inserted = aCell.m_scheduled.emplace(next, id).first;
      if (at == aCell.m_scheduled.end() || *inserted < *at) at = inserted;
    }
  }
}

bool HasPlacedTask(const Job& aJob) {
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (const Task& task : occurrence.m_tasks) {
      if (HasPlace(task.m_phase)) return true;
    }
  }
  return false;
}

/** A job that came from another cell is kept for longer: if that cell has been
 *  without an owner, it sends the job again, which must not run twice. */
constexpr Duration kMovedJobRetention = seconds(900);

void RemoveOldJobs(Cell& aCell, TimePoint aNow) {
  while (!aCell.m_ended.empty() &&
         aCell.m_ended.begin()->first + aCell.m_settings.m_statusRetention <
             aNow) {
    const JobId id = aCell.m_ended.begin()->second;
    aCell.m_ended.erase(aCell.m_ended.begin());
    const auto found = aCell.m_jobs.find(id);
    if (found == aCell.m_jobs.end()) continue;
    // The cell that the job came from may not know yet that it arrived.
    const bool mayComeAgain =
        found->second.m_moveCount > 0 &&
        aNow - found->second.m_endedAt < kMovedJobRetention;
    if (mayComeAgain || HasPlacedTask(found->second) ||
        found->second.m_storedVersion < found->second.m_version) {
      aCell.m_ended.emplace(aNow, id);
      continue;
    }
    RemoveFromPending(aCell, found->second);
    aCell.m_dirty.erase(id);
    aCell.m_heldBack.erase(id);
    RemoveRows(aCell, found->second);
    aCell.m_jobs.erase(found);
  }
}

void EndHoldBacks(Cell& aCell, TimePoint aNow) {
  std::erase_if(aCell.m_heldBack, [&](const auto& aEntry) {
    if (aNow < aEntry.second) return false;
    aCell.m_dirty.insert(aEntry.first);
    return true;
  });
}

}  // namespace

void AdvanceJobs(Cell& aCell, TimePoint aNow, UnixMillis aUnixNow) {
  BeginDueOccurrences(aCell, aNow, aUnixNow);
  RemoveOldJobs(aCell, aNow);
  EndHoldBacks(aCell, aNow);
}

}  // namespace bronze::sched
