/**
 * @file schedule_cmd.cpp Passes over the queue.
 */

#include "core/sched/schedule_cmd.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/sched/advice_cmd.h"
#include "core/sched/job_cmd.h"
#include "core/sched/order_window_func.h"
#include "core/sched/placement_cmd.h"
#include "core/sched/preemption_cmd.h"
#include "core/sched/restart_cmd.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

enum class StepResult : uint8_t { AllPlaced, SomeLeft, NonePlaced };

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
          "harmed={} unfit={} accepting={} few_cores={} little_memory={} "
          "free_cores={} free_memory={} most_cores={} most_memory={} "
          "best_effort_memory={} long_running_cores={}",
          TaskText(aKey), waited.count() / 1000, aPlace.m_task->m_run.Value(),
          aPlace.m_job->m_spec.m_policy.m_priority,
          aPlace.m_step->m_need.m_cores.Value(),
          aPlace.m_step->m_need.m_memory.Value(),
          aPlace.m_step->m_requiredLabel, aCell.m_runners.size(),
          tally.m_unusable, tally.m_probed, tally.m_full, tally.m_busy,
          tally.m_overTarget, tally.m_unfit, room.m_accepting, room.m_fewCores,
          room.m_littleMemory, room.m_free.m_cores.Value(),
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

/** State of one pass over the queue. */
struct Pass {
  uint32_t m_failedSearches = 0;  ///< Searches of all runners that failed.
  /** Cores of the pool's usable runners and of the long-running tasks there,
   * for LeavesShortReserve; computed when they are first needed. */
  std::optional<ServiceId> m_reserveService;
  double m_capacity = 0.0;
  double m_longRunning = 0.0;
};

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

bool Covers(const FailedSearch& aFailed, const QueueKey& aKey,
            const StepSpec& aStep, const ServiceId& aService, bool aHasSlack) {
  if (aFailed.m_only) {
    const StepKey key{aKey.m_job, aKey.m_occurrence, aKey.m_step};
    if (*aFailed.m_only != key) return false;
  }
  return aFailed.m_bestEffort == aStep.m_bestEffort &&
         (!aStep.m_bestEffort || (aFailed.m_image == aStep.m_imageIndex &&
                                  (aHasSlack || !aFailed.m_hasSlack))) &&
         aFailed.m_label == aStep.m_requiredLabel &&
         aFailed.m_service == aService && Fits(aFailed.m_need, aStep.m_need);
}

/** @return the failed search for a task of the same kind that is no larger;
 * null if there is none. Thus many steps that cannot be placed do not keep a
 *          pass from those that can. */
FailedSearch* FindFailedSearch(Cell& aCell, const QueueKey& aKey,
                               const StepSpec& aStep, const ServiceId& aService,
                               TimePoint aNow) {
  const bool hasSlack = HasSlack(aStep, aKey.m_due, aNow);
  FailedSearch* latest = nullptr;
  for (FailedSearch& failed : aCell.m_failedSearches) {
    if (!Covers(failed, aKey, aStep, aService, hasSlack)) continue;
    if (latest == nullptr || failed.m_seen > latest->m_seen) latest = &failed;
  }
  return latest;
}

/** Records that no runner has room for a task of the step. */
void NoteFailedSearch(Cell& aCell, const QueueKey& aKey,
                      const PlacementQuery& aQuery) {
  const StepSpec& step = *aQuery.m_step;
  // Anti-affinity or the queue's policy may have excluded room that another
  // step can use.
  const bool restricted =
      step.m_antiAffinity > 0 || static_cast<bool>(aQuery.m_isApproved);
  FailedSearch failed{aQuery.m_service,
                      step.m_need,
                      step.m_requiredLabel,
                      step.m_bestEffort,
                      step.m_imageIndex,
                      aQuery.m_hasSlack,
                      {},
                      aCell.m_roomChanges.size()};
  if (restricted) {
    failed.m_only = StepKey{aKey.m_job, aKey.m_occurrence, aKey.m_step};
  }
  for (FailedSearch& known : aCell.m_failedSearches) {
    if (known.m_only != failed.m_only || known.m_need != failed.m_need ||
        known.m_hasSlack != failed.m_hasSlack ||
        !Covers(known, aKey, step, aQuery.m_service, aQuery.m_hasSlack)) {
      continue;
    }
    known.m_seen = failed.m_seen;
    return;
  }
  aCell.m_failedSearches.push_back(std::move(failed));
}

void AskAdviceIfNeeded(Cell& aCell, const QueueKey& aKey,
                       const PlacementQuery& aQuery, TimePoint aNow) {
  const auto& policy = aCell.m_jobs.at(aKey.m_job).m_spec.m_policy;
  if (!policy.m_advice) return;
  AskAdvice(aCell, {aKey.m_job, aKey.m_occurrence, aKey.m_step},
            *policy.m_advice, aQuery, aNow);
}

