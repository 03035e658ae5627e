/**
 * @file rack_worker_cmd.cpp Results of worker calls, and worker reports.
 */

#include <algorithm>
#include <set>

#include "core/batch/rack_cmd.h"
#include "core/batch/rack_internal.h"

namespace bronze {

namespace {

// No eviction for interference or growth for this long after a refused
// checkpoint.
constexpr Duration kCheckpointBackoff = seconds(10);
// Use of up to this percentage of the reservation counts as noise.
constexpr int64_t kGrowthPercent = 105;

/** @return the task if it has capacity on this worker; null otherwise. */
RackTask* FindTaskOn(RackOwnerState& aState, const WorkerId& aWorker,
                     TaskId aTask) {
  const auto found = aState.m_tasks.find(aTask);
  if (found == aState.m_tasks.end()) return nullptr;
  return found->second.m_worker == aWorker ? &found->second : nullptr;
}

/** Ends the call in flight for a task. @return the task; null if the call is no
 * longer in flight for it on this worker. */
RackTask* EndCall(RackOwnerState& aState, const WorkerId& aWorker, TaskId aTask,
                  TaskCall aCall) {
  RackTask* rackTask = FindTaskOn(aState, aWorker, aTask);
  if (rackTask == nullptr || rackTask->m_call != aCall) return nullptr;
  rackTask->m_call = TaskCall::None;
  return rackTask;
}

void UpdateReachable(RackOwnerState& aState, const WorkerId& aWorker,
                     WorkerCallEnd aEnd) {
  const auto found = aState.m_workers.find(aWorker);
  if (found == aState.m_workers.end()) return;
  found->second.m_reachable =
      aEnd != WorkerCallEnd::NotSent && aEnd != WorkerCallEnd::Lost;
}

void SetSeen(RackTask& aRackTask, SeenAtWorker aSeen) {
  // A run that has ended never runs again with the same token.
  if (aRackTask.m_seen == SeenAtWorker::Unknown ||
      aRackTask.m_seen == SeenAtWorker::Running) {
    aRackTask.m_seen = aSeen;
  }
}

void RecordCheckpoint(RackTask& aRackTask, const ObjectName& aCheckpoint,
                      TimePoint aNow) {
  if (!aCheckpoint.IsValid() || aCheckpoint == aRackTask.m_lastCheckpoint)
    return;
  aRackTask.m_lastCheckpoint = aCheckpoint;
  aRackTask.m_checkpointed = aNow;
}

/** Raises the token for stops and reads the row again, after the worker refused
 * the token because it has seen a higher one. */
void RetryAfterStaleToken(const RackContext& aContext, TaskId aTask,
                          RackTask& aRackTask) {
  ++aRackTask.m_tokenIncrement;
  aRackTask.m_retryAt = aContext.m_now + kCallRetryDelay;
  aRackTask.m_needsRead = true;
  AdvanceTask(aContext, aTask);
}

SeenAtWorker SeenFrom(WorkerTaskState aState) {
  switch (aState) {
    case WorkerTaskState::Running:
      return SeenAtWorker::Running;
    case WorkerTaskState::Finished:
      return SeenAtWorker::Finished;
    case WorkerTaskState::Failed:
      return SeenAtWorker::Failed;
    case WorkerTaskState::Stopped:
    case WorkerTaskState::Checkpointed:
      return SeenAtWorker::Stopped;
  }
  return SeenAtWorker::Unknown;
}

/** Throttles a task that uses more than its reservation, and evicts it if a
 * larger reservation is possible. */
void CheckGrowth(const RackContext& aContext, TaskId aTask,
                 RackTask& aRackTask) {
  const Resources& used = aRackTask.m_usage;
  const Resources& reserved = aRackTask.m_reserved;
  const auto isAbove = [](int64_t aUsed, int64_t aReserved) {
    return aUsed * 100 > aReserved * kGrowthPercent;
  };
  const bool cores = isAbove(used.m_cores.Value(), reserved.m_cores.Value());
  const bool memory = isAbove(used.m_memory.Value(), reserved.m_memory.Value());
  if (!cores && !memory) return;
  const Worker& worker = aContext.m_state.m_workers.at(aRackTask.m_worker);
  aRackTask.m_measured.m_cores = std::min(
      std::max(used.m_cores, reserved.m_cores), worker.m_limit.m_cores);
  aRackTask.m_measured.m_memory = std::min(
      std::max(used.m_memory, reserved.m_memory), worker.m_limit.m_memory);
  aRackTask.m_measured.m_accelerators = reserved.m_accelerators;
  if (cores && aRackTask.m_throttle == Millicores(0)) {
    aRackTask.m_throttle = reserved.m_cores;
    aContext.m_effects.emplace_back(ThrottleOnWorker{
        aRackTask.m_worker, aTask, aRackTask.m_row.m_token, reserved.m_cores});
  }
  // A task that has reserved all that the worker can give stays throttled.
  const bool canHoldMore = aRackTask.m_measured.m_cores > reserved.m_cores ||
                           aRackTask.m_measured.m_memory > reserved.m_memory;
  if (canHoldMore && aRackTask.m_evict == EvictReason::None &&
      aRackTask.m_row.m_state == TaskState::Running &&
      aContext.m_now >= aContext.m_state.m_checkpointBackoffEnd &&
      TryTakeEvictionToken(aContext.m_state, aContext.m_now)) {
    RequestEviction(aContext, aTask, EvictReason::Growth);
  }
}

/** Stops a reported task that has no capacity on the worker; if it has ended,
 * tells the worker to forget it. */
void EndUnplacedTask(const RackContext& aContext, Worker& aWorker,
                     const WorkerTaskReport& aReport) {
  if (aReport.m_state == WorkerTaskState::Running) {
    aContext.m_effects.emplace_back(
        StopOnWorker{aWorker.m_id, aReport.m_task, aReport.m_token});
    return;
  }
  const std::pair<TaskId, FencingToken> entry{aReport.m_task, aReport.m_token};
  if (std::find(aWorker.m_forget.begin(), aWorker.m_forget.end(), entry) ==
      aWorker.m_forget.end()) {
    aWorker.m_forget.push_back(entry);
  }
}

void ApplyTaskReport(const RackContext& aContext, Worker& aWorker,
                     const WorkerTaskReport& aReport) {
  RackTask* rackTask =
      FindTaskOn(aContext.m_state, aWorker.m_id, aReport.m_task);
  if (rackTask == nullptr || aReport.m_token < rackTask->m_row.m_token) {
    EndUnplacedTask(aContext, aWorker, aReport);
    return;
  }
  if (aReport.m_token > rackTask->m_row.m_token) {
    // A start that is being committed has a higher token. Without one, another
    // daemon has changed the row.
    if (!rackTask->m_change.IsValid()) rackTask->m_needsRead = true;
    AdvanceTask(aContext, aReport.m_task);
    return;
  }
  if (!IsPlaced(rackTask->m_row.m_state) &&
      rackTask->m_row.m_state != TaskState::Cancelled) {
    return;
  }
  rackTask->m_startSent = true;
  rackTask->m_missingFromReport = false;
  RecordCheckpoint(*rackTask, aReport.m_checkpoint, aContext.m_now);
  const SeenAtWorker before = rackTask->m_seen;
  SetSeen(*rackTask, SeenFrom(aReport.m_state));
  if (rackTask->m_seen == SeenAtWorker::Running) {
    if (before == SeenAtWorker::Unknown && rackTask->m_started == TimePoint()) {
      rackTask->m_started = aContext.m_now;
    }
    rackTask->m_usage = aReport.m_usage;
    if (aReport.m_usage != Resources{}) {
      LearnUsage(aContext.m_state.m_usage, rackTask->m_spec.m_kind,
                 aReport.m_usage);
      CheckGrowth(aContext, aReport.m_task, *rackTask);
    }
  } else if (before != rackTask->m_seen) {
    rackTask->m_message = aReport.m_message;
    if (rackTask->m_seen == SeenAtWorker::Failed) {
      RecordTaskFailure(aContext, aWorker, aReport.m_task);
    } else if (rackTask->m_seen == SeenAtWorker::Finished) {
      RecordTaskSuccess(aWorker);
    }
  }
  AdvanceTask(aContext, aReport.m_task);
}

/** Marks tasks that ran before the report was requested but are not in it. */
void MarkMissingTasks(const RackContext& aContext, const Worker& aWorker,
                      const std::set<TaskId>& aReported) {
  const std::set<TaskId> tasks = aWorker.m_tasks;
  for (const TaskId& task : tasks) {
    if (aReported.contains(task)) continue;
    RackTask& rackTask = aContext.m_state.m_tasks.at(task);
    if (rackTask.m_started >= aWorker.m_lastReportRequest) continue;
    rackTask.m_missingFromReport = true;
    AdvanceTask(aContext, task);
  }
}

}  // namespace

void WorkerStartEnded(RackOwnerState& aState, const WorkerId& aWorker,
                      TaskId aTask, FencingToken aToken, WorkerCallEnd aEnd,
                      TimePoint aNow, Counters& aCounters,
                      BatchEffects& aEffects) {
  UpdateReachable(aState, aWorker, aEnd);
  const auto worker = aState.m_workers.find(aWorker);
  if (worker != aState.m_workers.end()) {
    LeaseCallEnded(worker->second, aEnd, aNow);
  }
  RackTask* rackTask = EndCall(aState, aWorker, aTask, TaskCall::Start);
  if (rackTask == nullptr || rackTask->m_row.m_token != aToken) return;
  const RackContext context{aState, aNow, aCounters, aEffects};
  switch (aEnd) {
    case WorkerCallEnd::Answered:
      SetSeen(*rackTask, SeenAtWorker::Running);
      rackTask->m_started = aNow;
      rackTask->m_checkpointed = aNow;
      break;
    case WorkerCallEnd::Refused:
      SetSeen(*rackTask, SeenAtWorker::Stopped);
      break;
    case WorkerCallEnd::StaleToken:
      RetryAfterStaleToken(context, aTask, *rackTask);
      return;
    case WorkerCallEnd::NotSent:
    case WorkerCallEnd::Lost:
      rackTask->m_retryAt = aNow + kCallRetryDelay;
      break;
  }
  AdvanceTask(context, aTask);
}

void WorkerStopEnded(RackOwnerState& aState, const WorkerId& aWorker,
                     TaskId aTask, FencingToken aToken, WorkerCallEnd aEnd,
                     SeenAtWorker aAnswer, TimePoint aNow, Counters& aCounters,
                     BatchEffects& aEffects) {
  UpdateReachable(aState, aWorker, aEnd);
  RackTask* rackTask = EndCall(aState, aWorker, aTask, TaskCall::Stop);
  if (rackTask == nullptr || aToken < rackTask->m_row.m_token) return;
  const RackContext context{aState, aNow, aCounters, aEffects};
  switch (aEnd) {
    case WorkerCallEnd::Answered:
      SetSeen(*rackTask, aAnswer == SeenAtWorker::Unknown
                             ? SeenAtWorker::Stopped
                             : aAnswer);
      break;
    case WorkerCallEnd::StaleToken:
      RetryAfterStaleToken(context, aTask, *rackTask);
      return;
    case WorkerCallEnd::Refused:
    case WorkerCallEnd::NotSent:
    case WorkerCallEnd::Lost:
      rackTask->m_retryAt = aNow + kCallRetryDelay;
      break;
  }
  AdvanceTask(context, aTask);
}

void WorkerCheckpointEnded(RackOwnerState& aState, const WorkerId& aWorker,
                           TaskId aTask, FencingToken aToken,
                           WorkerCallEnd aEnd, SeenAtWorker aAnswer,
                           const ObjectName& aCheckpoint, TimePoint aNow,
                           Counters& aCounters, BatchEffects& aEffects) {
  UpdateReachable(aState, aWorker, aEnd);
  RackTask* rackTask = EndCall(aState, aWorker, aTask, TaskCall::Checkpoint);
  if (rackTask == nullptr || rackTask->m_row.m_token != aToken) return;
  const RackContext context{aState, aNow, aCounters, aEffects};
  if (aEnd == WorkerCallEnd::StaleToken) {
    RetryAfterStaleToken(context, aTask, *rackTask);
    return;
  }
  const bool ended =
      aAnswer == SeenAtWorker::Finished || aAnswer == SeenAtWorker::Failed;
  if (aEnd == WorkerCallEnd::Answered && (aCheckpoint.IsValid() || ended)) {
    RecordCheckpoint(*rackTask, aCheckpoint, aNow);
    SetSeen(*rackTask, ended ? aAnswer : SeenAtWorker::Stopped);
  } else {
    if (aEnd == WorkerCallEnd::Refused) {
      aState.m_checkpointBackoffEnd = aNow + kCheckpointBackoff;
    }
    ++rackTask->m_checkpointFailures;
    rackTask->m_retryAt = aNow + kCallRetryDelay;
  }
  AdvanceTask(context, aTask);
}

void WorkerRenewalEnded(RackOwnerState& aState, const WorkerId& aWorker,
                        WorkerCallEnd aEnd, std::span<const TaskId> aUnknown,
                        TimePoint aNow, Counters& aCounters,
                        BatchEffects& aEffects) {
  const auto found = aState.m_workers.find(aWorker);
  if (found == aState.m_workers.end()) return;
  Worker& worker = found->second;
  const TimePoint sent = worker.m_lease.m_lastSent;
  UpdateReachable(aState, aWorker, aEnd);
  LeaseCallEnded(worker, aEnd, aNow);
  worker.m_lease.m_renewalInFlight = false;
  const size_t forgotten = std::exchange(worker.m_forgetSent, 0);
  if (aEnd != WorkerCallEnd::Answered) return;
  worker.m_forget.erase(
      worker.m_forget.begin(),
      worker.m_forget.begin() + static_cast<std::ptrdiff_t>(std::min(
                                    forgotten, worker.m_forget.size())));
  const RackContext context{aState, aNow, aCounters, aEffects};
  for (const TaskId& task : aUnknown) {
    RackTask* rackTask = FindTaskOn(aState, aWorker, task);
    // The renewal did not list a task that was started after it was sent.
    if (rackTask == nullptr || rackTask->m_started >= sent) continue;
    rackTask->m_missingFromReport = true;
    AdvanceTask(context, task);
  }
}

void WorkerReported(RackOwnerState& aState, const WorkerReport& aReport,
                    TimePoint aNow, Counters& aCounters,
                    BatchEffects& aEffects) {
  const auto found = aState.m_workers.find(aReport.m_worker);
  if (found == aState.m_workers.end()) return;
  Worker& worker = found->second;
  worker.m_reportInFlight = false;
  worker.m_reachable = true;
  worker.m_reported = true;
  const auto rack = aState.m_racks.find(worker.m_rack);
  if (rack == aState.m_racks.end() ||
      rack->second.m_phase != UnitPhase::Ready) {
    return;
  }
  const RackContext context{aState, aNow, aCounters, aEffects};
  std::set<TaskId> reported;
  for (const WorkerTaskReport& task : aReport.m_tasks) {
    reported.insert(task.m_task);
    ApplyTaskReport(context, worker, task);
  }
  MarkMissingTasks(context, worker, reported);
  worker.m_slowdowns = aReport.m_slowdowns;
  if (aState.m_useInterference) ReactToSlowdown(context, worker);
}

void WorkerReportFailed(RackOwnerState& aState, const WorkerId& aWorker) {
  const auto found = aState.m_workers.find(aWorker);
  if (found == aState.m_workers.end()) return;
  found->second.m_reportInFlight = false;
  found->second.m_reachable = false;
}

}  // namespace bronze
