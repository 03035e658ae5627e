/**
 * @file pacing_func.cpp Keeps tasks that fill from disturbing tasks that serve.
 */

#include "core/sched/pacing_func.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** A tail is a figure for the last half second, so a change of pace shows in
 *  full only after that. */
constexpr Duration kPaceSettles = milliseconds(600);
/** Paced below half for this long: the place does not suit the tasks. */
constexpr Duration kMoveAfter = milliseconds(1500);
constexpr int kPaceDownFactor = 2;  ///< One step down halves the pace.
constexpr int kPaceUpStep = 25;     ///< Percent added by one step up.
constexpr int kLowestPace = 12;     ///< Below this the pace is 0.

double WorstTail(Cell& aCell, const Runner& aRunner) {
  double worst = 0.0;
  for (const TaskKey& key : aRunner.m_tasks) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    const Duration target = place.m_step->m_tailTarget;
    if (target.count() <= 0) continue;
    if (place.m_task->m_phase != TaskPhase::Running) continue;
    const auto tail = static_cast<double>(place.m_task->m_measure) * 1000.0;
    worst = std::max(worst, tail / static_cast<double>(target.count()));
  }
  return worst;
}

int NextPace(const CellSettings& aSettings, const Runner& aRunner,
             TimePoint aNow) {
  const bool settled = aNow - aRunner.m_paceChangedAt >= kPaceSettles;
  if (aRunner.m_pressure > 1.0 && settled) return 0;
  if (aRunner.m_pressure > aSettings.m_paceDownAt && settled) {
    const int lower = aRunner.m_pace / kPaceDownFactor;
    return lower < kLowestPace ? 0 : lower;
  }
  if (aRunner.m_pressure < aSettings.m_paceUpAt && settled) {
    return std::min(100, aRunner.m_pace + kPaceUpStep);
  }
  return aRunner.m_pace;
}

bool IsRunningFill(const TaskPlace& aPlace) {
  return aPlace.m_task != nullptr && aPlace.m_step->m_fills &&
         aPlace.m_task->m_phase == TaskPhase::Running;
}

void OrderPaces(Cell& aCell, RunnerIndex aIndex) {
  const Runner& runner = aCell.m_runners[aIndex.Value()];
  for (const TaskKey& key : runner.m_tasks) {
    const TaskPlace place = FindTask(aCell, key);
    if (!IsRunningFill(place) || place.m_task->m_pace == runner.m_pace) {
      continue;
    }
    place.m_task->m_pace = runner.m_pace;
    ++aCell.m_counts.m_paces;
    aCell.m_orders.emplace_back(
        PaceOrder{key, place.m_task->m_run, aIndex, runner.m_pace});
  }
}

void MoveFills(Cell& aCell, RunnerIndex aIndex, TimePoint aNow) {
  const std::vector<TaskKey> keys = aCell.m_runners[aIndex.Value()].m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (!IsRunningFill(place) || !place.m_step->m_savesProgress) continue;
    place.m_task->m_avoid = aIndex;
    place.m_task->m_phase = TaskPhase::Stopping;
    place.m_task->m_phaseSince = aNow;
    OrderStop(aCell, key, *place.m_task, aNow);
  }
}

}  // namespace

void PaceRunner(Cell& aCell, RunnerIndex aIndex, TimePoint aNow) {
  Runner& runner = aCell.m_runners[aIndex.Value()];
  runner.m_pressure = WorstTail(aCell, runner);
  const int pace = NextPace(aCell.m_settings, runner, aNow);
  if (pace != runner.m_pace) {
    LogDecision(aCell,
                fmt::format("pace runner={} from={} to={} pressure={:.2f}",
                            runner.m_entry.m_id.Value(), runner.m_pace, pace,
                            runner.m_pressure));
    if (pace < 50 && runner.m_pace >= 50) runner.m_pacedBelowSince = aNow;
    runner.m_pace = pace;
    runner.m_paceChangedAt = aNow;
    aCell.m_capacityChanged = true;
  }
  OrderPaces(aCell, aIndex);
  if (runner.m_pace < 50 && aNow - runner.m_pacedBelowSince > kMoveAfter) {
    MoveFills(aCell, aIndex, aNow);
    runner.m_pacedBelowSince = aNow;
  }
}

}  // namespace bronze::sched
