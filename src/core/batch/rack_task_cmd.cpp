/**
 * @file rack_task_cmd.cpp State machine of one task on a worker of an owned
 *                         rack.
 *
 * AdvanceTask() derives the next action from the committed row and from what is
 * known of the task at its worker. A new owner, which knows only the rows and
 * the worker's reports, takes the same actions, so recovery needs no code of
 * its own.
 */

#include <algorithm>
#include <utility>

#include "core/batch/rack_cmd.h"
#include "core/batch/rack_internal.h"

namespace bronze {

namespace {

constexpr int kMaxCheckpointTries = 3;  // Then it is stopped without one.

bool MayStartOn(const Worker& aWorker, const RackTask& aRackTask) {
  return aWorker.m_state == VmState::Live && !aWorker.m_draining &&
         (!aWorker.m_health.m_quarantined || aRackTask.m_probe) &&
         aRackTask.m_evict == EvictReason::None;
}

void SendStart(const RackContext& aContext, TaskId aTask, RackTask& aRackTask,
               Worker& aWorker) {
  aRackTask.m_call = TaskCall::Start;
  aRackTask.m_callStarted = aContext.m_now;
  aRackTask.m_startSent = true;
  LeaseCallSent(aWorker, aContext.m_now);
  WorkerStart start;
  start.m_task = aTask;
  start.m_token = aRackTask.m_row.m_token;
  start.m_kind = aRackTask.m_spec.m_kind;
  start.m_resources = aRackTask.m_reserved;
  start.m_lease = aContext.m_state.m_settings.m_taskLease;
  start.m_input = aRackTask.m_spec.m_input;
  start.m_checkpoint = aRackTask.m_row.m_checkpoint;
  aContext.m_effects.emplace_back(
      StartOnWorker{aWorker.m_id, std::move(start)});
}

/** @return the token of the row, raised past those that the worker may have
 *         seen. */
FencingToken RaisedToken(const RackTask& aRackTask) {
  return FencingToken(aRackTask.m_row.m_token.Value() +
                      aRackTask.m_tokenIncrement);
}

void SendStop(const RackContext& aContext, TaskId aTask, RackTask& aRackTask) {
  aRackTask.m_call = TaskCall::Stop;
  aRackTask.m_callStarted = aContext.m_now;
  // With a higher token the worker refuses a start that arrives later.
  if (aRackTask.m_row.m_state == TaskState::Starting &&
      aRackTask.m_tokenIncrement == 0) {
    aRackTask.m_tokenIncrement = 1;
  }
  aContext.m_effects.emplace_back(
      StopOnWorker{aRackTask.m_worker, aTask, RaisedToken(aRackTask)});
}

void SendCheckpoint(const RackContext& aContext, TaskId aTask,
                    RackTask& aRackTask) {
  aRackTask.m_call = TaskCall::Checkpoint;
  aRackTask.m_callStarted = aContext.m_now;
  aContext.m_effects.emplace_back(
      CheckpointOnWorker{aRackTask.m_worker, aTask, aRackTask.m_row.m_token});
}

void CommitFailure(const RackContext& aContext, TaskId aTask,
                   RackTask& aRackTask, const Worker& aWorker) {
  TaskReport report;
  report.m_token = aRackTask.m_row.m_token;
  report.m_worker = aRackTask.m_worker;
  report.m_checkpoint = aRackTask.m_lastCheckpoint;
  report.m_message = aRackTask.m_message;
  report.m_charged = !aWorker.m_health.m_quarantined && !aRackTask.m_probe;
  report.m_suspectWorker = aWorker.m_health.m_failedJobs.size() > 1;
  TaskRow next = aRackTask.m_row;
  if (FailTask(next, report, aContext.m_state.m_settings.m_maxAttempts)) {
    CommitRow(aContext, aTask, aRackTask, std::move(next));
  }
}

/** Requeues a task that no longer runs and has no result. */
void CommitRequeue(const RackContext& aContext, TaskId aTask,
                   RackTask& aRackTask) {
  TaskRow next = aRackTask.m_row;
  bool isAllowed = false;
  switch (aRackTask.m_row.m_state) {
    case TaskState::Starting:
      isAllowed = AbandonTask(next).has_value();
      break;
    case TaskState::Running:
      isAllowed = RequeueLostTask(next, aRackTask.m_lastCheckpoint).has_value();
      break;
    case TaskState::Evicting:
      isAllowed = EndEviction(next, aRackTask.m_lastCheckpoint).has_value();
      break;
    default:
      return;
  }
  next.m_token = RaisedToken(aRackTask);
  if (aRackTask.m_measured != Resources{})
    next.m_measured = aRackTask.m_measured;
  if (isAllowed) CommitRow(aContext, aTask, aRackTask, std::move(next));
}

void AdvanceStarting(const RackContext& aContext, TaskId aTask,
                     RackTask& aRackTask, Worker& aWorker) {
  if (aRackTask.m_seen == SeenAtWorker::Running) {
    TaskRow next = aRackTask.m_row;
    if (ConfirmTask(next, aRackTask.m_row.m_token)) {
      CommitRow(aContext, aTask, aRackTask, std::move(next));
    }
    return;
  }
  const bool mayStart =
      MayStartOn(aWorker, aRackTask) && aRackTask.m_tokenIncrement == 0;
  if (!aRackTask.m_startSent && (!mayStart || !aWorker.m_reachable)) {
    aRackTask.m_seen = SeenAtWorker::Stopped;
    CommitRequeue(aContext, aTask, aRackTask);
    return;
  }
  if (!aWorker.m_reachable || aContext.m_now < aRackTask.m_retryAt) return;
  if (mayStart) {
    SendStart(aContext, aTask, aRackTask, aWorker);
  } else {
    SendStop(aContext, aTask, aRackTask);
  }
}

void AdvanceRunning(const RackContext& aContext, TaskId aTask,
                    RackTask& aRackTask, const Worker& aWorker) {
  if (aRackTask.m_evict != EvictReason::None &&
      aRackTask.m_seen == SeenAtWorker::Running) {
    TaskRow next = aRackTask.m_row;
    if (EvictTask(next)) CommitRow(aContext, aTask, aRackTask, std::move(next));
    return;
  }
  // A report without the task may be outdated; the answer to a stop is not.
  if (aRackTask.m_missingFromReport && aWorker.m_reachable &&
      aContext.m_now >= aRackTask.m_retryAt) {
    SendStop(aContext, aTask, aRackTask);
  }
}

void AdvanceStopping(const RackContext& aContext, TaskId aTask,
                     RackTask& aRackTask, const Worker& aWorker) {
  if (!aWorker.m_reachable || aContext.m_now < aRackTask.m_retryAt) return;
  const bool withCheckpoint =
      aRackTask.m_row.m_state == TaskState::Evicting &&
      aRackTask.m_checkpointFailures < kMaxCheckpointTries;
  if (withCheckpoint) {
    SendCheckpoint(aContext, aTask, aRackTask);
  } else {
    SendStop(aContext, aTask, aRackTask);
  }
}

void AdvanceCancelled(const RackContext& aContext, TaskId aTask,
                      RackTask& aRackTask, const Worker& aWorker) {
  if (aRackTask.m_seen == SeenAtWorker::Unknown ||
      aRackTask.m_seen == SeenAtWorker::Running) {
    AdvanceStopping(aContext, aTask, aRackTask, aWorker);
    return;
  }
  TaskRow next = aRackTask.m_row;
  if (ReleaseTask(next)) CommitRow(aContext, aTask, aRackTask, std::move(next));
}

}  // namespace

void AdvanceTask(const RackContext& aContext, TaskId aTask) {
  const auto found = aContext.m_state.m_tasks.find(aTask);
  if (found == aContext.m_state.m_tasks.end()) return;
  RackTask& rackTask = found->second;
  if (rackTask.m_change.IsValid() || rackTask.m_call != TaskCall::None) return;
  if (rackTask.m_reading) return;
  if (rackTask.m_needsRead) {
    RequestRow(aContext, aTask, rackTask);
    return;
  }
  Worker& worker = aContext.m_state.m_workers.at(rackTask.m_worker);
  if (rackTask.m_row.m_state == TaskState::Cancelled) {
    AdvanceCancelled(aContext, aTask, rackTask, worker);
    return;
  }
  switch (rackTask.m_seen) {
    case SeenAtWorker::Finished: {
      TaskRow next = rackTask.m_row;
      if (FinishTask(next, rackTask.m_row.m_token)) {
        CommitRow(aContext, aTask, rackTask, std::move(next));
      }
      return;
    }
    case SeenAtWorker::Failed:
      // The stop itself may have caused the failure of an evicted task, so the
      // failure is not counted.
      if (rackTask.m_row.m_state == TaskState::Evicting) {
        CommitRequeue(aContext, aTask, rackTask);
      } else {
        CommitFailure(aContext, aTask, rackTask, worker);
      }
      return;
    case SeenAtWorker::Stopped:
    case SeenAtWorker::Lapsed:
      CommitRequeue(aContext, aTask, rackTask);
      return;
    case SeenAtWorker::Unknown:
    case SeenAtWorker::Running:
      break;
  }
  if (rackTask.m_row.m_state == TaskState::Starting) {
    AdvanceStarting(aContext, aTask, rackTask, worker);
  } else if (rackTask.m_row.m_state == TaskState::Running) {
    AdvanceRunning(aContext, aTask, rackTask, worker);
  } else if (rackTask.m_row.m_state == TaskState::Evicting) {
    AdvanceStopping(aContext, aTask, rackTask, worker);
  }
}

void CommitRow(const RackContext& aContext, TaskId aTask, RackTask& aRackTask,
               TaskRow aNext) {
  RackOwnerState& state = aContext.m_state;
  const Worker& worker = state.m_workers.at(aRackTask.m_worker);
  SubmitChange change;
  change.m_id = state.m_nextChange;
  state.m_nextChange = ChangeId(state.m_nextChange.Value() + 1);
  change.m_unit = "rack/" + worker.m_rack.Value();
  TaskWrite write;
  write.m_task = aTask;
  write.m_check = aRackTask.m_version;
  write.m_row = aNext;
  write.m_spec = aRackTask.m_spec;
  if (aRackTask.m_row.m_rack != aNext.m_rack) {
    write.m_previousRack = aRackTask.m_row.m_rack;
  }
  change.m_tasks.push_back(std::move(write));
  aRackTask.m_change = change.m_id;
  aRackTask.m_nextRow = std::move(aNext);
  state.m_changes.emplace(change.m_id, aTask);
  aContext.m_effects.emplace_back(std::move(change));
}

void RequestRow(const RackContext& aContext, TaskId aTask,
                RackTask& aRackTask) {
  if (aRackTask.m_reading) return;
  aRackTask.m_reading = true;
  aRackTask.m_needsRead = false;
  aContext.m_effects.emplace_back(ReadTaskRow{aTask});
}

void RequestEviction(const RackContext& aContext, TaskId aTask,
                     EvictReason aReason) {
  RackTask& rackTask = aContext.m_state.m_tasks.at(aTask);
  if (rackTask.m_evict == EvictReason::None) rackTask.m_evict = aReason;
  AdvanceTask(aContext, aTask);
}

}  // namespace bronze
