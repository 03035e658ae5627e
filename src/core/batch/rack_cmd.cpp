/**
 * @file rack_cmd.cpp Ownership of racks, their list of workers, and the
 *                   periodic tick.
 */

#include "core/batch/rack_cmd.h"

#include <algorithm>

#include "core/batch/placement_func.h"
#include "core/batch/rack_internal.h"

namespace bronze {

namespace {

// The periodic scan detects rows that an earlier owner wrote late, and
// cancellations whose message was lost.
constexpr Duration kScanInterval = seconds(60);
constexpr Duration kSweepInterval = milliseconds(250);

bool IsReady(const RackOwnerState& aState, const RackId& aRack) {
  const auto rack = aState.m_racks.find(aRack);
  return rack != aState.m_racks.end() &&
         rack->second.m_phase == UnitPhase::Ready;
}

/** Requests the eviction of all tasks of a draining or leaving worker. */
void DrainTasks(const RackContext& aContext, const Worker& aWorker) {
  const std::set<TaskId> tasks = aWorker.m_tasks;
  for (const TaskId& task : tasks) {
    const auto found = aContext.m_state.m_tasks.find(task);
    if (found == aContext.m_state.m_tasks.end()) continue;
    if (found->second.m_evict == EvictReason::None) {
      RequestEviction(aContext, task, EvictReason::Drain);
    }
  }
}

/** Marks the worker's tasks that may have been running as lapsed. */
void MarkLeaseLapsed(const RackContext& aContext, const Worker& aWorker) {
  const std::set<TaskId> tasks = aWorker.m_tasks;
  for (const TaskId& task : tasks) {
    RackTask& rackTask = aContext.m_state.m_tasks.at(task);
    if (rackTask.m_row.m_state == TaskState::Queued) continue;
    if (rackTask.m_seen != SeenAtWorker::Unknown &&
        rackTask.m_seen != SeenAtWorker::Running) {
      continue;
    }
    rackTask.m_seen = SeenAtWorker::Lapsed;
    rackTask.m_call = TaskCall::None;
    AdvanceTask(aContext, task);
  }
}

/** Does the periodic work for a worker and its tasks. */
void SweepWorker(const RackContext& aContext, Worker& aWorker) {
  if (!IsReady(aContext.m_state, aWorker.m_rack)) return;
  CallWorker(aContext, aWorker);
  if (aWorker.m_tasks.empty()) return;
  if (IsLeaseOver(aContext.m_state, aWorker, aContext.m_now)) {
    MarkLeaseLapsed(aContext, aWorker);
  }
  if (aWorker.m_draining || aWorker.m_state == VmState::Leaving) {
    DrainTasks(aContext, aWorker);
  }
  const std::set<TaskId> tasks = aWorker.m_tasks;
  for (const TaskId& task : tasks) AdvanceTask(aContext, task);
}

/** Reads the rows again that are newer than, or missing from, the state. */
void CompareRack(RackOwnerState& aState, std::span<const RackRecord> aRecords,
                 BatchEffects& aEffects) {
  for (const RackRecord& record : aRecords) {
    const auto rackTask = aState.m_tasks.find(record.m_task);
    if (rackTask == aState.m_tasks.end()) {
      // The row may have changed since the scan, so it is read again.
      if (aState.m_unknownRows.emplace(record.m_task, record.m_spec).second) {
        aEffects.emplace_back(ReadTaskRow{record.m_task});
      }
    } else if (record.m_version > rackTask->second.m_version &&
               !rackTask->second.m_change.IsValid()) {
      rackTask->second.m_needsRead = true;
    }
  }
}

}  // namespace

void OwnRack(RackOwnerState& aState, const RackId& aRack,
             BatchEffects& aEffects) {
  if (!aState.m_racks.emplace(aRack, OwnedRack{}).second) return;
  aEffects.emplace_back(ScanRack{aRack});
}

void DropRack(RackOwnerState& aState, const RackId& aRack) {
  aState.m_racks.erase(aRack);
  std::erase_if(aState.m_workers, [&](const auto& aItem) {
    if (aItem.second.m_rack != aRack) return false;
    for (const TaskId& task : aItem.second.m_tasks) {
      aState.m_changes.erase(aState.m_tasks.at(task).m_change);
      aState.m_tasks.erase(task);
    }
    aState.m_reactions.erase(aItem.first);
    return true;
  });
}

void RecoverRack(RackOwnerState& aState, const RackId& aRack,
                 std::span<const RackRecord> aRecords, TimePoint aNow,
                 Counters& aCounters, BatchEffects& aEffects) {
  const auto rack = aState.m_racks.find(aRack);
  if (rack == aState.m_racks.end()) return;
  rack->second.m_lastScan = aNow;
  if (rack->second.m_phase == UnitPhase::Ready) {
    CompareRack(aState, aRecords, aEffects);
    return;
  }
  for (const RackRecord& record : aRecords) {
    Worker& worker = aState.m_workers[record.m_row.m_worker];
    worker.m_id = record.m_row.m_worker;
    worker.m_rack = aRack;
    RackTask rackTask;
    rackTask.m_spec = record.m_spec;
    rackTask.m_row = record.m_row;
    rackTask.m_version = record.m_version;
    rackTask.m_worker = record.m_row.m_worker;
    rackTask.m_reserved = record.m_row.m_reserved;
    rackTask.m_lastCheckpoint = record.m_row.m_checkpoint;
    rackTask.m_startSent = true;  // An earlier owner may have done so.
    AddRackTask(aState, record.m_task, std::move(rackTask));
  }
  for (auto& [id, worker] : aState.m_workers) {
    if (worker.m_rack != aRack) continue;
    // The earlier owner may have sent a renewal until now, without an answer.
    worker.m_lease.m_latestReceipt = aNow;
    worker.m_lease.m_unanswered = true;
  }
  rack->second.m_phase = UnitPhase::Ready;
  const RackContext context{aState, aNow, aCounters, aEffects};
  for (auto& [id, worker] : aState.m_workers) {
    if (worker.m_rack == aRack) CallWorker(context, worker);
  }
}

void UseWorkerList(RackOwnerState& aState, std::span<const VmInfo> aVms,
                   TimePoint aNow) {
  for (const VmInfo& vm : aVms) {
    if (vm.m_role != VmRole::Worker || !aState.m_racks.contains(vm.m_rack)) {
      continue;
    }
    const WorkerId id(vm.m_id);
    const bool known = aState.m_workers.contains(id);
    if (!known && vm.m_state == VmState::Gone) continue;
    Worker& worker = aState.m_workers[id];
    worker.m_id = id;
    worker.m_rack = vm.m_rack;
    worker.m_state = vm.m_state;
    worker.m_total = vm.m_resources;
    worker.m_limit =
        BatchLimit(vm.m_resources, aState.m_settings.m_batchSharePercent);
    if (!known) worker.m_lease.m_latestReceipt = aNow;
  }
  std::erase_if(aState.m_workers, [](const auto& aItem) {
    return aItem.second.m_state == VmState::Gone &&
           aItem.second.m_tasks.empty();
  });
}

void UseBatchSettings(RackOwnerState& aState, const BatchSettings& aSettings) {
  aState.m_settings = aSettings;
  for (auto& [id, worker] : aState.m_workers) {
    worker.m_limit = BatchLimit(worker.m_total, aSettings.m_batchSharePercent);
  }
}

Result<void> DrainWorker(RackOwnerState& aState, const WorkerId& aWorker,
                         bool aDrain) {
  const auto found = aState.m_workers.find(aWorker);
  if (found == aState.m_workers.end()) {
    return MakeError(ErrorKind::UnknownWorker,
                     "no rack that this daemon owns has a worker with this id");
  }
  found->second.m_draining = aDrain;
  return boost::outcome_v2::success();
}

void CancelArrived(RackOwnerState& aState, const TaskCancel& aCancel,
                   BatchEffects& aEffects) {
  if (!IsReady(aState, aCancel.m_rack)) return;
  const auto found = aState.m_tasks.find(aCancel.m_task);
  if (found == aState.m_tasks.end()) {
    aEffects.emplace_back(ReadTaskRow{aCancel.m_task});
    return;
  }
  RackTask& rackTask = found->second;
  if (rackTask.m_row.m_state == TaskState::Cancelled || rackTask.m_reading)
    return;
  rackTask.m_reading = true;
  aEffects.emplace_back(ReadTaskRow{aCancel.m_task});
}

void TickRacks(RackOwnerState& aState, TimePoint aNow, Counters& aCounters,
               BatchEffects& aEffects) {
  const RackContext context{aState, aNow, aCounters, aEffects};
  if (aNow >= aState.m_nextSweep) {
    aState.m_nextSweep = aNow + kSweepInterval;
    for (auto& [id, worker] : aState.m_workers) SweepWorker(context, worker);
    for (auto& [id, rack] : aState.m_racks) {
      if (!rack.m_offers.empty()) PlaceOffers(context, id);
      if (rack.m_phase != UnitPhase::Ready) continue;
      if (aNow < rack.m_lastScan + kScanInterval) continue;
      rack.m_lastScan = aNow;
      aEffects.emplace_back(ScanRack{id});
    }
  }
  for (auto& [shard, updates] : aState.m_updates) {
    aEffects.emplace_back(SendUpdates{shard, std::move(updates)});
  }
  aState.m_updates.clear();
}

std::vector<RackSummary> SummarizeRacks(const RackOwnerState& aState) {
  std::vector<RackSummary> summaries;
  for (const auto& [id, rack] : aState.m_racks) {
    if (rack.m_phase != UnitPhase::Ready) continue;
    RackSummary summary;
    summary.m_rack = id;
    for (const auto& [workerId, worker] : aState.m_workers) {
      if (worker.m_rack != id || !CanPlace(worker, {})) continue;
      const Resources free = worker.m_limit - worker.m_reserved;
      summary.m_free += free;
      if (free.m_cores > summary.m_largestFree.m_cores) {
        summary.m_largestFree = free;
      }
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

}  // namespace bronze
