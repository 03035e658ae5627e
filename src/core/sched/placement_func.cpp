/**
 * @file placement_func.cpp Chooses the runner for a task.
 */

#include "core/sched/placement_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** A place on the preferred rack outweighs any difference in load. */
constexpr double kRackBonus = 4.0;
/** A runner to avoid is taken only when no other has room. */
constexpr double kAvoidPenalty = 8.0;
constexpr double kSlownessWeight = 0.5;
constexpr double kPressureWeight = 1.0;
/** A tail this close to its target leaves nothing for tasks that fill. */
constexpr double kFillPressureLimit = 0.8;
/** Tasks that fill may ask for so much of the unused cores; what exceeds 1
 *  makes all of them slower. */
constexpr double kFillOvercommit = 1.1;

double Cores(Millicores aCores) { return static_cast<double>(aCores.Value()); }

/** Cores that tasks which count against capacity are expected to use. */
double UsedCores(const CellSettings& aSettings, const Runner& aRunner) {
  const double serving = Cores(aRunner.m_servingCores);
  const double others = Cores(aRunner.m_reserved.m_cores) - serving;
  return serving * aSettings.m_servingUse + others;
}

bool HasLabel(const Runner& aRunner, const std::string& aLabel) {
  const auto& labels = aRunner.m_entry.m_labels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

}  // namespace

bool IsUsable(const Runner& aRunner, const ServiceId& aService,
              TimePoint aNow) {
  return aRunner.m_listed && aRunner.m_contacted &&
         !aRunner.m_entry.m_draining && aRunner.m_missedHolds == 0 &&
         aRunner.m_quarantinedUntil <= aNow &&
         aRunner.m_entry.m_service == aService;
}

bool HasRoom(const Runner& aRunner, const StepSpec& aStep) {
  Resources used = aRunner.m_reserved;
  used.m_memory += aRunner.m_fillMemory;
  Resources need = aStep.m_need;
  if (aStep.m_fills) need.m_cores = Millicores();
  return Fits(used + need, aRunner.m_entry.m_capacity);
}

double Score(const CellSettings& aSettings, const Runner& aRunner,
             const StepSpec& aStep) {
  const double capacity =
      std::max(1.0, Cores(aRunner.m_entry.m_capacity.m_cores));
  const double used = UsedCores(aSettings, aRunner);
  const double free = capacity - used - Cores(aRunner.m_fillDemand) -
                      Cores(aStep.m_need.m_cores);
  // Tasks that last are spread by what they reserve, since their load varies.
  const double reserved = Cores(aRunner.m_reserved.m_cores) / capacity;
  const double base = aStep.m_longRunning ? -reserved : free / capacity;
  const double pressure =
      aStep.m_fills ? kPressureWeight * aRunner.m_pressure : 0.0;
  return base - pressure -
         kSlownessWeight * std::max(0.0, aRunner.m_slowness - 1.0);
}

namespace {

/** Whether a task that fills would get cores there and harm nobody. */
bool SuitsFill(const CellSettings& aSettings, const Runner& aRunner,
               const StepSpec& aStep) {
  if (aRunner.m_pace < 100 || aRunner.m_pressure > kFillPressureLimit) {
    return false;
  }
  const double unused =
      Cores(aRunner.m_entry.m_capacity.m_cores) - UsedCores(aSettings, aRunner);
  return Cores(aRunner.m_fillDemand + aStep.m_need.m_cores) <=
         unused * kFillOvercommit;
}

}  // namespace

RunnerIndex ChooseRunner(const Cell& aCell, const PlacementQuery& aQuery,
                         TimePoint aNow) {
  const StepSpec& step = *aQuery.m_step;
  RunnerIndex best;
  double bestScore = 0.0;
  for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
    const Runner& runner = aCell.m_runners[at];
    if (!IsUsable(runner, aQuery.m_service, aNow)) continue;
    // After a quarantine one task probes the runner.
    if (runner.m_quarantineCount > 0 && !runner.m_tasks.empty()) continue;
    if (!HasRoom(runner, step)) continue;
    if (step.m_fills && !SuitsFill(aCell.m_settings, runner, step)) continue;
    if (!step.m_requiredLabel.empty() &&
        !HasLabel(runner, step.m_requiredLabel)) {
      continue;
    }
    const RunnerIndex index(at);
    if (step.m_antiAffinity > 0 &&
        aQuery.m_sameStep(index) >= step.m_antiAffinity) {
      continue;
    }
    double score = Score(aCell.m_settings, runner, step);
    if (!aQuery.m_rack.empty() && runner.m_rack == aQuery.m_rack) {
      score += kRackBonus;
    }
    if (index == aQuery.m_avoid) score -= kAvoidPenalty;
    if (!best.IsValid() || score > bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

}  // namespace bronze::sched
