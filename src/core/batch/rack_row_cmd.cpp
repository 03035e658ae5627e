/**
 * @file rack_row_cmd.cpp Results of commits and reads of task rows.
 */

#include <utility>

#include "core/batch/rack_cmd.h"
#include "core/batch/rack_internal.h"
#include "core/batch/row_key_func.h"

namespace bronze {

namespace {

/** @return the counter of the reason why the task goes back to the queue. */
CounterId RequeueCounter(const RackTask& aRackTask) {
  if (aRackTask.m_seen == SeenAtWorker::Lapsed) {
    return aRackTask.m_row.m_state == TaskState::Starting
               ? CounterId::TaskRetryLeaseLapsed
               : CounterId::EvictedWorkerLost;
  }
  switch (aRackTask.m_evict) {
    case EvictReason::Urgent:
      return CounterId::EvictedUrgent;
    case EvictReason::Interference:
      return CounterId::EvictedInterference;
    case EvictReason::Growth:
      return CounterId::EvictedGrowth;
    case EvictReason::Drain:
      return CounterId::EvictedDrain;
    case EvictReason::None:
      break;
  }
  return aRackTask.m_row.m_state == TaskState::Starting
             ? CounterId::TaskRetryWorkerRefused
             : CounterId::EvictedWorkerLost;
}

TaskUpdate UpdateFor(TaskId aTask, const RackTask& aRackTask,
                     TaskEvent aEvent) {
  TaskUpdate update;
  update.m_task = aTask;
  update.m_event = aEvent;
  update.m_worker = aRackTask.m_row.m_worker;
  update.m_rack = aRackTask.m_row.m_rack;
  update.m_token = aRackTask.m_row.m_token;
  update.m_rowVersion = aRackTask.m_version;
  update.m_checkpoint = aRackTask.m_row.m_checkpoint;
  update.m_message = aRackTask.m_row.m_message;
  update.m_attempts = aRackTask.m_row.m_attempts;
  update.m_failedOn = aRackTask.m_row.m_failedOn;
  update.m_measured = aRackTask.m_row.m_measured;
  update.m_reserved = aRackTask.m_row.m_reserved;
  return update;
}

/** Reports to the team owner that the task has left its worker, and frees the
 * capacity. */
void ReportAndRelease(const RackContext& aContext, TaskId aTask,
                      RackTask& aRackTask, TaskEvent aEvent) {
  QueueUpdate(aContext.m_state, UpdateFor(aTask, aRackTask, aEvent));
  const RackId rack = aContext.m_state.m_workers.at(aRackTask.m_worker).m_rack;
  RemoveRackTask(aContext, aTask);
  PlaceOffers(aContext, rack);
}

void RowCommitted(const RackContext& aContext, TaskId aTask,
                  RackTask& aRackTask, const TaskRow& aBefore) {
  switch (aRackTask.m_row.m_state) {
    case TaskState::Starting:
    case TaskState::Evicting:
      AdvanceTask(aContext, aTask);
      return;
    case TaskState::Running:
      Count(aContext.m_counters, CounterId::TasksStarted);
      QueueUpdate(aContext.m_state,
                  UpdateFor(aTask, aRackTask, TaskEvent::Started));
      AdvanceTask(aContext, aTask);
      return;
    case TaskState::Queued: {
      RackTask before = aRackTask;
      before.m_row = aBefore;
      Count(aContext.m_counters, aRackTask.m_seen == SeenAtWorker::Failed
                                     ? CounterId::TaskRetryWorkerFailed
                                     : RequeueCounter(before));
      ReportAndRelease(aContext, aTask, aRackTask, TaskEvent::Evicted);
      return;
    }
    case TaskState::Finished:
      Count(aContext.m_counters, CounterId::TasksFinished);
      ReportAndRelease(aContext, aTask, aRackTask, TaskEvent::Finished);
      return;
    case TaskState::Failed:
      Count(aContext.m_counters, CounterId::TasksFailed);
      ReportAndRelease(aContext, aTask, aRackTask, TaskEvent::Failed);
      return;
    case TaskState::Cancelled:
      ReportAndRelease(aContext, aTask, aRackTask, TaskEvent::Stopped);
      return;
  }
}

/** Refuses the offer, as the commit of the start met another change of the
 * row. */
void StartConflicted(const RackContext& aContext, TaskId aTask,
                     RackTask& aRackTask) {
  TaskUpdate update = UpdateFor(aTask, aRackTask, TaskEvent::Refused);
  update.m_message = "the row of the task has changed since the offer";
  QueueUpdate(aContext.m_state, std::move(update));
  const RackId rack = aContext.m_state.m_workers.at(aRackTask.m_worker).m_rack;
  RemoveRackTask(aContext, aTask);
  PlaceOffers(aContext, rack);
}

/** Removes a task whose row no longer holds capacity on its worker here. */
void DropRackTask(const RackContext& aContext, TaskId aTask,
                  const RackTask& aRackTask) {
  if (aRackTask.m_startSent && (aRackTask.m_seen == SeenAtWorker::Unknown ||
                                aRackTask.m_seen == SeenAtWorker::Running)) {
    aContext.m_effects.emplace_back(
        StopOnWorker{aRackTask.m_worker, aTask, aRackTask.m_row.m_token});
  }
  RemoveRackTask(aContext, aTask);
}

bool HoldsCapacity(const TaskRow& aRow) {
  return aRow.m_worker.IsValid() &&
         (IsPlaced(aRow.m_state) || aRow.m_state == TaskState::Cancelled);
}

/** Handles a row without an entry, read after a cancellation or a rack scan. */
void AdoptUnknownRow(const RackContext& aContext, TaskId aTask,
                     const TaskRow& aRow, RowVersion aVersion) {
  RackTask rackTask;
  rackTask.m_row = aRow;
  rackTask.m_version = aVersion;
  rackTask.m_worker = aRow.m_worker;
  rackTask.m_reserved = aRow.m_reserved;
  rackTask.m_startSent = true;
  const auto spec = aContext.m_state.m_unknownRows.find(aTask);
  if (spec != aContext.m_state.m_unknownRows.end()) {
    rackTask.m_spec = spec->second;
    aContext.m_state.m_unknownRows.erase(spec);
  }
  if (HoldsCapacity(aRow)) {
    if (!aContext.m_state.m_workers.contains(aRow.m_worker)) return;
    AddRackTask(aContext.m_state, aTask, std::move(rackTask));
    AdvanceTask(aContext, aTask);
  } else if (aRow.m_state == TaskState::Cancelled) {
    QueueUpdate(aContext.m_state,
                UpdateFor(aTask, rackTask, TaskEvent::Stopped));
  }
}

}  // namespace

RackTask& AddRackTask(RackOwnerState& aState, TaskId aTask,
                      RackTask aRackTask) {
  Worker& worker = aState.m_workers.at(aRackTask.m_worker);
  worker.m_reserved += aRackTask.m_reserved;
  if (worker.m_tasks.insert(aTask).second) {
    ++worker.m_kinds[aRackTask.m_spec.m_kind];
  }
  return aState.m_tasks.insert_or_assign(aTask, std::move(aRackTask))
      .first->second;
}

void RemoveRackTask(const RackContext& aContext, TaskId aTask) {
  RackOwnerState& state = aContext.m_state;
  const auto found = state.m_tasks.find(aTask);
  const RackTask& rackTask = found->second;
  Worker& worker = state.m_workers.at(rackTask.m_worker);
  worker.m_reserved -= rackTask.m_reserved;
  worker.m_tasks.erase(aTask);
  const auto kind = worker.m_kinds.find(rackTask.m_spec.m_kind);
  if (kind != worker.m_kinds.end() && --kind->second == 0) {
    worker.m_kinds.erase(kind);
  }
  if (worker.m_health.m_probe == aTask) worker.m_health.m_probe = TaskId();
  const bool ended = rackTask.m_seen != SeenAtWorker::Unknown &&
                     rackTask.m_seen != SeenAtWorker::Running;
  if (rackTask.m_startSent && ended) {
    const FencingToken token = IsPlaced(rackTask.m_row.m_state)
                                   ? rackTask.m_row.m_token
                                   : rackTask.m_nextRow.m_token;
    worker.m_forget.emplace_back(aTask, token);
  }
  state.m_tasks.erase(found);
}

bool RackChangeDone(RackOwnerState& aState, const ChangeDone& aDone,
                    TimePoint aNow, Counters& aCounters,
                    BatchEffects& aEffects) {
  const auto change = aState.m_changes.find(aDone.m_id);
  if (change == aState.m_changes.end()) return false;
  const TaskId task = change->second;
  aState.m_changes.erase(change);
  const auto found = aState.m_tasks.find(task);
  if (found == aState.m_tasks.end() || found->second.m_change != aDone.m_id) {
    return true;
  }
  RackTask& rackTask = found->second;
  const RackContext context{aState, aNow, aCounters, aEffects};
  rackTask.m_change = ChangeId();
  if (aDone.m_outcome == ChangeOutcome::Committed) {
    const TaskRow before = std::exchange(rackTask.m_row, rackTask.m_nextRow);
    rackTask.m_version = aDone.m_version;
    RowCommitted(context, task, rackTask, before);
  } else if (rackTask.m_row.m_state == TaskState::Queued) {
    StartConflicted(context, task, rackTask);
  } else {
    RequestRow(context, task, rackTask);
  }
  return true;
}

void QueueUpdate(RackOwnerState& aState, TaskUpdate aUpdate) {
  aState.m_updates[ShardOf(aUpdate.m_task.m_job)].m_updates.push_back(
      std::move(aUpdate));
}

void RackTaskRowRead(RackOwnerState& aState, TaskId aTask,
                     const std::optional<TaskRow>& aRow, RowVersion aVersion,
                     TimePoint aNow, Counters& aCounters,
                     BatchEffects& aEffects) {
  const RackContext context{aState, aNow, aCounters, aEffects};
  const auto found = aState.m_tasks.find(aTask);
  if (found == aState.m_tasks.end()) {
    if (aRow) AdoptUnknownRow(context, aTask, *aRow, aVersion);
    return;
  }
  RackTask& rackTask = found->second;
  rackTask.m_reading = false;
  // A pending commit decides, and a row that is not newer changes nothing.
  if (rackTask.m_change.IsValid() || (aRow && aVersion <= rackTask.m_version)) {
    AdvanceTask(context, aTask);
    return;
  }
  if (!aRow || !HoldsCapacity(*aRow) || aRow->m_worker != rackTask.m_worker) {
    DropRackTask(context, aTask, rackTask);
    return;
  }
  // A different token for the same worker means that another owner has started
  // the task again.
  if (aRow->m_token != rackTask.m_row.m_token) {
    rackTask.m_seen = SeenAtWorker::Unknown;
    rackTask.m_tokenIncrement = 0;
  }
  rackTask.m_row = *aRow;
  rackTask.m_version = aVersion;
  AdvanceTask(context, aTask);
}

void RackTaskRowReadFailed(RackOwnerState& aState, TaskId aTask) {
  const auto found = aState.m_tasks.find(aTask);
  aState.m_unknownRows.erase(aTask);
  if (found == aState.m_tasks.end()) return;
  found->second.m_reading = false;
  found->second.m_needsRead = true;
}

}  // namespace bronze
