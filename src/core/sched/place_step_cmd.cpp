/**
 * @file place_step_cmd.cpp Chooses runners for the waiting tasks of one step.
 */

#include "core/sched/place_step_cmd.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/advice_cmd.h"
#include "core/sched/failed_search_cmd.h"
#include "core/sched/job_cmd.h"
#include "core/sched/order_window_func.h"
#include "core/sched/placement_cmd.h"
#include "core/sched/preemption_cmd.h"
#include "core/sched/restart_cmd.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

StepKey StepOf(const QueueKey& aKey) {
  return {aKey.m_job, aKey.m_occurrence, aKey.m_step};
}

/** @return the rack of a placed task of the step; empty: none is placed. */
std::string RackOfStep(const Cell& aCell, const Job& aJob,
                       const QueueKey& aKey) {
  const Occurrence& occurrence = aJob.m_occurrences.at(aKey.m_occurrence);
  const uint32_t first = aJob.m_stepOffset[aKey.m_step];
  for (uint32_t i = 0; i < aJob.m_spec.m_steps[aKey.m_step].m_count; ++i) {
    const Task& task = occurrence.m_tasks[first + i];
    if (HasPlace(task.m_phase)) {
      return aCell.m_runners[task.m_runner.Value()].m_rack;
    }
  }
  return {};
}

/** Logs why a task waits; one line a second, for the first such task in the
 *  queue. */
void LogWait(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             const PlacementQuery& aQuery, TimePoint aNow) {
  constexpr Duration kMinLoggedWait = seconds(1);
  constexpr Duration kLogInterval = seconds(1);
  const Duration waited = aNow - aPlace.m_task->m_phaseSince;
  if (waited < kMinLoggedWait) return;
  if (aNow - aCell.m_waitLoggedAt < kLogInterval) return;
  aCell.m_waitLoggedAt = aNow;
  // The search that failed may have examined a few runners only.
  const RoomSummary room = SummarizeRoom(aCell, aQuery, aNow);
  const PlacementTally& tally = room.m_tally;
  LogDecision(
      aCell,
      fmt::format(
          "waits for a runner task={} for_ms={} run={} priority={} cores={} "
          "memory={} label={} runners={} unusable={} probed={} full={} busy={} "
          "harmed={} unfit={} excluded={} accepting={} few_cores={} "
          "little_memory={} "
          "free_cores={} free_memory={} most_cores={} most_memory={} "
          "best_effort_memory={} long_running_cores={}",
          TaskText(aKey), waited.count() / 1000, aPlace.m_task->m_run.Value(),
          aPlace.m_job->m_spec.m_policy.m_priority,
          aPlace.m_step->m_need.m_cores.Value(),
          aPlace.m_step->m_need.m_memory.Value(),
          aPlace.m_step->m_requiredLabel, aCell.m_runners.size(),
          tally.m_unusable, tally.m_probed, tally.m_full, tally.m_busy,
          tally.m_overTarget, tally.m_unfit, tally.m_excluded, room.m_accepting,
          room.m_fewCores, room.m_littleMemory, room.m_free.m_cores.Value(),
          room.m_free.m_memory.Value(), room.m_mostFree.m_cores.Value(),
          room.m_mostFree.m_memory.Value(), room.m_bestEffortMemory.Value(),
          room.m_longRunningCores.Value()));
}

/** Whether the task should wait for a runner on the rack of its data instead
 *  of taking one elsewhere, where it runs several times as long. */
