/**
 * @file pacing_func.cpp Throttles best-effort tasks to protect latency-critical
 * tasks.
 */

#include "core/sched/pacing_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/sched/interference_func.h"
#include "core/sched/placement_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Weight of the newest measurement in a task's own load, which fluctuates
 *  over about ten seconds. */
constexpr double kOwnLoadWeight = 0.4;
/** Above this load, changes of the load are hardly visible in the tail
 *  latency. */
constexpr double kSaturatedLoad = 0.9;
/** Best-effort tasks that add less load than this have no noticeable effect. */
constexpr double kNegligibleLoad = 0.02;
/** A best-effort task whose safe pace is lower is moved to another runner. */
constexpr double kMinPace = 0.2;
/** Smaller changes of a pace, in percent, are not worth an order. */
constexpr int kMinPaceChange = 15;
/** Best-effort tasks resume once all tail latencies are at or below this share
 *  of their targets. */
constexpr double kResumeBelow = 0.9;
/** A tail latency over its target for this long pauses also best-effort tasks
 *  without slack beside it. The limit is several seconds, and the tail latency
 *  reacts half a second after a change. */
constexpr Duration kPauseUrgentAfter = milliseconds(1500);
/** After this time over a target, best-effort tasks are moved away, those
 *  without slack sooner, as they lose more by a pause. */
constexpr Duration kMoveAfter = milliseconds(3000);
constexpr Duration kMoveUrgentAfter = milliseconds(2000);
/** Decay time of past use of cores: tail latencies are measured over the last
 *  half second. */
constexpr Duration kTailDecayTime = milliseconds(400);
/** Reports closer together than this cover the same half second. */
constexpr Duration kMinLearnInterval = milliseconds(400);
constexpr double kNegligibleShare = 0.002;

double CapacityOf(const Runner& aRunner) {
  return std::max<double>(
      1.0, static_cast<double>(aRunner.m_entry.m_capacity.m_cores.Value()));
}

void RaiseShare(std::vector<UsedShare>& aShares, ImageIndex aImage,
                double aShare) {
  for (UsedShare& known : aShares) {
    if (known.m_image != aImage) continue;
    known.m_share = std::max(known.m_share, aShare);
    return;
  }
  aShares.push_back({aImage, aShare});
}

/** Updates the shares of the runner's cores that best-effort images used. The
 *  effect of a task that has ended remains visible in tail latencies for half
 *  a second, so its share decays. */
void UpdateUsed(Cell& aCell, Runner& aRunner, Duration aElapsed) {
  std::vector<UsedShare> present;
  for (const TaskKey& key : aRunner.m_tasks) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr || !place.m_step->m_bestEffort) continue;
    if (place.m_task->m_measure <= 0) continue;
    const double share =
        static_cast<double>(place.m_task->m_measure) / CapacityOf(aRunner);
    const auto known = std::find_if(
        present.begin(), present.end(), [&](const UsedShare& aShare) {
          return aShare.m_image == place.m_step->m_imageIndex;
        });
    if (known == present.end()) {
      present.push_back({place.m_step->m_imageIndex, share});
    } else {
      known->m_share += share;
    }
  }
  const double fade = std::exp(-static_cast<double>(aElapsed.count()) /
                               static_cast<double>(kTailDecayTime.count()));
  for (UsedShare& used : aRunner.m_used) used.m_share *= fade;
  for (const UsedShare& share : present) {
    RaiseShare(aRunner.m_used, share.m_image, share.m_share);
  }
  std::erase_if(aRunner.m_used, [](const UsedShare& aShare) {
    return aShare.m_share < kNegligibleShare;
  });
}

/** Compares the load predicted from the task's own load and the use of cores
 *  beside it to the measured one. Only predictions that were too low can put a
 *  task over its target. */
void RecordPrediction(CellCounts& aCounts, double aPredicted, double aLoad) {
  ++aCounts.m_loadPredictions;
  const double error = aLoad - aPredicted;
  if (error > 0.0) {
    aCounts.m_loadUnderestimate += error;
  } else {
    aCounts.m_loadOverestimate -= error;
  }
}

