/**
 * @file route_cmd.cpp Which cell schedules a job.
 */

#include "core/sched/route_cmd.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <set>

#include "core/sched/cell_layout_func.h"
#include "core/sched/placement_func.h"
#include "core/sched/stored_size_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Cells beside the home that are compared for a job. Published loads are up to
 *  half a second old: if all homes chose the least loaded of all cells, that
 * one would get all jobs of this time. */
constexpr uint64_t kCandidates = 3;
/** Least difference of loads, in thousandths, that is worth a route. */
constexpr uint32_t kMinGain = 80;
constexpr uint64_t kThousandths = 1000;

bool IsLongRunning(const JobSpec& aSpec) {
  return aSpec.m_steps.front().m_longRunning;
}

bool IsBestEffort(const JobSpec& aSpec) {
  return aSpec.m_steps.front().m_bestEffort;
}

/** Cores of the widest step: steps that follow each other share them. */
uint64_t CoresOf(const JobSpec& aSpec) {
  uint64_t widest = 0;
  for (const StepSpec& step : aSpec.m_steps) {
    widest = std::max(widest, step.m_count * static_cast<uint64_t>(
                                                 step.m_need.m_cores.Value()));
  }
  return widest;
}

uint32_t Share(uint64_t aCores, uint64_t aOf) {
  // A cell without usable runners has no capacity, but jobs that wait.
  return static_cast<uint32_t>(
      std::min<uint64_t>(aCores * kThousandths / std::max<uint64_t>(1, aOf),
                         std::numeric_limits<uint32_t>::max() / 2));
}

/** Load that competes with the job for room. */
uint32_t CompetingLoad(const CellLoad& aLoad, const JobSpec& aSpec) {
  if (IsBestEffort(aSpec)) return aLoad.m_bestEffort + aLoad.m_short;
  if (IsLongRunning(aSpec)) return aLoad.m_longRunning;
  return aLoad.m_longRunning + aLoad.m_short;
}

/** Whether the cell has runners of all kinds that the job requires. */
bool HasKinds(const CellLoad& aLoad, const JobSpec& aSpec) {
  return aLoad.m_cores > 0 &&
         std::all_of(aSpec.m_steps.begin(), aSpec.m_steps.end(),
                     [&](const StepSpec& aStep) {
                       return aStep.m_requiredLabel.empty() ||
                              std::binary_search(aLoad.m_kinds.begin(),
                                                 aLoad.m_kinds.end(),
                                                 aStep.m_requiredLabel);
                     });
}

std::string_view RackOf(const JobSpec& aSpec) {
  for (const StepSpec& step : aSpec.m_steps) {
    if (!step.m_affinityRack.empty()) return step.m_affinityRack;
  }
  return {};
}

}  // namespace

/** Of a heartbeat without labels: its numbers, and the name and address of the
 *  owner, of at most 200 bytes each. */
constexpr size_t kHeartbeatFrame = 600;

CellLoad LoadOf(const Cell& aCell) {
  uint64_t longRunning = 0;
  uint64_t shortCores = 0;
  uint64_t bestEffort = 0;
  CellLoad load;
  std::set<std::string> kinds;
  for (const Runner& runner : aCell.m_runners) {
    // What runs there competes with nothing that could be placed.
    if (runner.m_evacuated) continue;
    longRunning += static_cast<uint64_t>(runner.m_longRunningCores.Value());
    shortCores += static_cast<uint64_t>(
        (runner.m_reserved.m_cores - runner.m_longRunningCores).Value());
    bestEffort += static_cast<uint64_t>(runner.m_bestEffortCores.Value());
    if (!IsOpen(runner)) continue;
    load.m_cores +=
        static_cast<uint64_t>(runner.m_entry.m_capacity.m_cores.Value());
    kinds.insert(runner.m_entry.m_labels.begin(),
                 runner.m_entry.m_labels.end());
  }
  for (const QueueKey& key : aCell.m_queue) {
    const Job& job = aCell.m_jobs.at(key.m_job);
    const StepSpec& step = job.m_spec.m_steps[key.m_step];
    const auto waiting = static_cast<uint64_t>(WaitingCores(job, key).Value());
    (step.m_longRunning  ? longRunning
     : step.m_bestEffort ? bestEffort
                         : shortCores) += waiting;
  }
  load.m_longRunning = Share(longRunning, load.m_cores);
  load.m_short = Share(shortCores, load.m_cores);
  load.m_bestEffort = Share(bestEffort, load.m_cores);
  // The load is part of the heartbeat, without which the cell has no owner. A
  // label that is left out only keeps new jobs that require it in their home.
  size_t room = aCell.m_settings.m_rowBytes - kHeartbeatFrame;
  for (const std::string& kind : kinds) {
    const size_t bytes = TextBytesBound(kind);
    if (bytes > room) continue;
    room -= bytes;
    load.m_kinds.push_back(kind);
  }
  return load;
}