bool WaitsForRack(const Cell& aCell, const PlacementQuery& aQuery,
                  const TaskPlace& aPlace, RunnerIndex aElsewhere,
                  TimePoint aNow) {
  // Half of the extra run time elsewhere: on average the wait then pays off.
  constexpr double kWaitShare = 0.5;
  // A task that could be placed must not wait for more than 3 s.
  constexpr Duration kMaxWait = milliseconds(1500);
  const StepSpec& step = *aPlace.m_step;
  if (aQuery.m_rack.empty() || step.m_longRunning) return false;
  if (aCell.m_runners[aElsewhere.Value()].m_rack == aQuery.m_rack) return false;
  const double lost = static_cast<double>(step.m_estimate.count()) *
                      (aCell.m_settings.m_spreadFactor - 1.0);
  const Duration patience =
      std::min(kMaxWait, Duration(static_cast<int64_t>(lost * kWaitShare)));
  if (aNow - aPlace.m_task->m_phaseSince >= patience) return false;
  return std::any_of(aCell.m_runners.begin(), aCell.m_runners.end(),
                     [&](const Runner& aRunner) {
                       return aRunner.m_rack == aQuery.m_rack &&
                              IsUsable(aRunner, aQuery.m_service, aNow) &&
                              Fits(step.m_need, aRunner.m_entry.m_capacity);
                     });
}

/** Whether one more long-running task leaves the reserve for short tasks free.
 *  The reserve only delays jobs that have not begun: a long-running task that
 *  lost its run gets a new one wherever there is room. */
bool LeavesShortReserve(const Cell& aCell, const StepSpec& aStep,
                        const PlacementQuery& aQuery, Pass& aPass,
                        TimePoint aNow) {
  if (aPass.m_reserveService != aQuery.m_service) {
    aPass.m_reserveService = aQuery.m_service;
    aPass.m_capacity = 0.0;
    aPass.m_longRunning = 0.0;
    for (const Runner& runner : aCell.m_runners) {
      if (!IsUsable(runner, aQuery.m_service, aNow)) continue;
      aPass.m_capacity +=
          static_cast<double>(runner.m_entry.m_capacity.m_cores.Value());
      aPass.m_longRunning +=
          static_cast<double>(runner.m_longRunningCores.Value());
    }
  }
  const CellSettings& settings = aCell.m_settings;
  const double reserve = std::clamp(
      aCell.m_shortPeak, aPass.m_capacity * settings.m_minShortReserve,
      aPass.m_capacity * settings.m_maxShortReserve);
  return aPass.m_longRunning +
             static_cast<double>(aStep.m_need.m_cores.Value()) + reserve <=
         aPass.m_capacity;
}

void AskAdviceIfNeeded(Cell& aCell, const QueueKey& aKey,
                       const PlacementQuery& aQuery, TimePoint aNow) {
  const auto& policy = aCell.m_jobs.at(aKey.m_job).m_spec.m_policy;
  if (!policy.m_advice) return;
  AskAdvice(aCell, StepOf(aKey), *policy.m_advice, aQuery, aNow);
}

/** Number of searches that one for a best-effort task counts as, since it also
 *  predicts the effect on each latency-critical task. */
constexpr uint32_t kBestEffortSearchCost = 2;
/** The same for a step with advice, as the runners to ask about are searched
 *  next. */
constexpr uint32_t kAdviceSearchCost = 2;
/** The same for a search for a task to stop. */
constexpr uint32_t kPreemptSearchCost = 8;

void CountSearch(const Cell& aCell, const PlacementQuery& aQuery,
                 PassWork& aWork) {
  if (aQuery.m_changesFrom) {
    aWork.m_steps += aCell.m_roomChanges.size() - *aQuery.m_changesFrom;
  } else if (aQuery.m_step->m_bestEffort) {
    aWork.m_searches += kBestEffortSearchCost;
  } else {
    aWork.m_searches += aQuery.m_isApproved ? kAdviceSearchCost : 1;
  }
}

void Preempt(Cell& aCell, const QueueKey& aKey, const PlacementQuery& aQuery,
             PassWork& aWork, TimePoint aNow) {
  aWork.m_searches +=
      kPreemptSearchCost * PreemptForStep(aCell, aKey, aQuery, aNow);
}

/** Records for the pass that a task of the step found no room, and stops less
 *  urgent tasks for it. */