void LearnFromTail(Cell& aCell, const TaskPlace& aPlace,
                   const std::vector<UsedShare>& aUsed,
                   const std::vector<UsedShare>& aChanges) {
  Task& task = *aPlace.m_task;
  const auto tail = static_cast<double>(task.m_measure);
  const ImageIndex image = aPlace.m_step->m_imageIndex;
  RecordTail(aCell.m_interference, image, tail);
  const double load = LoadFromTail(aCell.m_interference, image, tail);
  const bool saturated = load > kSaturatedLoad && task.m_load > kSaturatedLoad;
  if (task.m_load >= 0.0 && !saturated) {
    LearnInterference(aCell.m_interference, aChanges, image,
                      load - task.m_load);
  }
  task.m_load = load;
  const double added = AddedLoad(aCell.m_interference, aUsed, image);
  if (task.m_ownLoad >= 0.0) {
    RecordPrediction(aCell.m_counts, task.m_ownLoad + added, load);
  }
  const double own = std::max(0.0, load - added);
  if (task.m_ownLoad < 0.0) task.m_ownLoad = own;
  task.m_ownLoad += kOwnLoadWeight * (own - task.m_ownLoad);
}

/** How the shares have changed from aBefore to aNow. */
std::vector<UsedShare> ChangesOf(const std::vector<UsedShare>& aBefore,
                                 const std::vector<UsedShare>& aNow) {
  std::vector<UsedShare> changes = aNow;
  for (const UsedShare& before : aBefore) {
    const auto known = std::find_if(changes.begin(), changes.end(),
                                    [&](const UsedShare& aShare) {
                                      return aShare.m_image == before.m_image;
                                    });
    if (known == changes.end()) {
      changes.push_back({before.m_image, -before.m_share});
    } else {
      known->m_share -= before.m_share;
    }
  }
  return changes;
}

LatencyCriticalView ViewOf(Cell& aCell, const TaskPlace& aPlace) {
  LatencyCriticalView view;
  view.m_image = aPlace.m_step->m_imageIndex;
  const double target =
      static_cast<double>(aPlace.m_step->m_tailTarget.count()) / 1000.0;
  if (target <= 0.0) return view;
  view.m_limitLoad = LoadFromTail(aCell.m_interference, view.m_image, target);
  view.m_ownLoad = std::max(0.0, aPlace.m_task->m_ownLoad);
  view.m_tailRatio = static_cast<double>(aPlace.m_task->m_measure) / target;
  return view;
}

/** Updates the runner's list of latency-critical tasks from the tail latencies
 *  in the report. */
void UpdateLatencyCritical(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  const Duration elapsed = aNow - aRunner.m_usedAt;
  const bool learns = elapsed >= kMinLearnInterval;
  std::vector<UsedShare> changes;
  if (learns) {
    const std::vector<UsedShare> before = aRunner.m_used;
    UpdateUsed(aCell, aRunner, elapsed);
    changes = ChangesOf(before, aRunner.m_used);
    aRunner.m_usedAt = aNow;
  }
  aRunner.m_latencyCritical.clear();
  aRunner.m_tailRatio = 0.0;
  for (const TaskKey& key : aRunner.m_tasks) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr || !place.m_step->m_longRunning) continue;
    if (learns && place.m_task->m_phase == TaskPhase::Running &&
        place.m_task->m_measure > 0) {
      LearnFromTail(aCell, place, aRunner.m_used, changes);
    }
    aRunner.m_latencyCritical.push_back(ViewOf(aCell, place));
    aRunner.m_tailRatio = std::max(
        aRunner.m_tailRatio, aRunner.m_latencyCritical.back().m_tailRatio);
  }
}

bool IsRunningBestEffort(const TaskPlace& aPlace) {
  return aPlace.m_task != nullptr && aPlace.m_step->m_bestEffort &&
         aPlace.m_task->m_phase == TaskPhase::Running;
}

/** @return the load that the best-effort tasks there add to each
 *          latency-critical task at full speed. */
std::vector<double> AddedLoads(const Cell& aCell, const Runner& aRunner) {
  std::vector<double> all;
  for (const LatencyCriticalView& latencyCritical : aRunner.m_latencyCritical) {
    double added = 0.0;
    for (const BestEffortDemand& load : aRunner.m_bestEffortDemands) {
      added += InterferenceOf(aCell.m_interference, load.m_image,
                              latencyCritical.m_image) *
               static_cast<double>(load.m_millicores) / CapacityOf(aRunner);
    }
    all.push_back(added);
  }
  return all;
}

/** @return the share of full speed at which the best-effort tasks that affect
 *  this task keep it within its limit; 1 or more: no throttling is needed. */
double SafePace(const LatencyCriticalView& aLatencyCritical, double aAdded,
                double aMargin) {
  if (aAdded < kNegligibleLoad) return 1.0;
  const double headroom =
      aLatencyCritical.m_limitLoad - aMargin - aLatencyCritical.m_ownLoad;
  return std::max(0.0, headroom / aAdded);
}

