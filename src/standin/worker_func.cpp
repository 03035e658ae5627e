/**
 * @file worker_func.cpp Commands to a simulated worker.
 */

#include "standin/worker_func.h"

#include "standin/fault_func.h"
#include "standin/invariant_func.h"
#include "standin/worker_internal.h"

namespace bronze {

namespace {

Error StaleToken() {
  return MakeError(
      ErrorKind::StaleToken,
      "the fencing token is stale: the worker has seen a later command for "
      "this task");
}

/** @return false if the token is lower than the highest one seen. */
bool AcceptToken(StandinState& aState, WorkerState& aWorker,
                 const TaskRef& aTask) {
  FencingToken& highest = aWorker.m_highestTokens[aTask.m_task];
  if (aTask.m_token < highest) {
    ++aState.m_invariants.m_staleTokens;
    return false;
  }
  highest = aTask.m_token;
  return true;
}

/** Stops the task's run if it has a lower token. @return the run; null if there
 * is none. */
WorkerRun* FindRun(StandinState& aState, WorkerState& aWorker,
                   const TaskRef& aTask, TimePoint aNow) {
  const auto found = aWorker.m_runs.find(aTask.m_task);
  if (found == aWorker.m_runs.end()) return nullptr;
  if (found->second.m_token < aTask.m_token) {
    EndRun(aState, aWorker, aTask.m_task, WorkerTaskState::Stopped, aNow);
  }
  return &found->second;
}

}  // namespace

std::optional<Error> StartTask(StandinState& aState, WorkerState& aWorker,
                               const WorkerStart& aStart, TimePoint aNow) {
  AdvanceWorker(aState, aWorker, aNow);
  const TaskRef task{aStart.m_task, aStart.m_token};
  if (!AcceptToken(aState, aWorker, task)) return StaleToken();
  const auto closed = aWorker.m_stoppedTokens.find(task.m_task);
  // A start that arrives after the stop of the same token must not run, since
  // the stop was confirmed.
  if (closed != aWorker.m_stoppedTokens.end() &&
      closed->second >= task.m_token) {
    ++aState.m_invariants.m_staleTokens;
    return StaleToken();
  }
  const WorkerRun* const known = FindRun(aState, aWorker, task, aNow);
  if (known != nullptr && known->m_token == task.m_token) return std::nullopt;
  if (!Fits(aStart.m_resources, aWorker.m_total - ReservedResources(aWorker))) {
    NoteOverCapacity(aState.m_invariants, task.m_task, aWorker.m_id);
    return MakeError(ErrorKind::NoCapacity,
                     "the task needs more resources than the worker has free");
  }
  // Ends runs on other workers whose leases have lapsed, so that a timer that
  // is still to fire does not make this start look like a second concurrent
  // run.
  const auto places = aState.m_invariants.m_tasks[task.m_task].m_runningOn;
  for (const WorkerId& place : places) {
    AdvanceWorker(aState, aState.m_workers[place], aNow);
  }
  NoteWorkOnVm(aState.m_invariants, aWorker.m_id.Value(),
               ListedLeavingSince(aState, aWorker.m_id.Value()), aNow);
  NoteTaskStart(aState.m_invariants, task.m_task, aWorker.m_id, task.m_token,
                aStart.m_checkpoint.IsValid());
  aWorker.m_runs[task.m_task] = MakeRun(aState, aWorker, aStart, aNow);
  return std::nullopt;
}

Result<std::optional<WorkerTaskState>> StopTask(StandinState& aState,
                                                WorkerState& aWorker,
                                                const TaskRef& aTask,
                                                TimePoint aNow) {
  AdvanceWorker(aState, aWorker, aNow);
  if (!AcceptToken(aState, aWorker, aTask)) return StaleToken();
  aWorker.m_stoppedTokens[aTask.m_task] = aTask.m_token;
  const WorkerRun* const run = FindRun(aState, aWorker, aTask, aNow);
  if (run == nullptr) return std::optional<WorkerTaskState>();
  if (run->m_state == WorkerTaskState::Running) {
    EndRun(aState, aWorker, aTask.m_task, WorkerTaskState::Stopped, aNow);
  }
  return std::optional(run->m_state);
}

Result<WorkerRun> CheckpointTask(StandinState& aState, WorkerState& aWorker,
                                 const TaskRef& aTask, TimePoint aNow) {
  AdvanceWorker(aState, aWorker, aNow);
  if (!AcceptToken(aState, aWorker, aTask)) return StaleToken();
  WorkerRun* const run = FindRun(aState, aWorker, aTask, aNow);
  if (run == nullptr) {
    return MakeError(ErrorKind::UnknownJob, "the task is unknown");
  }
  if (run->m_state != WorkerTaskState::Running) return *run;
  if (!WriteCheckpoint(aState, aWorker, aTask.m_task, *run, aNow)) {
    return MakeError(
        ErrorKind::StoreUnavailable,
        "no checkpoint written: the object store is unavailable; the "
        "task keeps running");
  }
  aWorker.m_stoppedTokens[aTask.m_task] = aTask.m_token;
  EndRun(aState, aWorker, aTask.m_task, WorkerTaskState::Checkpointed, aNow);
  return *run;
}

std::optional<Error> ThrottleTask(StandinState& aState, WorkerState& aWorker,
                                  const TaskRef& aTask, Millicores aCores,
                                  TimePoint aNow) {
  AdvanceWorker(aState, aWorker, aNow);
  if (!AcceptToken(aState, aWorker, aTask)) return StaleToken();
  WorkerRun* const run = FindRun(aState, aWorker, aTask, aNow);
  if (run == nullptr) {
    return MakeError(ErrorKind::UnknownJob, "the task is unknown");
  }
  if (run->m_state != WorkerTaskState::Running) return std::nullopt;
  UpdateWorkDone(*run, aNow);
  // With a limit of 0 the task would never end.
  run->m_coreLimit = std::max(aCores, Millicores(1));
  return std::nullopt;
}

std::vector<TaskId> RenewLeases(StandinState& aState, WorkerState& aWorker,
                                const std::vector<TaskRef>& aTasks,
                                Duration aLease, TimePoint aNow) {
  AdvanceWorker(aState, aWorker, aNow);
  const bool ignored = IsFaulty(aState.m_faults, FaultKind::WorkerLeaseLapsed,
                                aWorker.m_id.Value());
  std::vector<TaskId> unknown;
  for (const TaskRef& task : aTasks) {
    const auto found = aWorker.m_runs.find(task.m_task);
    if (found == aWorker.m_runs.end() ||
        found->second.m_token != task.m_token) {
      unknown.push_back(task.m_task);
    } else if (!ignored) {
      found->second.m_leaseEnd = aNow + aLease;
    }
  }
  return unknown;
}

void ForgetTasks(WorkerState& aWorker, const std::vector<TaskRef>& aTasks) {
  for (const TaskRef& task : aTasks) {
    const auto found = aWorker.m_runs.find(task.m_task);
    if (found == aWorker.m_runs.end() ||
        found->second.m_token != task.m_token ||
        found->second.m_state == WorkerTaskState::Running) {
      continue;
    }
    aWorker.m_runs.erase(found);
  }
}

}  // namespace bronze