void NoteUnplaced(Cell& aCell, const QueueKey& aKey,
                  const PlacementQuery& aQuery,
                  const std::optional<KnownFailure>& aKnown, PassWork& aWork,
                  TimePoint aNow) {
  CountSearch(aCell, aQuery, aWork);
  NoteFailedSearch(aCell, StepOf(aKey), aQuery, aKnown);
  const bool someFull = aQuery.m_changesFrom || aQuery.m_tally->m_full > 0;
  if (someFull && MayPreempt(aCell, aKey)) {
    Preempt(aCell, aKey, aQuery, aWork, aNow);
  }
  AskAdviceIfNeeded(aCell, aKey, aQuery, aNow);
}

/** Whether the runners have room for the whole gang. If not, that is recorded.
 */
bool HasRoomForGang(Cell& aCell, const QueueKey& aKey, PlacementQuery aQuery,
                    const std::optional<KnownFailure>& aKnown, PassWork& aWork,
                    TimePoint aNow) {
  const StepSpec& step = *aQuery.m_step;
  PlacementTally tally;
  aQuery.m_tally = &tally;
  uint32_t places = 0;
  if (aQuery.m_changesFrom && ChooseRunner(aCell, aQuery, aNow).IsValid()) {
    aQuery.m_changesFrom.reset();
  }
  if (!aQuery.m_changesFrom) {
    places = CountPlaces(aCell, aQuery, step.m_count, aNow);
    if (places == step.m_count) return true;
  }
  CountSearch(aCell, aQuery, aWork);
  if (places == 0) {
    NoteFailedSearch(aCell, StepOf(aKey), aQuery, aKnown);
  } else {
    NoteFailedStep(aCell, StepOf(aKey));
  }
  AskAdviceIfNeeded(aCell, aKey, aQuery, aNow);
  return false;
}

/** Places a gang completely or not at all; its members share one run number. */
StepResult PlaceGang(Cell& aCell, const QueueKey& aKey, PlacementQuery aQuery,
                     const std::optional<KnownFailure>& aKnown, PassWork& aWork,
                     TimePoint aNow) {
  const StepSpec& step = *aQuery.m_step;
  std::vector<TaskKey> members;
  RunNumber run;
  // All members have the same checkpoint; any member's is that of the gang.
  std::string checkpoint;
  for (uint32_t index = 0; index < step.m_count; ++index) {
    members.push_back({aKey.m_job, aKey.m_occurrence, aKey.m_step, index});
    const Task& task = *FindTask(aCell, members.back()).m_task;
    if (task.m_phase != TaskPhase::Ready) return StepResult::NonePlaced;
    run = std::max(run, task.m_run);
    if (!task.m_checkpoint.empty()) checkpoint = task.m_checkpoint;
  }
  if (!HasRoomForGang(aCell, aKey, aQuery, aKnown, aWork, aNow)) {
    return StepResult::NonePlaced;
  }
  aQuery.m_changesFrom.reset();
  for (size_t placed = 0; placed < members.size(); ++placed) {
    const RunnerIndex runner = ChooseRunner(aCell, aQuery, aNow);
    if (!runner.IsValid()) {
      aWork.m_searches += static_cast<uint32_t>(placed) + 1;
      AskAdviceIfNeeded(aCell, aKey, aQuery, aNow);
      const bool changed = aCell.m_capacityChanged;
      const size_t changes = aCell.m_roomChanges.size();
      for (size_t at = 0; at < placed; ++at) {
        Release(aCell, members[at], step, *FindTask(aCell, members[at]).m_task);
      }
      // This released only what the pass itself had reserved.
      aCell.m_capacityChanged = changed;
      aCell.m_roomChanges.resize(changes);
      NoteFailedStep(aCell, StepOf(aKey));
      return StepResult::NonePlaced;
    }
    if (step.m_sameRack && aQuery.m_rack.empty()) {
      aQuery.m_rack = aCell.m_runners[runner.Value()].m_rack;
    }
    Reserve(aCell, members[placed], step,
            *FindTask(aCell, members[placed]).m_task, runner);
  }
  for (const TaskKey& key : members) {
    const TaskPlace place = FindTask(aCell, key);
    place.m_task->m_checkpoint = checkpoint;
    MarkIntended(aCell, place, run.Next(), aNow);
  }
  return StepResult::AllPlaced;
}

}  // namespace

