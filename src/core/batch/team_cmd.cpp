/**
 * @file team_cmd.cpp Ownership of team shards, known task rows, and the
 *                   periodic tick.
 */

#include "core/batch/team_cmd.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/batch/placement_func.h"
#include "core/batch/row_key_func.h"
#include "core/batch/team_internal.h"
#include "core/batch/usage_func.h"

namespace bronze {

namespace {

// The periodic scan makes up for lost updates; a shard has a few hundred rows.
constexpr Duration kScanInterval = seconds(60);
// Time for which the rows of an ended job are kept for queries and repeated
// submissions.
constexpr Duration kEndedJobRetention = std::chrono::hours(1);
constexpr size_t kRowsPerDelete = 200;

TeamTask* FindTask(TeamOwnerState& aState, TaskId aTask) {
  const auto job = aState.m_jobs.find(aTask.m_job);
  if (job == aState.m_jobs.end()) return nullptr;
  if (aTask.m_index >= job->second.m_tasks.size()) return nullptr;
  return &job->second.m_tasks[aTask.m_index];
}

/** @return the row that the rack owner has committed. */
TaskRow RowFrom(const TaskUpdate& aUpdate, const TaskRow& aBefore) {
  TaskRow row = aBefore;
  row.m_token = aUpdate.m_token;
  row.m_worker = aUpdate.m_worker;
  row.m_rack = aUpdate.m_rack;
  row.m_checkpoint = aUpdate.m_checkpoint;
  row.m_message = aUpdate.m_message;
  row.m_attempts = aUpdate.m_attempts;
  row.m_failedOn = aUpdate.m_failedOn;
  row.m_measured = aUpdate.m_measured;
  row.m_reserved = aUpdate.m_reserved;
  switch (aUpdate.m_event) {
    case TaskEvent::Started:
      row.m_state = TaskState::Running;
      break;
    case TaskEvent::Finished:
      row.m_state = TaskState::Finished;
      break;
    case TaskEvent::Failed:
      row.m_state = TaskState::Failed;
      break;
    case TaskEvent::Evicted:
      row.m_state = TaskState::Queued;
      break;
    case TaskEvent::Stopped:
      row.m_state = TaskState::Cancelled;
      break;
    case TaskEvent::Refused:
      break;
  }
  return row;
}

void OfferRefused(TeamOwnerState& aState, const TaskUpdate& aUpdate,
                  TeamTask& aEntry, TimePoint aNow) {
  if (!aEntry.m_offeredTo.IsValid() || aEntry.m_offeredTo != aUpdate.m_rack ||
      aEntry.m_version != aUpdate.m_rowVersion) {
    return;
  }
  SetOffer(aState, aUpdate.m_task, aEntry, RackId(), aNow);
  std::uniform_int_distribution<Duration::rep> wait(
      Duration(milliseconds(100)).count(), Duration(milliseconds(600)).count());
  const bool urgent =
      aState.m_jobs.at(aUpdate.m_task.m_job).m_row.m_spec.m_urgent;
  aEntry.m_retryAt = urgent ? aNow : aNow + Duration(wait(aState.m_random));
}

/** Deletes the rows of jobs that ended long ago, in several changes per job. */
void DeleteEnded(TeamOwnerState& aState, TimePoint aNow,
                 BatchEffects& aEffects) {
  std::vector<JobId> old;
  for (const auto& [id, job] : aState.m_jobs) {
    if (job.m_open == 0 && aNow >= job.m_ended + kEndedJobRetention) {
      old.push_back(id);
    }
  }
  for (const JobId id : old) {
    const TeamJob& job = aState.m_jobs.at(id);
    SubmitChange change;
    change.m_priority = ChangePriority::Bulk;
    change.m_unit = UnitOf(ShardOf(id));
    for (uint32_t index = 0; index < job.m_tasks.size(); ++index) {
      if (job.m_tasks[index].m_version == RowVersion()) continue;
      TaskWrite write;
      write.m_task = {id, index};
      write.m_check = job.m_tasks[index].m_version;
      change.m_tasks.push_back(std::move(write));
      if (change.m_tasks.size() < kRowsPerDelete) continue;
      change.m_id = TakeChangeId(aState);
      aEffects.emplace_back(change);
      change.m_tasks.clear();
    }
    change.m_id = TakeChangeId(aState);
    change.m_jobs.push_back({id, job.m_version, std::nullopt});
    aEffects.emplace_back(std::move(change));
    RemoveJob(aState, id);
  }
}

/** Answers API calls whose commit takes too long. */
void EndLateCalls(TeamOwnerState& aState, TimePoint aNow,
                  BatchEffects& aEffects) {
  constexpr Duration kCallTimeout = seconds(5);
  const auto end = [&](auto& aPending, JobCallKind aKind) {
    for (auto& [job, pending] : aPending) {
      std::erase_if(pending.m_calls, [&](const auto& aCall) {
        if (aNow < aCall.second + kCallTimeout) return false;
        AnswerJob answer;
        answer.m_call = aCall.first;
        answer.m_kind = aKind;
        answer.m_error = MakeError(
            ErrorKind::Timeout,
            "the table service has not answered in time; repeat the call to "
            "learn its outcome");
        aEffects.emplace_back(std::move(answer));
        return true;
      });
    }
  };
  end(aState.m_submits, JobCallKind::Submit);
  end(aState.m_cancels, JobCallKind::Cancel);
}

}  // namespace

std::string UnitOf(TeamShard aShard) {
  return fmt::format("team/{}", aShard.m_value);
}

ChangeId TakeChangeId(TeamOwnerState& aState) {
  const ChangeId id = aState.m_nextChange;
  aState.m_nextChange = ChangeId(id.Value() + 1);
  return id;
}

Resources TaskNeed(const TeamJob& aJob, const TeamTask& aTask) {
  return AtLeast(aJob.m_row.m_spec.m_resources, aTask.m_row.m_measured);
}

bool CountsAsUsed(const TeamTask& aTask) {
  return aTask.m_offeredTo.IsValid() || IsPlaced(aTask.m_row.m_state) ||
         (aTask.m_row.m_state == TaskState::Cancelled &&
          aTask.m_row.m_worker.IsValid());
}

void Enqueue(TeamOwnerState& aState, JobId aJob, TeamJob& aEntry,
             uint32_t aIndex) {
  aEntry.m_firstQueued = std::min(aEntry.m_firstQueued, aIndex);
  const TaskSpec& spec = aEntry.m_row.m_spec;
  aState.m_teams[spec.m_team].m_queue.insert(
      {!spec.m_urgent, -spec.m_priority, aEntry.m_order, aJob});
}

void SetOffer(TeamOwnerState& aState, TaskId aTask, TeamTask& aEntry,
              const RackId& aRack, TimePoint aNow) {
  TeamJob& job = aState.m_jobs.at(aTask.m_job);
  Team& team = aState.m_teams[job.m_row.m_spec.m_team];
  if (CountsAsUsed(aEntry)) team.m_used -= TaskNeed(job, aEntry);
  aEntry.m_offeredTo = aRack;
  if (aRack.IsValid()) {
    aState.m_offers[aTask] = aNow;
  } else {
    aState.m_offers.erase(aTask);
  }
  if (CountsAsUsed(aEntry)) team.m_used += TaskNeed(job, aEntry);
  if (!aRack.IsValid() && aEntry.m_row.m_state == TaskState::Queued) {
    Enqueue(aState, aTask.m_job, job, aTask.m_index);
  }
}

void AdoptTaskRow(TeamOwnerState& aState, TaskId aTask, const TaskRow& aRow,
                  RowVersion aVersion, TimePoint aNow) {
  TeamTask* entry = FindTask(aState, aTask);
  if (entry == nullptr || aVersion <= entry->m_version) return;
  SetOffer(aState, aTask, *entry, RackId(), aNow);
  TeamJob& job = aState.m_jobs.at(aTask.m_job);
  Team& team = aState.m_teams[job.m_row.m_spec.m_team];
  if (CountsAsUsed(*entry)) team.m_used -= TaskNeed(job, *entry);
  const bool wasEnded = IsEnded(entry->m_row.m_state);
  entry->m_row = aRow;
  entry->m_version = aVersion;
  entry->m_since = aNow;
  if (CountsAsUsed(*entry)) team.m_used += TaskNeed(job, *entry);
  if (!wasEnded && IsEnded(aRow.m_state)) {
    --job.m_open;
    if (job.m_open == 0) job.m_ended = aNow;
    aState.m_tasksToCancel.erase(aTask);
  }
  if (aRow.m_state == TaskState::Cancelled && aRow.m_worker.IsValid()) {
    aState.m_awaitingStop.emplace(aTask, TimePoint());
  } else {
    aState.m_awaitingStop.erase(aTask);
  }
  if (aRow.m_state == TaskState::Queued) {
    Enqueue(aState, aTask.m_job, job, aTask.m_index);
  }
  if (job.m_row.m_cancelled && !IsEnded(aRow.m_state)) {
    aState.m_tasksToCancel.insert(aTask);
  }
}

void OwnShard(TeamOwnerState& aState, TeamShard aShard, TimePoint aNow,
              BatchEffects& aEffects) {
  if (!aState.m_shards.emplace(aShard, OwnedShard{UnitPhase::Recovering, aNow})
           .second) {
    return;
  }
  aEffects.emplace_back(ScanShard{aShard});
}

void DropShard(TeamOwnerState& aState, TeamShard aShard,
               BatchEffects& aEffects) {
  aState.m_shards.erase(aShard);
  std::vector<JobId> jobs;
  for (const auto& [id, job] : aState.m_jobs) {
    if (ShardOf(id) == aShard) jobs.push_back(id);
  }
  for (const JobId job : jobs) RemoveJob(aState, job);
  const auto drop = [&](auto& aPending, JobCallKind aKind) {
    std::erase_if(aPending, [&](const auto& aItem) {
      if (ShardOf(aItem.first) != aShard) return false;
      aState.m_jobChanges.erase(aItem.second.m_change);
      for (const auto& [call, since] : aItem.second.m_calls) {
        // The change may still be in flight, so its outcome is unknown.
        AnswerJob answer;
        answer.m_call = call;
        answer.m_kind = aKind;
        answer.m_error = MakeError(
            ErrorKind::Timeout,
            "the shard of the job's team has moved to another daemon; "
            "repeat the call to learn its outcome");
        aEffects.emplace_back(std::move(answer));
      }
      return true;
    });
  };
  drop(aState.m_submits, JobCallKind::Submit);
  drop(aState.m_cancels, JobCallKind::Cancel);
}

void RecoverShard(TeamOwnerState& aState, TeamShard aShard,
                  std::span<const JobRecord> aJobs,
                  std::span<const TaskRecord> aTasks, TimePoint aNow,
                  BatchEffects& aEffects) {
  const auto shard = aState.m_shards.find(aShard);
  if (shard == aState.m_shards.end()) return;
  shard->second.m_lastScan = aNow;
  for (const JobRecord& record : aJobs) {
    const auto known = aState.m_jobs.find(record.m_job);
    if (known == aState.m_jobs.end()) {
      // After the first scan, an unknown job was either removed after the scan
      // began or added by another daemon that believed itself the owner.
      if (shard->second.m_phase == UnitPhase::Ready) {
        aEffects.emplace_back(ReadJobRow{record.m_job});
        continue;
      }
      AddJob(aState, record.m_job, record.m_row, record.m_version, aNow);
    } else if (record.m_version > known->second.m_version) {
      known->second.m_row = record.m_row;
      known->second.m_version = record.m_version;
    }
  }
  for (const TaskRecord& record : aTasks) {
    AdoptTaskRow(aState, record.m_task, record.m_row, record.m_version, aNow);
  }
  for (const JobRecord& record : aJobs) {
    if (record.m_row.m_cancelled && aState.m_jobs.contains(record.m_job)) {
      CancelTasksOf(aState, record.m_job);
    }
  }
  shard->second.m_phase = UnitPhase::Ready;
}

void UseTeamSettings(TeamOwnerState& aState, const BatchSettings& aSettings) {
  aState.m_settings = aSettings;
}

void UseWorkerSizes(TeamOwnerState& aState, std::span<const VmInfo> aVms) {
  aState.m_workerLimits.clear();
  aState.m_capacity = {};
  for (const VmInfo& vm : aVms) {
    if (vm.m_role != VmRole::Worker || vm.m_state == VmState::Gone) continue;
    const Resources limit =
        BatchLimit(vm.m_resources, aState.m_settings.m_batchSharePercent);
    aState.m_capacity += limit;
    if (std::find(aState.m_workerLimits.begin(), aState.m_workerLimits.end(),
                  limit) == aState.m_workerLimits.end()) {
      aState.m_workerLimits.push_back(limit);
    }
  }
}

void UseSummaries(TeamOwnerState& aState, std::vector<RackSummary> aRacks) {
  aState.m_racks = std::move(aRacks);
}

void UpdatesArrived(TeamOwnerState& aState, const TaskUpdates& aUpdates,
                    TimePoint aNow) {
  for (const TaskUpdate& update : aUpdates.m_updates) {
    TeamTask* entry = FindTask(aState, update.m_task);
    if (entry == nullptr) continue;
    if (update.m_event == TaskEvent::Refused) {
      OfferRefused(aState, update, *entry, aNow);
      continue;
    }
    AdoptTaskRow(aState, update.m_task, RowFrom(update, entry->m_row),
                 update.m_rowVersion, aNow);
  }
}

void TeamTaskRowRead(TeamOwnerState& aState, TaskId aTask,
                     const std::optional<TaskRow>& aRow, RowVersion aVersion,
                     TimePoint aNow) {
  TeamTask* entry = FindTask(aState, aTask);
  if (entry == nullptr) return;
  const bool asked = std::exchange(entry->m_reading, false);
  if (aRow && aVersion > entry->m_version) {
    AdoptTaskRow(aState, aTask, *aRow, aVersion, aNow);
  } else if (asked && entry->m_offeredTo.IsValid()) {
    // The offer was lost, or the rack owner has not started the task yet. If
    // both offers lead to a start, the second commit fails with a conflict.
    SetOffer(aState, aTask, *entry, RackId(), aNow);
  }
}

void TeamTaskRowReadFailed(TeamOwnerState& aState, TaskId aTask) {
  if (TeamTask* entry = FindTask(aState, aTask)) entry->m_reading = false;
}

void TickTeams(TeamOwnerState& aState, TimePoint aNow, Counters& /*aCounters*/,
               BatchEffects& aEffects) {
  // Rack owners start or refuse offers that are not urgent within kMaxOfferWait
  // in rack_offer_cmd.cpp. After kUrgentOfferTimeout an urgent task can still
  // be offered to a second rack within its target.
  constexpr Duration kOfferTimeout = seconds(8);
  constexpr Duration kUrgentOfferTimeout = seconds(4);
  for (const auto& [task, since] : aState.m_offers) {
    TeamTask& entry = *FindTask(aState, task);
    const bool urgent = aState.m_jobs.at(task.m_job).m_row.m_spec.m_urgent;
    if (entry.m_reading ||
        aNow < since + (urgent ? kUrgentOfferTimeout : kOfferTimeout)) {
      continue;
    }
    entry.m_reading = true;
    aEffects.emplace_back(ReadTaskRow{task});
  }
  for (auto& [id, shard] : aState.m_shards) {
    if (aNow < shard.m_lastScan + kScanInterval) continue;
    shard.m_lastScan = aNow;
    aEffects.emplace_back(ScanShard{id});
  }
  EndLateCalls(aState, aNow, aEffects);
  if (!aState.m_storeUp) return;
  ContinueCancellations(aState, aNow, aEffects);
  DeleteEnded(aState, aNow, aEffects);
  OfferQueued(aState, aNow, aEffects);
}

}  // namespace bronze
