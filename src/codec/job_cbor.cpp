/**
 * @file job_cbor.cpp CBOR form of the stored rows of jobs.
 *
 * A row is an array whose first element is the format version. A task is one
 * number that combines its run number and state. After it come, if present, the
 * mask of its failed runs, the index of the runner of a placed task, and the
 * checkpoint of an open task. A list at the end has the failed runs of tasks
 * that have no exact mask.
 */

#include "codec/job_cbor.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "codec/row_array.h"
#include "core/sched/failed_runs_func.h"

namespace bronze {

namespace {

using sched::JobSpec;
using sched::StepSpec;
using sched::StoredOccurrence;
using sched::StoredState;
using sched::StoredTask;
using sched::StoredTaskBlock;

/** Of the state row of a divided job. Earlier builds skip it. */
constexpr int kDividedStateVersion = 2;

/** State of a task in two bits. Resumable is an open task with a checkpoint. */
enum TaskCode : uint64_t { Open = 0, Placed = 1, Done = 2, Resumable = 3 };
constexpr uint64_t kStateMask = 3;
constexpr uint64_t kHasFailures = 4;  ///< Set if the failed runs follow.
constexpr int kRunShift = 3;

Json StepToJson(const StepSpec& aStep) {
  const int flags = (aStep.m_savesProgress ? 1 : 0) | (aStep.m_gang ? 2 : 0) |
                    (aStep.m_sameRack ? 4 : 0) | (aStep.m_speculative ? 8 : 0) |
                    (aStep.m_longRunning ? 16 : 0) |
                    (aStep.m_bestEffort ? 32 : 0);
  return Json::array(
      {aStep.m_count, aStep.m_need.m_cores.Value(),
       aStep.m_need.m_memory.Value(), aStep.m_need.m_accelerators.Value(),
       aStep.m_estimate.count(), aStep.m_after, flags, aStep.m_requiredLabel,
       aStep.m_affinityRack, aStep.m_image, aStep.m_antiAffinity,
       aStep.m_mayMiss, aStep.m_tailTarget.count()});
}

StepSpec StepFromJson(const Json& aJson) {
  StepSpec step;
  step.m_count = aJson.at(0).get<uint32_t>();
  step.m_need = {Millicores(aJson.at(1).get<int64_t>()),
                 Mebibytes(aJson.at(2).get<int64_t>()),
                 Accelerators(aJson.at(3).get<int64_t>())};
  step.m_estimate = Duration(aJson.at(4).get<int64_t>());
  step.m_after = aJson.at(5).get<std::vector<uint32_t>>();
  const int flags = aJson.at(6).get<int>();
  step.m_savesProgress = (flags & 1) != 0;
  step.m_gang = (flags & 2) != 0;
  step.m_sameRack = (flags & 4) != 0;
  step.m_speculative = (flags & 8) != 0;
  step.m_longRunning = (flags & 16) != 0;
  step.m_bestEffort = (flags & 32) != 0;
  step.m_requiredLabel = aJson.at(7).get<std::string>();
  step.m_affinityRack = aJson.at(8).get<std::string>();
  step.m_image = aJson.at(9).get<std::string>();
  step.m_antiAffinity = aJson.at(10).get<uint32_t>();
  step.m_mayMiss = aJson.at(11).get<uint32_t>();
  step.m_tailTarget = Duration(aJson.at(12).get<int64_t>());
  return step;
}

Json AdviceToJson(const std::optional<sched::AdvicePolicy>& aAdvice) {
  if (!aAdvice) return Json::array();
  return Json::array({aAdvice->m_decision.count(), aAdvice->m_perRunner.count(),
                      aAdvice->m_valid.count()});
}

std::optional<sched::AdvicePolicy> AdviceFromJson(const Json& aJson) {
  if (aJson.empty()) return {};
  return sched::AdvicePolicy{Duration(aJson.at(0).get<int64_t>()),
                             Duration(aJson.at(1).get<int64_t>()),
                             Duration(aJson.at(2).get<int64_t>())};
}

JobSpec JobSpecFromJson(const Json& aJson) {
  JobSpec spec;
  spec.m_id = JobId(aJson.at(1).get<uint64_t>());
  spec.m_queue = sched::QueueId(aJson.at(2).get<std::string>());
  spec.m_policy.m_service = sched::ServiceId(aJson.at(3).get<std::string>());
  spec.m_policy.m_priority = aJson.at(4).get<int>();
  spec.m_policy.m_maxAttempts = aJson.at(5).get<uint32_t>();
  spec.m_policy.m_stretch = aJson.at(6).get<double>();
  spec.m_policy.m_targetLatency = Duration(aJson.at(7).get<int64_t>());
  spec.m_payload = aJson.at(8).get<std::string>();
  spec.m_maxRuns = aJson.at(9).get<uint32_t>();
  spec.m_startTime = sched::UnixMillis(aJson.at(10).get<int64_t>());
  spec.m_intervalMs = aJson.at(11).get<int64_t>();
  spec.m_acceptedAt = sched::UnixMillis(aJson.at(12).get<int64_t>());
  for (const Json& step : aJson.at(13))
    spec.m_steps.push_back(StepFromJson(step));
  spec.m_policy.m_configVersion = ConfigVersion(aJson.at(14).get<uint64_t>());
  spec.m_policy.m_advice = AdviceFromJson(aJson.at(15));
  return spec;
}

TaskCode CodeOf(const StoredTask& aTask) {
  switch (aTask.m_state) {
    case StoredTask::State::Placed:
      return TaskCode::Placed;
    case StoredTask::State::Done:
      return TaskCode::Done;
    case StoredTask::State::Open:
      break;
  }
  return aTask.m_checkpoint.empty() ? TaskCode::Open : TaskCode::Resumable;
}

struct TaskLists {
  Json m_runners = Json::array();  ///< Of placed tasks.
  Json m_tasks = Json::array();
};

TaskLists TasksToJson(const std::vector<StoredTask>& aTasks) {
  std::map<RunnerId, size_t> indexes;
  TaskLists lists;
  Json& runners = lists.m_runners;
  Json& tasks = lists.m_tasks;
  for (const StoredTask& task : aTasks) {
    const TaskCode code = CodeOf(task);
    const uint64_t flag = task.m_failedRuns.m_count > 0 ? kHasFailures : 0;
    tasks.push_back(task.m_run.Value() << kRunShift | flag | code);
    if (flag != 0) tasks.push_back(sched::MaskOfFailedRuns(task.m_failedRuns));
    if (code == TaskCode::Placed) {
      const auto [at, isNew] = indexes.emplace(task.m_runner, indexes.size());
      if (isNew) runners.push_back(task.m_runner.Value());
      tasks.push_back(at->second);
    }
    if (code == TaskCode::Resumable) tasks.push_back(task.m_checkpoint);
  }
  return lists;
}

std::vector<StoredTask> TasksFromJson(const Json& aRunners,
                                      const Json& aTasks) {
  std::vector<StoredTask> tasks;
  for (size_t at = 0; at < aTasks.size(); ++at) {
    const auto number = aTasks.at(at).get<uint64_t>();
    StoredTask task;
    task.m_run = sched::RunNumber(number >> kRunShift);
    if ((number & kHasFailures) != 0) {
      task.m_failedRuns =
          sched::FailedRunsOfMask(aTasks.at(++at).get<uint64_t>());
    }
    switch (number & kStateMask) {
      case TaskCode::Placed:
        task.m_state = StoredTask::State::Placed;
        task.m_runner = RunnerId(
            aRunners.at(aTasks.at(++at).get<size_t>()).get<std::string>());
        break;
      case TaskCode::Done:
        task.m_state = StoredTask::State::Done;
        break;
      case TaskCode::Resumable:
        task.m_checkpoint = aTasks.at(++at).get<std::string>();
        break;
      default:
        break;
    }
    tasks.push_back(std::move(task));
  }
  return tasks;
}

/** Adds an entry for each task whose failed runs do not fit into a mask: its
 *  occurrence and index, their number, and their ranges. */
void AddUnmaskedFailures(Json& aList, uint32_t aOccurrence,
                         const std::vector<StoredTask>& aTasks) {
  for (size_t at = 0; at < aTasks.size(); ++at) {
    const sched::FailedRuns& runs = aTasks[at].m_failedRuns;
    if (sched::IsMaskExact(runs)) continue;
    Json entry = Json::array({aOccurrence, at, runs.m_count});
    for (const sched::RunRange& range : runs.m_ranges) {
      entry.push_back(range.m_first.Value());
      entry.push_back(range.m_last.Value());
    }
    aList.push_back(std::move(entry));
  }
}

/** Replaces the failed runs that were read from a mask. */
void ReadUnmaskedFailures(const Json& aEntry, std::vector<StoredTask>& aTasks) {
  constexpr size_t kFirstRange = 3;
  const auto at = aEntry.at(1).get<size_t>();
  if (at >= aTasks.size()) return;
  sched::FailedRuns& runs = aTasks[at].m_failedRuns;
  runs = {aEntry.at(2).get<uint32_t>(), {}};
  for (size_t range = kFirstRange; range + 1 < aEntry.size(); range += 2) {
    runs.m_ranges.push_back(
        {sched::RunNumber(aEntry.at(range).get<uint64_t>()),
         sched::RunNumber(aEntry.at(range + 1).get<uint64_t>())});
  }
}

Json OccurrenceToJson(const StoredOccurrence& aOccurrence) {
  TaskLists lists = TasksToJson(aOccurrence.m_tasks);
  return Json::array({aOccurrence.m_number, std::move(lists.m_runners),
                      std::move(lists.m_tasks)});
}

StoredOccurrence OccurrenceFromJson(const Json& aJson) {
  return {aJson.at(0).get<uint32_t>(), TasksFromJson(aJson.at(1), aJson.at(2))};
}

/** @return the cell that the job moves to, in a list, as it may have none. */
Json MoveTarget(const StoredState& aState) {
  Json target = Json::array();
  if (aState.m_movingTo) target.push_back(aState.m_movingTo->Value());
  return target;
}

/** A state row of version 2: the numbers of the occurrences only. */
std::string EncodeDividedState(const StoredState& aState) {
  Json occurrences = Json::array();
  for (const StoredOccurrence& occurrence : aState.m_occurrences) {
    occurrences.push_back(occurrence.m_number);
  }
  return ToBytes(Json::array({kDividedStateVersion, aState.m_job.Value(),
                              static_cast<int>(aState.m_phase),
                              aState.m_nextOccurrence, aState.m_anyStarted,
                              std::move(occurrences), MoveTarget(aState),
                              aState.m_moveCount, aState.m_tasksPerBlock}));
}

}  // namespace

std::string EncodeJobSpec(const JobSpec& aSpec) {
  Json steps = Json::array();
  for (const StepSpec& step : aSpec.m_steps) steps.push_back(StepToJson(step));
  return ToBytes(
      Json::array({kFormatVersion, aSpec.m_id.Value(), aSpec.m_queue.Value(),
                   aSpec.m_policy.m_service.Value(), aSpec.m_policy.m_priority,
                   aSpec.m_policy.m_maxAttempts, aSpec.m_policy.m_stretch,
                   aSpec.m_policy.m_targetLatency.count(), aSpec.m_payload,
                   aSpec.m_maxRuns, aSpec.m_startTime.Value(),
                   aSpec.m_intervalMs, aSpec.m_acceptedAt.Value(), steps,
                   aSpec.m_policy.m_configVersion.Value(),
                   AdviceToJson(aSpec.m_policy.m_advice)}));
}

Result<JobSpec> DecodeJobSpec(std::string_view aBytes) {
  return Decode<JobSpec>(aBytes, "job spec", JobSpecFromJson);
}

std::string EncodeJobState(const StoredState& aState) {
  if (aState.m_tasksPerBlock > 0) return EncodeDividedState(aState);
  Json occurrences = Json::array();
  for (const StoredOccurrence& occurrence : aState.m_occurrences) {
    occurrences.push_back(OccurrenceToJson(occurrence));
  }
  Json row = Json::array(
      {kFormatVersion, aState.m_job.Value(), static_cast<int>(aState.m_phase),
       aState.m_nextOccurrence, aState.m_anyStarted, occurrences});
  Json failures = Json::array();
  for (const StoredOccurrence& occurrence : aState.m_occurrences) {
    AddUnmaskedFailures(failures, occurrence.m_number, occurrence.m_tasks);
  }
  // Other jobs keep the format of earlier builds, which read no further than
  // the move and find the masks that they would have written.
  if (aState.m_moveCount > 0 || !failures.empty()) {
    row.push_back(MoveTarget(aState));
    row.push_back(aState.m_moveCount);
  }
  if (!failures.empty()) row.push_back(std::move(failures));
  return ToBytes(row);
}

Result<StoredState> DecodeJobState(std::string_view aBytes) {
  return Decode<StoredState>(
      aBytes, "job state",
      [](const Json& aJson) -> Result<StoredState> {
        StoredState state;
        state.m_job = JobId(aJson.at(1).get<uint64_t>());
        const int phase = aJson.at(2).get<int>();
        if (phase < 0 || phase > static_cast<int>(sched::JobPhase::Cancelled)) {
          return MakeError(ErrorKind::PeerMalformed, "unknown phase of a job");
        }
        state.m_phase = static_cast<sched::JobPhase>(phase);
        state.m_nextOccurrence = aJson.at(3).get<uint32_t>();
        state.m_anyStarted = aJson.at(4).get<bool>();
        const bool isDivided = aJson.at(0).get<int>() == kDividedStateVersion;
        for (const Json& occurrence : aJson.at(5)) {
          state.m_occurrences.push_back(
              isDivided ? StoredOccurrence{occurrence.get<uint32_t>(), {}}
                        : OccurrenceFromJson(occurrence));
        }
        // Rows of most jobs that never moved end here.
        constexpr size_t kMovingTo = 6;
        constexpr size_t kFailures = 8;
        if (aJson.size() <= kMovingTo) return state;
        if (!aJson.at(kMovingTo).empty()) {
          state.m_movingTo = CellId(aJson.at(kMovingTo).at(0).get<uint32_t>());
        }
        state.m_moveCount = aJson.at(kMovingTo + 1).get<uint32_t>();
        if (!isDivided) {
          if (aJson.size() <= kFailures) return state;
          for (const Json& entry : aJson.at(kFailures)) {
            const auto number = entry.at(0).get<uint32_t>();
            for (StoredOccurrence& occurrence : state.m_occurrences) {
              if (occurrence.m_number != number) continue;
              ReadUnmaskedFailures(entry, occurrence.m_tasks);
            }
          }
          return state;
        }
        state.m_tasksPerBlock = aJson.at(kMovingTo + 2).get<uint32_t>();
        if (state.m_tasksPerBlock == 0) {
          return MakeError(ErrorKind::PeerMalformed, "blocks without tasks");
        }
        return state;
      },
      kDividedStateVersion);
}

std::string EncodeTaskBlock(const StoredTaskBlock& aBlock) {
  TaskLists lists = TasksToJson(aBlock.m_tasks);
  Json failures = Json::array();
  AddUnmaskedFailures(failures, aBlock.m_key.m_occurrence, aBlock.m_tasks);
  return ToBytes(Json::array(
      {kFormatVersion, aBlock.m_key.m_job.Value(), aBlock.m_key.m_occurrence,
       aBlock.m_key.m_firstTask, std::move(lists.m_runners),
       std::move(lists.m_tasks), std::move(failures)}));
}

Result<StoredTaskBlock> DecodeTaskBlock(std::string_view aBytes) {
  return Decode<StoredTaskBlock>(
      aBytes, "block of tasks", [](const Json& aJson) {
        StoredTaskBlock block{
            {JobId(aJson.at(1).get<uint64_t>()), aJson.at(2).get<uint32_t>(),
             aJson.at(3).get<uint32_t>()},
            TasksFromJson(aJson.at(4), aJson.at(5))};
        for (const Json& entry : aJson.at(6)) {
          ReadUnmaskedFailures(entry, block.m_tasks);
        }
        return block;
      });
}

std::string EncodeInterference(const sched::StoredInterference& aInterference) {
  Json floors = Json::array();
  for (const auto& floor : aInterference.m_lowestTails) {
    floors.push_back(Json::array({floor.m_image, floor.m_tailMs}));
  }
  Json pairs = Json::array();
  for (const auto& pair : aInterference.m_pairs) {
    pairs.push_back(
        Json::array({pair.m_bestEffortImage, pair.m_latencyCriticalImage,
                     pair.m_sums.m_cross, pair.m_sums.m_square}));
  }
  return ToBytes(
      Json::array({kFormatVersion, std::move(floors), std::move(pairs)}));
}

Result<sched::StoredInterference> DecodeInterference(std::string_view aBytes) {
  return Decode<sched::StoredInterference>(
      aBytes, "interference row", [](const Json& aJson) {
        sched::StoredInterference interference;
        for (const Json& floor : aJson.at(1)) {
          interference.m_lowestTails.push_back(
              {floor.at(0).get<std::string>(), floor.at(1).get<double>()});
        }
        for (const Json& pair : aJson.at(2)) {
          interference.m_pairs.push_back(
              {pair.at(0).get<std::string>(),
               pair.at(1).get<std::string>(),
               {pair.at(2).get<double>(), pair.at(3).get<double>()}});
        }
        return interference;
      });
}

}  // namespace bronze