StepResult PlaceStep(Cell& aCell, const QueueKey& aKey, Pass& aPass,
                     TimePoint aNow) {
  Job& job = aCell.m_jobs.at(aKey.m_job);
  const StepSpec& step = job.m_spec.m_steps[aKey.m_step];
  const std::optional<KnownFailure> known =
      FindFailedSearch(aCell, StepOf(aKey), step, ServiceOf(aCell, job.m_spec),
                       HasSlack(step, aKey.m_due, aNow));
  const bool unplaceable = known && known->m_seen == aCell.m_roomChanges.size();
  // With a long queue, most steps end here in each pass.
  if (unplaceable && (step.m_gang || !MayPreempt(aCell, aKey))) {
    return StepResult::NonePlaced;
  }
  PlacementQuery query = QueryFor(aCell, aKey, job, step, aNow);
  if (unplaceable) {
    Preempt(aCell, aKey, query, aPass.m_work, aNow);
    return StepResult::NonePlaced;
  }
  // A gang may have failed alone although some runners have room for members.
  if (known && (!step.m_gang || known->m_forKind)) {
    query.m_changesFrom = known->m_seen;
  }
  if (step.m_gang) {
    return PlaceGang(aCell, aKey, query, known, aPass.m_work, aNow);
  }
  if (step.m_sameRack) query.m_rack = RackOfStep(aCell, job, aKey);
  PlacementTally tally;
  query.m_tally = &tally;
  RackLoads racks;
  bool any = false;
  for (uint32_t index = 0; index < step.m_count; ++index) {
    const TaskKey key{aKey.m_job, aKey.m_occurrence, aKey.m_step, index};
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task->m_phase != TaskPhase::Ready) continue;
    if (!HasRoom(aCell.m_window)) {
      aCell.m_window.m_wasFull = true;
      return any ? StepResult::SomeLeft : StepResult::NonePlaced;
    }
    // The run number is durable with the chosen runner, unlike the confirmation
    // of the start.
    const bool isNew = !job.m_anyStarted && place.m_task->m_run.Value() == 0;
    if (step.m_longRunning && isNew &&
        !LeavesShortReserve(aCell, step, query, aPass, aNow)) {
      return any ? StepResult::SomeLeft : StepResult::NonePlaced;
    }
    if (step.m_longRunning && query.m_rackLoads == nullptr) {
      racks = LoadsOfRacks(aCell, query.m_service);
      query.m_rackLoads = &racks;
    }
    query.m_avoid = place.m_task->m_avoid;
    const RunnerIndex runner = ChooseRunner(aCell, query, aNow);
    if (runner.IsValid() && WaitsForRack(aCell, query, place, runner, aNow)) {
      CountSearch(aCell, query, aPass.m_work);
      return any ? StepResult::SomeLeft : StepResult::NonePlaced;
    }
    if (!runner.IsValid()) {
      NoteUnplaced(aCell, aKey, query, known, aPass.m_work, aNow);
      LogWait(aCell, key, place, query, aNow);
      return any ? StepResult::SomeLeft : StepResult::NonePlaced;
    }
    if (step.m_sameRack && query.m_rack.empty()) {
      query.m_rack = aCell.m_runners[runner.Value()].m_rack;
    }
    Reserve(aCell, key, step, *place.m_task, runner);
    MarkIntended(aCell, place, place.m_task->m_run.Next(), aNow);
    if (step.m_longRunning) {
      racks[aCell.m_runners[runner.Value()].m_rack].m_longRunningDemand +=
          step.m_need.m_cores;
      aPass.m_longRunning += static_cast<double>(step.m_need.m_cores.Value());
    }
    any = true;
  }
  return StepResult::AllPlaced;
}

}  // namespace bronze::sched