namespace {

uint32_t& LoadFor(CellLoad& aLoad, const JobSpec& aSpec) {
  return IsLongRunning(aSpec)  ? aLoad.m_longRunning
         : IsBestEffort(aSpec) ? aLoad.m_bestEffort
                               : aLoad.m_short;
}

}  // namespace

void AddJob(CellLoad& aLoad, const JobSpec& aSpec) {
  LoadFor(aLoad, aSpec) += Share(CoresOf(aSpec), aLoad.m_cores);
}

void SubtractJob(CellLoad& aLoad, const JobSpec& aSpec) {
  uint32_t& load = LoadFor(aLoad, aSpec);
  load -= std::min(load, Share(CoresOf(aSpec), aLoad.m_cores));
}

std::optional<CellId> LeastLoadedCell(CellId aOwn,
                                      const std::vector<CellLoad>& aLoads,
                                      const JobSpec& aSpec, uint32_t aMinGain) {
  std::optional<CellId> best;
  uint32_t bestLoad = CompetingLoad(aLoads[aOwn.Value()], aSpec);
  bestLoad -= std::min(bestLoad, aMinGain);
  // A cell that cannot run the job is worse than any other.
  if (!HasKinds(aLoads[aOwn.Value()], aSpec)) {
    bestLoad = std::numeric_limits<uint32_t>::max();
  }
  for (uint32_t at = 0; at < aLoads.size(); ++at) {
    const CellId cell(at);
    if (cell == aOwn || !HasKinds(aLoads[at], aSpec)) continue;
    const uint32_t competing = CompetingLoad(aLoads[at], aSpec);
    if (competing >= bestLoad) continue;
    best = cell;
    bestLoad = competing;
  }
  return best;
}

CellId ChooseCell(CellId aOwn, const std::vector<CellLoad>& aLoads,
                  const JobSpec& aSpec) {
  const CellLayout layout{static_cast<uint32_t>(aLoads.size())};
  const std::string_view rack = RackOf(aSpec);
  if (!rack.empty()) {
    const CellId cell = CellOfRack(layout, rack);
    if (HasKinds(aLoads[cell.Value()], aSpec)) return cell;
  }
  CellId best = aOwn;
  uint32_t bestLoad = CompetingLoad(aLoads[aOwn.Value()], aSpec);
  const bool mustMove = !HasKinds(aLoads[aOwn.Value()], aSpec);
  bool found = false;
  const uint64_t id = aSpec.m_id.Value();
  // If the home cannot run the job, each other cell is a candidate.
  const uint64_t candidates = mustMove ? layout.m_cells : kCandidates;
  for (uint64_t at = 0; at < candidates; ++at) {
    const uint64_t drawn = XXH3_64bits_withSeed(&id, sizeof id, at + 1);
    const CellId cell(static_cast<uint32_t>(
        (mustMove ? aOwn.Value() + at : drawn) % layout.m_cells));
    const CellLoad& load = aLoads[cell.Value()];
    if (cell == aOwn || !HasKinds(load, aSpec)) continue;
    const uint32_t competing = CompetingLoad(load, aSpec);
    const bool gains = mustMove ? !found || competing < bestLoad
                                : competing + kMinGain < bestLoad;
    if (!gains || (found && competing >= bestLoad)) continue;
    best = cell;
    bestLoad = competing;
    found = true;
  }
  return best;
}

void RouteJob(Cell& aCell, JobId aJob, CellId aTarget, TimePoint aNow) {
  aCell.m_routes[aJob] = {aTarget, false, 0, aNow};
  aCell.m_dirtyRoutes.insert(aJob);
  ++aCell.m_counts.m_jobsRouted;
}

std::optional<CellId> StoredRouteOf(const Cell& aCell, JobId aJob) {
  const auto found = aCell.m_routes.find(aJob);
  if (found == aCell.m_routes.end() || !found->second.m_stored) return {};
  return found->second.m_cell;
}

void RestoreRoute(Cell& aCell, const StoredRoute& aRoute, TimePoint aNow) {
  aCell.m_routes[aRoute.m_job] = {aRoute.m_cell, true, aRoute.m_moveCount,
                                  aNow};
}

std::optional<StoredRoute> NextRouteToCheck(Cell& aCell, TimePoint aNow) {
  for (auto& [job, route] : aCell.m_routes) {
    const bool due = aNow - route.m_since > aCell.m_settings.m_statusRetention;
    if (!route.m_stored || !due) continue;
    route.m_since = aNow;
    return StoredRoute{job, route.m_cell, route.m_moveCount};
  }
  return {};
}

void RemoveRoute(Cell& aCell, JobId aJob) {
  if (aCell.m_routes.erase(aJob) == 0) return;
  aCell.m_dirtyRoutes.erase(aJob);
  aCell.m_removedRoutes.push_back(aJob);
}

}  // namespace bronze::sched
