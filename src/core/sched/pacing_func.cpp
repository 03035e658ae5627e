/**
 * @file pacing_func.cpp Keeps tasks that fill from disturbing tasks that serve.
 */

#include "core/sched/pacing_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/sched/harm_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Weight of a measurement in a baseline while nothing disturbs the task; its
 *  own load swings within some ten seconds. */
constexpr double kBaselineWeight = 0.35;
/** The same while fills with a known effect run beside it. */
constexpr double kDisturbedWeight = 0.1;
/** A tail counts as undisturbed below this log of the fills' factor. */
constexpr double kUndisturbed = 0.05;
/** A fill is moved when its part in a tail that is too long exceeds this log.
 */
constexpr double kBlame = 0.08;
/** A tail over its target for this long stops all fills beside it. The bound of
 *  the rules is several seconds; a tail shows a change after half a second. */
constexpr Duration kStandstillAfter = milliseconds(900);
/** Fills work again once no tail has been over this share of its target. */
constexpr double kResumeBelow = 0.7;
/** Tails are figures for the last half second. */
constexpr Duration kTailMemory = milliseconds(400);
/** Reports closer together than this show the same half second. */
constexpr Duration kLearnPause = milliseconds(250);
constexpr double kNegligibleShare = 0.002;
/** A runner at a standstill for this long gives its fills away. */
constexpr Duration kMoveAllAfter = milliseconds(2000);

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

/** Updates the shares of the runner's cores that fills used. What a fill that
 *  has ended did still shows in tails for half a second, so it fades. */
void UpdateUsed(Cell& aCell, Runner& aRunner, Duration aElapsed) {
  std::vector<UsedShare> present;
  for (const TaskKey& key : aRunner.m_tasks) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr || !place.m_step->m_fills) continue;
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
                               static_cast<double>(kTailMemory.count()));
  for (UsedShare& used : aRunner.m_used) used.m_share *= fade;
  for (const UsedShare& share : present) {
    RaiseShare(aRunner.m_used, share.m_image, share.m_share);
  }
  std::erase_if(aRunner.m_used, [](const UsedShare& aShare) {
    return aShare.m_share < kNegligibleShare;
  });
}

void LearnFromTail(Cell& aCell, const TaskPlace& aPlace,
                   const std::vector<UsedShare>& aUsed) {
  Task& task = *aPlace.m_task;
  const auto tail = static_cast<double>(task.m_measure);
  const ImageIndex image = aPlace.m_step->m_imageIndex;
  if (task.m_baseline > 0.0) {
    LearnHarm(aCell.m_harm, aUsed, image, std::log(tail / task.m_baseline));
  }
  const double factor = LogFactor(aCell.m_harm, aUsed, image);
  const double undisturbed = tail / std::exp(factor);
  if (task.m_baseline <= 0.0) {
    task.m_baseline = undisturbed;
    return;
  }
  const double weight =
      factor < kUndisturbed ? kBaselineWeight : kDisturbedWeight;
  task.m_baseline += weight * (undisturbed - task.m_baseline);
}

/** Reads the tails of the report into the runner's view. */
void UpdateServing(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  const Duration elapsed = aNow - aRunner.m_usedAt;
  const bool learns = elapsed >= kLearnPause;
  if (learns) {
    UpdateUsed(aCell, aRunner, elapsed);
    aRunner.m_usedAt = aNow;
  }
  aRunner.m_serving.clear();
  aRunner.m_pressure = 0.0;
  for (const TaskKey& key : aRunner.m_tasks) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr || !place.m_step->m_longRunning) continue;
    ServingView view;
    view.m_image = place.m_step->m_imageIndex;
    const double target =
        static_cast<double>(place.m_step->m_tailTarget.count()) / 1000.0;
    const bool measured = place.m_task->m_phase == TaskPhase::Running &&
                          place.m_task->m_measure > 0 && target > 0.0;
    if (measured) {
      if (learns) LearnFromTail(aCell, place, aRunner.m_used);
      view.m_pressure = static_cast<double>(place.m_task->m_measure) / target;
      if (place.m_task->m_baseline > 0.0) {
        view.m_logBase = std::log(place.m_task->m_baseline / target);
      }
      aRunner.m_pressure = std::max(aRunner.m_pressure, view.m_pressure);
    }
    aRunner.m_serving.push_back(view);
  }
}

bool IsRunningFill(const TaskPlace& aPlace) {
  return aPlace.m_task != nullptr && aPlace.m_step->m_fills &&
         aPlace.m_task->m_phase == TaskPhase::Running;
}

/** Largest part of the fill in a tail that is over the limit, as a log. */
double Blame(const Cell& aCell, const Runner& aRunner, const StepSpec& aStep) {
  const double share =
      static_cast<double>(aStep.m_need.m_cores.Value()) / CapacityOf(aRunner);
  double blame = 0.0;
  for (const ServingView& serving : aRunner.m_serving) {
    if (serving.m_pressure < aCell.m_settings.m_moveAbove) continue;
    blame = std::max(
        blame, share * Harm(aCell.m_harm, aStep.m_imageIndex, serving.m_image));
  }
  return blame;
}

void MoveFill(Cell& aCell, RunnerIndex aIndex, const TaskKey& aKey,
              const TaskPlace& aPlace, TimePoint aNow) {
  aPlace.m_task->m_avoid = aIndex;
  aPlace.m_task->m_phase = TaskPhase::Stopping;
  aPlace.m_task->m_phaseSince = aNow;
  OrderStop(aCell, aKey, *aPlace.m_task, aNow);
}

void OrderPace(Cell& aCell, RunnerIndex aIndex, const TaskKey& aKey,
               Task& aTask, int aPercent) {
  if (aTask.m_pace == aPercent) return;
  aTask.m_pace = aPercent;
  ++aCell.m_counts.m_paces;
  aCell.m_orders.emplace_back(PaceOrder{aKey, aTask.m_run, aIndex, aPercent});
}

}  // namespace

void PaceRunner(Cell& aCell, RunnerIndex aIndex, TimePoint aNow) {
  Runner& runner = aCell.m_runners[aIndex.Value()];
  UpdateServing(aCell, runner, aNow);
  const bool over = runner.m_pressure > 1.0;
  if (over && !runner.m_over) runner.m_overSince = aNow;
  const bool resumes = runner.m_pressure < kResumeBelow;
  runner.m_over = over || (runner.m_over && !resumes);
  const Duration overFor =
      runner.m_over ? aNow - runner.m_overSince : Duration::zero();
  const std::vector<TaskKey> keys = runner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (!IsRunningFill(place)) continue;
    const double blame = Blame(aCell, runner, *place.m_step);
    if (blame > kBlame || overFor > kMoveAllAfter) {
      LogDecision(
          aCell, fmt::format("move task={} runner={} pressure={:.2f} "
                             "blame={:.2f} over_ms={}",
                             TaskText(key), runner.m_entry.m_id.Value(),
                             runner.m_pressure, blame, overFor.count() / 1000));
      MoveFill(aCell, aIndex, key, place, aNow);
      continue;
    }
    OrderPace(aCell, aIndex, key, *place.m_task,
              overFor > kStandstillAfter ? 0 : 100);
  }
}

}  // namespace bronze::sched
