/**
 * @file schedule_cmd.cpp Passes over the queue.
 */

#include "core/sched/schedule_cmd.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/sched/advice_cmd.h"
#include "core/sched/failed_search_cmd.h"
#include "core/sched/job_cmd.h"
#include "core/sched/order_window_func.h"
#include "core/sched/place_step_cmd.h"
#include "core/sched/restart_cmd.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** The values below change slowly, and updating them takes a look at all jobs,
 *  waiting tasks and runners. */
constexpr Duration kDemandInterval = milliseconds(100);

/** Time per queued step between two walks over the whole queue. They take some
 *  100 ns a step together, which is thus half a percent of the time. */
constexpr Duration kWalkIntervalPerStep = std::chrono::microseconds(20);

Duration WalkInterval(const Cell& aCell) {
  return std::max(
      kDemandInterval,
      kWalkIntervalPerStep * static_cast<int64_t>(aCell.m_queue.size()));
}

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

namespace {

enum class PassEnd : uint8_t { EndOfQueue, Budget, Window };

/** Examines steps from aAt on, and leaves it at the first one that was not
 *  examined. */
PassEnd ExamineSteps(Cell& aCell, std::set<QueueKey>::iterator& aAt,
                     const PassWork& aLimit, Pass& aPass, TimePoint aNow) {
  aPass.m_work = {};
  while (aAt != aCell.m_queue.end()) {
    if (aPass.m_work.m_searches >= aLimit.m_searches ||
        aPass.m_work.m_steps >= aLimit.m_steps) {
      return PassEnd::Budget;
    }
    // The next answer to a start begins another pass.
    if (!HasRoom(aCell.m_window)) {
      ++aCell.m_counts.m_windowFull;
      aCell.m_window.m_wasFull = true;
      return PassEnd::Window;
    }
    ++aPass.m_work.m_steps;
    const StepResult result = PlaceStep(aCell, *aAt, aPass, aNow);
    if (result == StepResult::AllPlaced) {
      aAt = aCell.m_queue.erase(aAt);
    } else if (HasRoom(aCell.m_window)) {
      ++aAt;
    }
  }
  return PassEnd::EndOfQueue;
}

/** Examines steps behind the front, which ends before aFrontEnd: those that the
 *  passes before have not reached. */
PassEnd ContinueRound(Cell& aCell, std::set<QueueKey>::iterator aFrontEnd,
                      Pass& aPass, TimePoint aNow) {
  if (!aCell.m_round) aCell.m_round = QueueRound{aNow, {}};
  std::optional<QueueKey>& next = aCell.m_round->m_next;
  auto at = aFrontEnd;
  if (next && *next > *aFrontEnd) at = aCell.m_queue.lower_bound(*next);
  const CellSettings& settings = aCell.m_settings;
  const uint32_t left =
      settings.m_maxLaterSearchesOfInterval -
      std::min(settings.m_maxLaterSearchesOfInterval, aCell.m_laterSearches);
  const PassEnd end = ExamineSteps(
      aCell, at,
      {std::min(settings.m_maxLaterSearches, left), settings.m_maxLaterSteps},
      aPass, aNow);
  aCell.m_laterSearches += aPass.m_work.m_searches;
  if (at != aCell.m_queue.end()) next = *at;
  return end;
}

void UpdateRound(Cell& aCell, PassEnd aEnd, TimePoint aNow) {
  if (aEnd != PassEnd::EndOfQueue) {
    if (!aCell.m_round) aCell.m_round = QueueRound{aNow, {}};
    return;
  }
  if (!aCell.m_round) return;
  aCell.m_counts.m_longestQueueRound =
      std::max(aCell.m_counts.m_longestQueueRound, QueueRoundTime(aCell, aNow));
  aCell.m_round.reset();
}

}  // namespace

void PlaceTasks(Cell& aCell, TimePoint aNow) {
  if (!aCell.m_capacityChanged) return;
  aCell.m_capacityChanged = false;
  if (aNow - aCell.m_shortPeakAt >= WalkInterval(aCell)) {
    UpdateShortDemand(aCell, aNow);
    UpdateLeastUrgent(aCell);
  }
  const bool isFullSearch = aNow - aCell.m_fullSearchAt >= kFullSearchInterval;
  if (isFullSearch) {
    aCell.m_fullSearchAt = aNow;
    aCell.m_laterSearches = 0;
    ForgetFailedSearches(aCell);
  }
  Pass pass;
  auto at = aCell.m_queue.begin();
  PassEnd end = ExamineSteps(
      aCell, at,
      {aCell.m_settings.m_maxFailedSearches, aCell.m_settings.m_maxSteps}, pass,
      aNow);
  if (end == PassEnd::Budget) end = ContinueRound(aCell, at, pass, aNow);
  UpdateRound(aCell, end, aNow);
  if (isFullSearch &&
      aNow - aCell.m_restartsExaminedAt >= WalkInterval(aCell)) {
    aCell.m_restartsExaminedAt = aNow;
    PlaceOverdueRestarts(aCell, aNow);
  }
}

Duration QueueRoundTime(const Cell& aCell, TimePoint aNow) {
  return aCell.m_round ? aNow - aCell.m_round->m_began : Duration::zero();
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
