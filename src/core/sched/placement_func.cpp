/**
 * @file placement_func.cpp Chooses the runner for a task.
 */

#include "core/sched/placement_func.h"

#include <algorithm>

#include "core/sched/interference_func.h"

namespace bronze::sched {

namespace {

/** A runner on the preferred rack outweighs any difference in load. */
constexpr double kRackBonus = 4.0;
/** A runner to avoid is chosen only if no other has room. */
constexpr double kAvoidPenalty = 8.0;
constexpr double kSlownessWeight = 0.5;
/** A cold runner is chosen only if it has much more room than warm ones, as
 *  everything there takes longer for a while. */
constexpr double kColdPenalty = 0.5;
/** Weight of the load that a best-effort task is predicted to add to
 *  latency-critical tasks. */
constexpr double kInterferenceWeight = 3.0;
/** Smaller additions to a load are ignored, since the measurements are rough.
 */
constexpr double kNegligibleLoad = 0.02;
/** Long-running tasks are packed, with tasks of the same image together, so
 *  that some runners stay free of images that a given best-effort image
 *  interferes with. */
constexpr double kPackWeight = 1.0;
constexpr double kSameImageWeight = 3.0;
/** Weight of the load of the rack: the next empty runner is used on the rack
 *  with the least load. */
constexpr double kRackBalanceWeight = 1.0;
/** Best-effort tasks may claim this multiple of the unused cores; above 1 all
 *  of them slow down. */
constexpr double kBestEffortOvercommit = 1.1;

double Cores(Millicores aCores) { return static_cast<double>(aCores.Value()); }

/** Expected use of cores by tasks that are not best-effort. */
double UsedCores(const CellSettings& aSettings, const Runner& aRunner) {
  const double latencyCritical = Cores(aRunner.m_longRunningCores);
  const double others = Cores(aRunner.m_reserved.m_cores) - latencyCritical;
  return latencyCritical * aSettings.m_longRunningUse + others;
}

bool HasLabel(const Runner& aRunner, const std::string& aLabel) {
  const auto& labels = aRunner.m_entry.m_labels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

}  // namespace

bool IsOpen(const Runner& aRunner) {
  return aRunner.m_listed && !aRunner.m_evacuated &&
         !aRunner.m_entry.m_draining;
}

bool IsReachable(const Runner& aRunner, const ServiceId& aService,
                 TimePoint aNow) {
  return IsOpen(aRunner) && aRunner.m_contacted &&
         aRunner.m_missedRenewals == 0 && !aRunner.m_lapseStored &&
         !aRunner.m_hasUnknownRuns && aRunner.m_supersededRuns.empty() &&
         aRunner.m_pausedUntil <= aNow && aRunner.m_entry.m_service == aService;
}

bool IsUsable(const Runner& aRunner, const ServiceId& aService,
              TimePoint aNow) {
  return IsReachable(aRunner, aService, aNow) &&
         aRunner.m_quarantinedUntil <= aNow;
}

bool HasSlack(const StepSpec& aStep, TimePoint aDue, TimePoint aNow) {
  // Covers a run that is throttled to half its speed, or a later step.
  constexpr int kRunsLeft = 2;
  return aNow + aStep.m_estimate * kRunsLeft < aDue;
}

Resources FreeRoom(const Runner& aRunner) {
  Resources free = aRunner.m_entry.m_capacity - aRunner.m_reserved;
  free.m_memory -= aRunner.m_bestEffortMemory;
  return free;
}

Resources TakenBy(const StepSpec& aStep) {
  Resources taken = aStep.m_need;
  if (aStep.m_bestEffort) taken.m_cores = Millicores();
  return taken;
}

bool HasRoom(const Runner& aRunner, const StepSpec& aStep) {
  return Fits(TakenBy(aStep), FreeRoom(aRunner));
}

namespace {

/** Share of the long-running tasks there that run the step's image. */
double SameImageShare(const Runner& aRunner, const StepSpec& aStep) {
  if (aRunner.m_latencyCritical.empty()) return 0.0;
  const auto same = std::count_if(aRunner.m_latencyCritical.begin(),
                                  aRunner.m_latencyCritical.end(),
                                  [&](const LatencyCriticalView& aView) {
                                    return aView.m_image == aStep.m_imageIndex;
                                  });
  return static_cast<double>(same) /
         static_cast<double>(aRunner.m_latencyCritical.size());
}

}  // namespace

double Score(const CellSettings& aSettings, const Runner& aRunner,
             const StepSpec& aStep) {
  const double capacity =
      std::max(1.0, Cores(aRunner.m_entry.m_capacity.m_cores));
  const double slowness =
      kSlownessWeight * std::max(0.0, aRunner.m_slowness - 1.0);
  if (aStep.m_longRunning) {
    const double reserved = Cores(aRunner.m_reserved.m_cores) / capacity;
    return kPackWeight * reserved +
           kSameImageWeight * SameImageShare(aRunner, aStep) - slowness;
  }
  const double free = capacity - UsedCores(aSettings, aRunner) -
                      Cores(aRunner.m_bestEffortCores) -
                      Cores(aStep.m_need.m_cores);
  return free / capacity - slowness;
}

BestEffortImpact PredictImpact(const Cell& aCell, const Runner& aRunner,
                               const StepSpec& aStep) {
  BestEffortImpact effect;
  const double capacity =
      std::max(1.0, Cores(aRunner.m_entry.m_capacity.m_cores));
  const double share = Cores(aStep.m_need.m_cores) / capacity;
  for (const LatencyCriticalView& latencyCritical : aRunner.m_latencyCritical) {
    const double added =
        InterferenceOf(aCell.m_interference, aStep.m_imageIndex,
                       latencyCritical.m_image) *
        share;
    effect.m_added = std::max(effect.m_added, added);
    if (added < kNegligibleLoad) continue;
    double load = latencyCritical.m_ownLoad + added;
    for (const BestEffortDemand& present : aRunner.m_bestEffortDemands) {
      load += InterferenceOf(aCell.m_interference, present.m_image,
                             latencyCritical.m_image) *
              static_cast<double>(present.m_millicores) / capacity;
    }
    effect.m_headroom =
        std::min(effect.m_headroom, latencyCritical.m_limitLoad - load);
  }
  return effect;
}

namespace {

/** Whether a best-effort task would get cores there. */
bool HasUnusedCores(const CellSettings& aSettings, const Runner& aRunner,
                    const StepSpec& aStep) {
  const double unused =
      Cores(aRunner.m_entry.m_capacity.m_cores) - UsedCores(aSettings, aRunner);
  return Cores(aRunner.m_bestEffortCores + aStep.m_need.m_cores) <=
         unused * kBestEffortOvercommit;
}

}  // namespace

namespace {

/** Whether the runner is on probation with one task already. Tasks placed
 *  there before the quarantine don't count, since long-running ones never end
 *  by themselves. */
bool IsOnProbation(const CellSettings& aSettings, const Runner& aRunner,
                   TimePoint aNow) {
  return aRunner.m_quarantineCount > 0 &&
         aNow < aRunner.m_quarantinedUntil + aSettings.m_quarantine &&
         aRunner.m_lastPlacedAt >= aRunner.m_quarantinedUntil;
}

}  // namespace

namespace {

bool MeetsLabel(const StepSpec& aStep, const Runner& aRunner) {
  return aStep.m_requiredLabel.empty() ||
         HasLabel(aRunner, aStep.m_requiredLabel);
}

/** Whether anti-affinity or a missing approval excludes the runner. */
bool IsExcluded(const PlacementQuery& aQuery, RunnerIndex aIndex) {
  if (aQuery.m_isApproved && !aQuery.m_isApproved(aIndex)) return true;
  const uint32_t most = aQuery.m_step->m_antiAffinity;
  return most > 0 && aQuery.m_sameStep(aIndex) >= most;
}

}  // namespace

bool MeetsConstraints(const PlacementQuery& aQuery, const Runner& aRunner,
                      RunnerIndex aIndex) {
  return MeetsLabel(*aQuery.m_step, aRunner) && !IsExcluded(aQuery, aIndex);
}

namespace {

/** @return the counter of the first reason to reject the runner; null: none. */
uint32_t* RejectionReason(const Cell& aCell, const PlacementQuery& aQuery,
                          RunnerIndex aIndex, TimePoint aNow,
                          PlacementTally& aTally, double& aInterference) {
  const StepSpec& step = *aQuery.m_step;
  const Runner& runner = aCell.m_runners[aIndex.Value()];
  if (aQuery.m_acceptsQuarantined) {
    if (!IsReachable(runner, aQuery.m_service, aNow)) return &aTally.m_unusable;
  } else {
    if (!IsUsable(runner, aQuery.m_service, aNow)) return &aTally.m_unusable;
    if (IsOnProbation(aCell.m_settings, runner, aNow)) return &aTally.m_probed;
  }
  if (!HasRoom(runner, step)) return &aTally.m_full;
  if (!MeetsLabel(step, runner)) return &aTally.m_unfit;
  if (IsExcluded(aQuery, aIndex)) return &aTally.m_excluded;
  if (!step.m_bestEffort) return nullptr;
  if (!HasUnusedCores(aCell.m_settings, runner, step)) return &aTally.m_busy;
  // Its next report would pause or stop the task.
  if (runner.m_isOverTarget) return &aTally.m_overTarget;
  const BestEffortImpact effect = PredictImpact(aCell, runner, step);
  const double margin = aQuery.m_hasSlack
                            ? aCell.m_settings.m_placeMargin
                            : aCell.m_settings.m_urgentPlaceMargin;
  if (effect.m_headroom < margin) {
    return &aTally.m_overTarget;
  }
  aInterference = effect.m_added;
  return nullptr;
}

}  // namespace

RackLoads LoadsOfRacks(const Cell& aCell, const ServiceId& aService) {
  RackLoads loads;
  for (const Runner& runner : aCell.m_runners) {
    if (!runner.m_listed || runner.m_entry.m_service != aService) continue;
    RackLoad& load = loads[runner.m_rack];
    load.m_longRunningDemand += runner.m_longRunningCores;
    load.m_capacity += runner.m_entry.m_capacity.m_cores;
  }
  return loads;
}

namespace {

double RackShare(const PlacementQuery& aQuery, const Runner& aRunner) {
  if (aQuery.m_rackLoads == nullptr) return 0.0;
  const auto found = aQuery.m_rackLoads->find(aRunner.m_rack);
  if (found == aQuery.m_rackLoads->end()) return 0.0;
  return Cores(found->second.m_longRunningDemand) /
         std::max(1.0, Cores(found->second.m_capacity));
}

}  // namespace

RoomSummary SummarizeRoom(const Cell& aCell, const PlacementQuery& aQuery,
                          TimePoint aNow) {
  RoomSummary summary;
  const Resources need = TakenBy(*aQuery.m_step);
  double interference = 0.0;
  for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
    const Runner& runner = aCell.m_runners[at];
    uint32_t* reason = RejectionReason(aCell, aQuery, RunnerIndex(at), aNow,
                                       summary.m_tally, interference);
    ++(reason != nullptr ? *reason : summary.m_accepting);
    if (!IsUsable(runner, aQuery.m_service, aNow)) continue;
    const Resources free = FreeRoom(runner);
    if (free.m_cores < need.m_cores) ++summary.m_fewCores;
    if (free.m_memory < need.m_memory) ++summary.m_littleMemory;
    summary.m_free += free;
    summary.m_mostFree.m_cores =
        std::max(summary.m_mostFree.m_cores, free.m_cores);
    summary.m_mostFree.m_memory =
        std::max(summary.m_mostFree.m_memory, free.m_memory);
    summary.m_bestEffortMemory += runner.m_bestEffortMemory;
    summary.m_longRunningCores += runner.m_longRunningCores;
  }
  return summary;
}

namespace {

/** The best runner found so far. */
struct Candidate {
  RunnerIndex m_runner;
  double m_score = 0.0;
};

void ConsiderRunner(const Cell& aCell, const PlacementQuery& aQuery,
                    RunnerIndex aIndex, TimePoint aNow, PlacementTally& aTally,
                    Candidate& aBest) {
  double interference = 0.0;
  if (uint32_t* reason =
          RejectionReason(aCell, aQuery, aIndex, aNow, aTally, interference)) {
    ++*reason;
    return;
  }
  const Runner& runner = aCell.m_runners[aIndex.Value()];
  double score = Score(aCell.m_settings, runner, *aQuery.m_step) -
                 kInterferenceWeight * interference -
                 kRackBalanceWeight * RackShare(aQuery, runner);
  if (!aQuery.m_rack.empty() && runner.m_rack == aQuery.m_rack) {
    score += kRackBonus;
  }
  if (runner.m_coldUntil > aNow) score -= kColdPenalty;
  if (aIndex == aQuery.m_avoid) score -= kAvoidPenalty;
  if (!aBest.m_runner.IsValid() || score > aBest.m_score) {
    aBest = {aIndex, score};
  }
}

}  // namespace

namespace {

/** @return how many tasks of the step fit into the runner's free capacity; at
 *          most aWanted. */
uint32_t PlacesOn(const PlacementQuery& aQuery, const Runner& aRunner,
                  RunnerIndex aIndex, uint32_t aWanted) {
  const StepSpec& step = *aQuery.m_step;
  const Resources taken = TakenBy(step);
  const Resources free = FreeRoom(aRunner);
  int64_t places = aWanted;
  const auto limit = [&places](auto aFree, auto aTaken) {
    if (aTaken.Value() > 0) {
      places = std::min<int64_t>(places, aFree.Value() / aTaken.Value());
    }
  };
  limit(free.m_cores, taken.m_cores);
  limit(free.m_memory, taken.m_memory);
  limit(free.m_accelerators, taken.m_accelerators);
  if (step.m_antiAffinity > 0) {
    places = std::min<int64_t>(places,
                               step.m_antiAffinity - aQuery.m_sameStep(aIndex));
  }
  return static_cast<uint32_t>(places);
}

}  // namespace

uint32_t CountPlaces(const Cell& aCell, const PlacementQuery& aQuery,
                     uint32_t aWanted, TimePoint aNow) {
  PlacementTally tally;
  uint32_t found = 0;
  for (uint32_t at = 0; at < aCell.m_runners.size() && found < aWanted; ++at) {
    const RunnerIndex index(at);
    double interference = 0.0;
    if (uint32_t* reason =
            RejectionReason(aCell, aQuery, index, aNow, tally, interference)) {
      ++*reason;
      continue;
    }
    found += PlacesOn(aQuery, aCell.m_runners[at], index, aWanted - found);
  }
  if (aQuery.m_tally != nullptr) *aQuery.m_tally = tally;
  return found;
}

RunnerIndex ChooseRunner(const Cell& aCell, const PlacementQuery& aQuery,
                         TimePoint aNow) {
  Candidate best;
  PlacementTally tally;
  if (aQuery.m_changesFrom) {
    const auto& changes = aCell.m_roomChanges;
    for (size_t at = *aQuery.m_changesFrom; at < changes.size(); ++at) {
      ConsiderRunner(aCell, aQuery, changes[at], aNow, tally, best);
    }
  } else {
    for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
      ConsiderRunner(aCell, aQuery, RunnerIndex(at), aNow, tally, best);
    }
  }
  if (aQuery.m_tally != nullptr) *aQuery.m_tally = tally;
  return best.m_runner;
}

}  // namespace bronze::sched