/** @return the share of full speed at which the step's task may work there.
 *  @param aAdded AddedLoads of the runner. */
double PaceFor(const Cell& aCell, const Runner& aRunner, const StepSpec& aStep,
               const std::vector<double>& aAdded, double aMargin) {
  const double share =
      static_cast<double>(aStep.m_need.m_cores.Value()) / CapacityOf(aRunner);
  double pace = 1.0;
  for (size_t at = 0; at < aRunner.m_latencyCritical.size(); ++at) {
    const LatencyCriticalView& affected = aRunner.m_latencyCritical[at];
    const double own =
        share * InterferenceOf(aCell.m_interference, aStep.m_imageIndex,
                               affected.m_image);
    if (own < kNegligibleLoad) continue;
    pace = std::min(pace, SafePace(affected, aAdded[at], aMargin));
  }
  return pace;
}

/** Whether the pace is close enough to the wanted one, in percent. */
bool IsPaceKept(const Task& aTask, int aPercent) {
  if (!aTask.m_pace) return false;
  const bool atEnd = aPercent == 0 || aPercent == kFullPace;
  const int change = std::abs(*aTask.m_pace - aPercent);
  return change == 0 || (!atEnd && change < kMinPaceChange);
}

void OrderPace(Cell& aCell, RunnerIndex aIndex, const TaskKey& aKey,
               Task& aTask, int aPercent, TimePoint aNow) {
  if (IsPaceKept(aTask, aPercent)) return;
  // The time of a pause doesn't count towards a stall, but a pause shows no
  // progress either. Before an unknown pace, the run may have been paused.
  if (!aTask.m_pace) {
    aTask.m_progressAt = aNow;
  } else if (*aTask.m_pace == 0) {
    aTask.m_progressAt =
        std::min(aNow, aTask.m_progressAt + (aNow - aTask.m_pausedAt));
  }
  if (aPercent == 0) aTask.m_pausedAt = aNow;
  aTask.m_pace = aPercent;
  ++aCell.m_counts.m_paces;
  aCell.m_orders.emplace_back(PaceOrder{aKey, aTask.m_run, aIndex, aPercent});
}

}  // namespace

void PaceRunner(Cell& aCell, RunnerIndex aIndex, TimePoint aNow) {
  Runner& runner = aCell.m_runners[aIndex.Value()];
  UpdateLatencyCritical(aCell, runner, aNow);
  const bool over = runner.m_tailRatio > 1.0;
  if (over && !runner.m_isOverTarget) {
    runner.m_overTargetSince = aNow;
    if (runner.m_bestEffortCores.Value() > 0) ++aCell.m_counts.m_runnerPauses;
  }
  runner.m_isOverTarget =
      over || (runner.m_isOverTarget && runner.m_tailRatio > kResumeBelow);
  const Duration overFor = runner.m_isOverTarget
                               ? aNow - runner.m_overTargetSince
                               : Duration::zero();
  const CellSettings& settings = aCell.m_settings;
  const std::vector<double> added = AddedLoads(aCell, runner);
  const std::vector<TaskKey> keys = runner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (!IsRunningBestEffort(place)) continue;
    const bool hasSlack =
        HasSlack(*place.m_step, place.m_occurrence->m_due, aNow);
    const double urgentPace = PaceFor(aCell, runner, *place.m_step, added,
                                      settings.m_urgentPaceMargin);
    if (urgentPace < kMinPace ||
        overFor > (hasSlack ? kMoveAfter : kMoveUrgentAfter)) {
      LogDecision(
          aCell,
          fmt::format("moves best-effort task={} runner={} pressure={:.2f} "
                      "pace={:.2f} over_ms={}",
                      TaskText(key), runner.m_entry.m_id.Value(),
                      runner.m_tailRatio, urgentPace, overFor.count() / 1000));
      place.m_task->m_avoid = aIndex;
      StopRun(aCell, key, place, aNow);
      continue;
    }
    // A task that is not known to interfere may add to the load as well: the
    // table leaves out small interference, and the tasks of a runner add up.
    const bool pauses =
        hasSlack ? runner.m_isOverTarget : overFor > kPauseUrgentAfter;
    const double pace = hasSlack ? PaceFor(aCell, runner, *place.m_step, added,
                                           settings.m_paceMargin)
                                 : urgentPace;
    const int percent =
        pauses ? 0 : static_cast<int>(std::lround(pace * 100.0));
    OrderPace(aCell, aIndex, key, *place.m_task, percent, aNow);
  }
}

}  // namespace bronze::sched
