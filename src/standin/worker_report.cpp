/**
 * @file worker_report.cpp The report of a simulated worker.
 */

#include <algorithm>

#include "standin/fault_func.h"
#include "standin/worker_func.h"

namespace bronze {

WorkerReport ReportOf(const StandinState& aState, const WorkerState& aWorker,
                      TimePoint aNow) {
  const TimePoint then = aNow - aState.m_settings.m_reportLag;
  WorkerReport report;
  report.m_worker = aWorker.m_id;
  for (const auto& [task, run] : aWorker.m_runs) {
    if (run.m_startedAt > then) continue;
    WorkerTaskReport item;
    item.m_task = task;
    item.m_token = run.m_token;
    item.m_usage = run.m_unthrottledUse;
    item.m_usage.m_cores =
        std::min(run.m_unthrottledUse.m_cores, run.m_coreLimit);
    item.m_checkpoint = run.m_checkpoint;
    if (run.m_state != WorkerTaskState::Running && run.m_endedAt <= then) {
      item.m_state = run.m_state;
      item.m_message = run.m_message;
      item.m_usage = {};
    }
    report.m_tasks.push_back(std::move(item));
  }
  for (const auto& [kind, settings] : aState.m_settings.m_requestKinds) {
    report.m_slowdowns.emplace_back(kind, SlowdownOf(aState, aWorker, kind));
  }
  return report;
}

double SlowdownOf(const StandinState& aState, const WorkerState& aWorker,
                  const KindId& aRequestKind) {
  double slowdown = 1.0;
  for (const auto& [task, run] : aWorker.m_runs) {
    if (run.m_state != WorkerTaskState::Running) continue;
    const auto found =
        aState.m_settings.m_interference.find({aRequestKind, run.m_kind});
    if (found == aState.m_settings.m_interference.end()) continue;
    // The slowdown that a task causes is proportional to the cores it uses.
    const double share =
        run.m_coreLimit >= run.m_unthrottledUse.m_cores
            ? 1.0
            : static_cast<double>(run.m_coreLimit.Value()) /
                  static_cast<double>(run.m_unthrottledUse.m_cores.Value());
    slowdown += (found->second - 1.0) * share;
  }
  const Fault* const noisy = FindFault(
      aState.m_faults, FaultKind::NoisyNeighbour, aWorker.m_id.Value());
  return noisy != nullptr ? slowdown * noisy->m_factor : slowdown;
}

Resources ReservedResources(const WorkerState& aWorker) {
  Resources reserved;
  for (const auto& [task, run] : aWorker.m_runs) {
    if (run.m_state == WorkerTaskState::Running) reserved += run.m_declared;
  }
  return reserved;
}

}  // namespace bronze
