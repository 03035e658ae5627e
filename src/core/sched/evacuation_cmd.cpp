/**
 * @file evacuation_cmd.cpp Data centres that the operators evacuate.
 */

#include "core/sched/evacuation_cmd.h"

#include <fmt/format.h>

#include <utility>

#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

EvacuationProgress ProgressOf(const Cell& aCell,
                              const DataCentreId& aDataCentre) {
  EvacuationProgress progress;
  progress.m_dataCentre = aDataCentre;
  for (const Runner& runner : aCell.m_runners) {
    if (runner.m_entry.m_dataCentre != aDataCentre) continue;
    if (runner.m_listed) ++progress.m_runners;
    progress.m_tasks += static_cast<uint32_t>(runner.m_tasks.size());
  }
  return progress;
}

void LogRequested(Cell& aCell, const DataCentreId& aDataCentre) {
  const EvacuationProgress progress = ProgressOf(aCell, aDataCentre);
  LogDecision(aCell, fmt::format("evacuates data_centre={} runners={} tasks={}",
                                 aDataCentre.Value(), progress.m_runners,
                                 progress.m_tasks));
}

void LogWithdrawn(Cell& aCell, const DataCentreId& aDataCentre) {
  const EvacuationProgress progress = ProgressOf(aCell, aDataCentre);
  LogDecision(
      aCell,
      fmt::format("evacuation withdrawn data_centre={} runners={} tasks={}",
                  aDataCentre.Value(), progress.m_runners, progress.m_tasks));
}

}  // namespace

bool IsUnderEvacuation(const Cell& aCell, const RunnerEntry& aEntry) {
  return aCell.m_evacuations.count(aEntry.m_dataCentre) > 0;
}

void SetEvacuations(Cell& aCell, std::set<DataCentreId> aDataCentres) {
  if (aDataCentres == aCell.m_evacuations) return;
  const std::set<DataCentreId> before =
      std::exchange(aCell.m_evacuations, std::move(aDataCentres));
  for (const DataCentreId& dataCentre : aCell.m_evacuations) {
    if (before.count(dataCentre) > 0) continue;
    LogRequested(aCell, dataCentre);
  }
  for (const DataCentreId& dataCentre : before) {
    if (aCell.m_evacuations.count(dataCentre) > 0) continue;
    LogWithdrawn(aCell, dataCentre);
  }
  for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
    Runner& runner = aCell.m_runners[at];
    const bool wasEvacuated = runner.m_evacuated;
    runner.m_evacuated = IsUnderEvacuation(aCell, runner.m_entry);
    if (wasEvacuated && !runner.m_evacuated) {
      NoteRoomChange(aCell, RunnerIndex(at));
    }
  }
}

std::vector<EvacuationProgress> EvacuationsOf(const Cell& aCell) {
  std::vector<EvacuationProgress> all;
  for (const DataCentreId& dataCentre : aCell.m_evacuations) {
    all.push_back(ProgressOf(aCell, dataCentre));
  }
  return all;
}

}  // namespace bronze::sched
