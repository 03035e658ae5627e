/**
 * @file rack_health_cmd.cpp Quarantine of workers, reaction to interference
 *                           and rate limit of evictions.
 */

#include <algorithm>

#include "core/batch/rack_internal.h"

namespace bronze {

namespace {

constexpr int kPercent = 100;
constexpr size_t kMinFailedJobsForQuarantine = 2;
// From this number of workers on, one may be quarantined even if the configured
// percentage rounds down to none.
constexpr int kMinWorkersForQuarantine = 4;
constexpr Duration kFirstProbeDelay = seconds(30);
constexpr Duration kMaxProbeDelay = std::chrono::minutes(10);

// Slowdown factors with hysteresis: above the first one a report counts as bad;
// below the second one throttling ends; in between nothing changes.
constexpr double kExcessiveSlowdown = 1.3;
constexpr double kRecoveredSlowdown = 1.1;
constexpr int kBadReportsToThrottle = 2;
constexpr int kBadReportsToEvict = 4;
constexpr int64_t kThrottledPercent = 50;  // Of the reserved cores.

/** @return whether the limit on quarantined workers allows one more. */
bool MayQuarantine(const RackOwnerState& aState) {
  const auto count = std::count_if(
      aState.m_workers.begin(), aState.m_workers.end(),
      [](const auto& aItem) { return aItem.second.m_health.m_quarantined; });
  const auto workers = static_cast<int64_t>(aState.m_workers.size());
  int64_t limit = workers * aState.m_settings.m_quarantineMaxPercent / kPercent;
  if (workers >= kMinWorkersForQuarantine &&
      aState.m_settings.m_quarantineMaxPercent > 0) {
    limit = std::max<int64_t>(limit, 1);
  }
  return count < limit;
}

/** Delay until the next probe; it doubles with each failed one. */
Duration ProbeWait(const WorkerHealth& aHealth) {
  const int doublings = std::min(aHealth.m_probesFailed, 5);
  return std::min(kFirstProbeDelay * (int64_t{1} << doublings), kMaxProbeDelay);
}

/** @return the running task that is expected to slow services down most. */
TaskId FindSuspect(const RackContext& aContext, const Worker& aWorker) {
  const RackOwnerState& state = aContext.m_state;
  const LoadLevel load = LoadLevelOf(aWorker.m_reserved, aWorker.m_total);
  TaskId suspect;
  double worst = 0.0;
  for (const TaskId& task : aWorker.m_tasks) {
    const RackTask& rackTask = state.m_tasks.at(task);
    if (rackTask.m_row.m_state != TaskState::Running ||
        rackTask.m_seen != SeenAtWorker::Running || rackTask.m_spec.m_urgent ||
        rackTask.m_evict != EvictReason::None) {
      continue;
    }
    const double extra =
        ExpectedTaskSlowdown(state.m_interference, aWorker.m_slowdowns,
                             rackTask.m_spec.m_kind, load, aContext.m_now);
    if (extra > worst) {
      worst = extra;
      suspect = task;
    }
  }
  return suspect;
}

/** Limits the task to aCores; zero restores its reserved cores. */
void Throttle(const RackContext& aContext, TaskId aTask, RackTask& aRackTask,
              Millicores aCores) {
  aRackTask.m_throttle = aCores;
  aContext.m_effects.emplace_back(ThrottleOnWorker{
      aRackTask.m_worker, aTask, aRackTask.m_row.m_token,
      aCores == Millicores(0) ? aRackTask.m_reserved.m_cores : aCores});
}

void EndThrottling(const RackContext& aContext,
                   InterferenceReaction& aReaction) {
  const auto found = aContext.m_state.m_tasks.find(aReaction.m_throttled);
  if (found != aContext.m_state.m_tasks.end()) {
    Throttle(aContext, found->first, found->second, Millicores(0));
  }
  aReaction = {};
}

void EvictForInterference(const RackContext& aContext, TaskId aTask) {
  if (aContext.m_now < aContext.m_state.m_checkpointBackoffEnd) return;
  if (!TryTakeEvictionToken(aContext.m_state, aContext.m_now)) return;
  RequestEviction(aContext, aTask, EvictReason::Interference);
}

double WorstSlowdown(const Worker& aWorker) {
  double worst = 1.0;
  for (const auto& [service, slowdown] : aWorker.m_slowdowns) {
    worst = std::max(worst, slowdown);
  }
  return worst;
}

}  // namespace

bool TryTakeEvictionToken(RackOwnerState& aState, TimePoint aNow) {
  const auto perMinute =
      static_cast<double>(aState.m_settings.m_evictionsPerMinute);
  EvictionBudget& budget = aState.m_evictionBudget;
  if (budget.m_filled == TimePoint()) {
    budget.m_tokens = perMinute;
  } else {
    const std::chrono::duration<double, std::ratio<60>> passed =
        aNow - budget.m_filled;
    budget.m_tokens =
        std::min(budget.m_tokens + passed.count() * perMinute, perMinute);
  }
  budget.m_filled = aNow;
  if (budget.m_tokens < 1.0) return false;
  budget.m_tokens -= 1.0;
  return true;
}

void RecordTaskFailure(const RackContext& aContext, Worker& aWorker,
                       TaskId aTask) {
  WorkerHealth& health = aWorker.m_health;
  const int64_t after = aContext.m_state.m_settings.m_quarantineAfter;
  ++health.m_failuresInRow;
  health.m_failedJobs.insert(aTask.m_job);
  if (health.m_quarantined) {
    // Only the probe counts; other tasks were started before the quarantine.
    if (health.m_probe == aTask) {
      ++health.m_probesFailed;
      health.m_nextProbe = aContext.m_now + ProbeWait(health);
    }
    return;
  }
  if (health.m_failuresInRow < after ||
      health.m_failedJobs.size() < kMinFailedJobsForQuarantine ||
      !MayQuarantine(aContext.m_state)) {
    return;
  }
  health.m_quarantined = true;
  health.m_nextProbe = aContext.m_now + kFirstProbeDelay;
  Count(aContext.m_counters, CounterId::WorkersQuarantined);
}

void RecordTaskSuccess(Worker& aWorker) {
  const TaskId probe = aWorker.m_health.m_probe;
  aWorker.m_health = {};
  aWorker.m_health.m_probe = probe;
}

void ReactToSlowdown(const RackContext& aContext, Worker& aWorker) {
  RackOwnerState& state = aContext.m_state;
  KindCounts kinds;
  for (const TaskId& task : aWorker.m_tasks) {
    const RackTask& rackTask = state.m_tasks.at(task);
    // A throttled task does not show the interference of its kind.
    if (rackTask.m_seen != SeenAtWorker::Running ||
        rackTask.m_throttle != Millicores(0)) {
      continue;
    }
    ++kinds[rackTask.m_spec.m_kind];
  }
  LearnSlowdowns(state.m_interference, aWorker.m_slowdowns, kinds,
                 LoadLevelOf(aWorker.m_reserved, aWorker.m_total),
                 aContext.m_now);
  InterferenceReaction& reaction = state.m_reactions[aWorker.m_id];
  const double worst = WorstSlowdown(aWorker);
  if (!state.m_hysteresis) {
    if (worst > kRecoveredSlowdown) {
      const TaskId suspect = FindSuspect(aContext, aWorker);
      if (suspect.m_job.IsValid()) EvictForInterference(aContext, suspect);
    }
    return;
  }
  if (worst < kRecoveredSlowdown) {
    EndThrottling(aContext, reaction);
    return;
  }
  if (worst < kExcessiveSlowdown) return;
  ++reaction.m_badReports;
  if (reaction.m_badReports < kBadReportsToThrottle) return;
  const auto throttled = state.m_tasks.find(reaction.m_throttled);
  if (throttled == state.m_tasks.end()) {
    const TaskId suspect = FindSuspect(aContext, aWorker);
    if (!suspect.m_job.IsValid()) return;
    reaction.m_throttled = suspect;
    reaction.m_badReports = kBadReportsToThrottle;
    RackTask& rackTask = state.m_tasks.at(suspect);
    Throttle(aContext, suspect, rackTask,
             Millicores(rackTask.m_reserved.m_cores.Value() *
                        kThrottledPercent / kPercent));
    return;
  }
  if (reaction.m_badReports >= kBadReportsToEvict) {
    EvictForInterference(aContext, reaction.m_throttled);
  }
}

}  // namespace bronze