/** Number of searches that one for a best-effort task counts as, since it also
 *  predicts the effect on each latency-critical task. */
constexpr uint32_t kBestEffortSearchCost = 2;

/** Records for the pass that a task of the step found no room, and stops less
 *  urgent tasks for it. */
void NoteUnplaced(Cell& aCell, const QueueKey& aKey,
                  const PlacementQuery& aQuery, Pass& aPass, TimePoint aNow) {
  if (!aQuery.m_changesFrom) {
    aPass.m_failedSearches +=
        aQuery.m_step->m_bestEffort ? kBestEffortSearchCost : 1;
  }
  NoteFailedSearch(aCell, aKey, aQuery);
  const bool someFull = aQuery.m_changesFrom || aQuery.m_tally->m_full > 0;
  if (someFull && MayPreempt(aCell, aKey)) {
    PreemptForStep(aCell, aKey, aQuery, aNow);
  }
  AskAdviceIfNeeded(aCell, aKey, aQuery, aNow);
}

/** Places a gang completely or not at all; its members share one run number. */
StepResult PlaceGang(Cell& aCell, const QueueKey& aKey, PlacementQuery aQuery,
                     Pass& aPass, TimePoint aNow) {
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
  for (size_t placed = 0; placed < members.size(); ++placed) {
    const RunnerIndex runner = ChooseRunner(aCell, aQuery, aNow);
    if (!runner.IsValid()) {
      ++aPass.m_failedSearches;
      AskAdviceIfNeeded(aCell, aKey, aQuery, aNow);
      const bool changed = aCell.m_capacityChanged;
      const size_t changes = aCell.m_roomChanges.size();
      for (size_t at = 0; at < placed; ++at) {
        Release(aCell, members[at], step, *FindTask(aCell, members[at]).m_task);
      }
      // This released only what the pass itself had reserved.
      aCell.m_capacityChanged = changed;
      aCell.m_roomChanges.resize(changes);
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

StepResult PlaceStep(Cell& aCell, const QueueKey& aKey, Pass& aPass,
                     TimePoint aNow) {
  Job& job = aCell.m_jobs.at(aKey.m_job);
  const StepSpec& step = job.m_spec.m_steps[aKey.m_step];
  const FailedSearch* failed =
      FindFailedSearch(aCell, aKey, step, ServiceOf(aCell, job.m_spec), aNow);
  const bool unplaceable =
      failed != nullptr && failed->m_seen == aCell.m_roomChanges.size();
  // With a long queue, most steps end here in each pass.
  if (unplaceable && (step.m_gang || !MayPreempt(aCell, aKey))) {
    return StepResult::NonePlaced;
  }
  PlacementQuery query = QueryFor(aCell, aKey, job, step, aNow);
  if (unplaceable) {
    PreemptForStep(aCell, aKey, query, aNow);
    return StepResult::NonePlaced;
  }
  if (failed != nullptr && !step.m_gang) query.m_changesFrom = failed->m_seen;
  if (step.m_gang) return PlaceGang(aCell, aKey, query, aPass, aNow);
  if (step.m_sameRack) query.m_rack = RackOfStep(aCell, job, aKey);
  PlacementTally tally;
  query.m_tally = &tally;
  RackLoads racks;
  if (step.m_longRunning) {
    racks = LoadsOfRacks(aCell, query.m_service);
    query.m_rackLoads = &racks;
  }
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
    query.m_avoid = place.m_task->m_avoid;
    const RunnerIndex runner = ChooseRunner(aCell, query, aNow);
    if (runner.IsValid() && WaitsForRack(aCell, query, place, runner, aNow)) {
      return any ? StepResult::SomeLeft : StepResult::NonePlaced;
    }
    if (!runner.IsValid()) {
      NoteUnplaced(aCell, aKey, query, aPass, aNow);
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

}  // namespace

namespace {

/** The values below change slowly, and updating them takes a look at all jobs,
 *  waiting tasks and runners. */
constexpr Duration kDemandInterval = milliseconds(100);

/** Quarantines and pauses end without any change of a runner's room, so failed
 *  searches are forgotten after this time. */
constexpr Duration kFullSearchInterval = milliseconds(100);

void UpdateLeastUrgent(Cell& aCell) {
  aCell.m_leastUrgent = std::numeric_limits<int>::min();
  for (const auto& [id, job] : aCell.m_jobs) {
    if (job.m_phase != JobPhase::Active) continue;
    aCell.m_leastUrgent =
        std::max(aCell.m_leastUrgent, job.m_spec.m_policy.m_priority);
  }
}

/** Updates the decaying peak of the cores that short tasks hold or wait for. */
void UpdateShortDemand(Cell& aCell, TimePoint aNow) {
  aCell.m_shortDemand = Millicores();
  for (const Runner& runner : aCell.m_runners) {
    aCell.m_shortDemand +=
        runner.m_reserved.m_cores - runner.m_longRunningCores;
  }
  for (const QueueKey& key : aCell.m_queue) {
    const Job& job = aCell.m_jobs.at(key.m_job);
    const StepSpec& step = job.m_spec.m_steps[key.m_step];
    if (step.m_bestEffort || step.m_longRunning) continue;
    aCell.m_shortDemand += WaitingCores(job, key);
  }
  const double elapsed =
      static_cast<double>((aNow - aCell.m_shortPeakAt).count());
  const auto memory =
      static_cast<double>(aCell.m_settings.m_shortPeakHalfLife.count());
  aCell.m_shortPeak =
      std::max(aCell.m_shortPeak * std::exp2(-elapsed / memory),
               static_cast<double>(aCell.m_shortDemand.Value()));
  aCell.m_shortPeakAt = aNow;
}

}  // namespace

void PlaceTasks(Cell& aCell, TimePoint aNow) {
  if (!aCell.m_capacityChanged) return;
  aCell.m_capacityChanged = false;
  if (aNow - aCell.m_shortPeakAt >= kDemandInterval) {
    UpdateShortDemand(aCell, aNow);
    UpdateLeastUrgent(aCell);
  }
  const bool isFullSearch = aNow - aCell.m_fullSearchAt >= kFullSearchInterval;
  if (isFullSearch) {
    aCell.m_fullSearchAt = aNow;
    aCell.m_failedSearches.clear();
    aCell.m_roomChanges.clear();
  }
  Pass pass;
  for (auto at = aCell.m_queue.begin();
       at != aCell.m_queue.end() &&
       pass.m_failedSearches < aCell.m_settings.m_maxFailedSearches;) {
    // The next answer to a start begins another pass.
    if (!HasRoom(aCell.m_window)) {
      ++aCell.m_counts.m_windowFull;
      aCell.m_window.m_wasFull = true;
      break;
    }
    const StepResult result = PlaceStep(aCell, *at, pass, aNow);
    if (result == StepResult::AllPlaced) {
      at = aCell.m_queue.erase(at);
      continue;
    }
    ++at;
  }
  if (isFullSearch) PlaceOverdueRestarts(aCell, aNow);
}

void OrderStarts(Cell& aCell, JobId aJob, TimePoint aNow) {
  const auto found = aCell.m_jobs.find(aJob);
  if (found == aCell.m_jobs.end()) return;
  Job& job = found->second;
  if (job.m_phase != JobPhase::Active) return;
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (uint32_t step = 0; step < job.m_spec.m_steps.size(); ++step) {
      for (uint32_t i = 0; i < job.m_spec.m_steps[step].m_count; ++i) {
        Task& task = occurrence.m_tasks[job.m_stepOffset[step] + i];
        if (task.m_phase != TaskPhase::Intended ||
            task.m_intentVersion > job.m_storedVersion) {
          continue;
        }
        const TaskKey key{aJob, number, step, i};
        Runner& runner = aCell.m_runners[task.m_runner.Value()];
        const ServiceId& service = ServiceOf(aCell, job.m_spec);
        const bool mayStart = IsRestart(job.m_spec.m_steps[step], task)
                                  ? IsReachable(runner, service, aNow)
                                  : IsUsable(runner, service, aNow);
        if (!mayStart) {
          if (runner.m_evacuated) ++aCell.m_counts.m_evacuatedStarts;
          Requeue(aCell, key, FindTask(aCell, key), aNow);
          continue;
        }
        std::string ticket;
        if (job.m_spec.m_policy.m_advice) {
          const Approval* approval =
              ApprovalOf(aCell, {aJob, number, step}, task.m_runner, aNow);
          if (approval == nullptr) {
            Requeue(aCell, key, FindTask(aCell, key), aNow);
            continue;
          }
          ticket = approval->m_ticket;
        }
        // Orders that were sent there earlier and are still under way will be
        // refused.
        runner.m_fence = std::max(runner.m_fence, aCell.m_newestFence);
        task.m_phase = TaskPhase::Starting;
        task.m_phaseSince = aNow;
        --aCell.m_window.m_intended;
        ++aCell.m_window.m_inFlight;
        ++aCell.m_counts.m_starts;
        aCell.m_orders.emplace_back(StartOrder{key, task.m_run, task.m_runner,
                                               task.m_checkpoint,
                                               std::move(ticket)});
      }
    }
  }
}

}  // namespace bronze::sched
