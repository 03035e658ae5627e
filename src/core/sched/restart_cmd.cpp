/**
 * @file restart_cmd.cpp Restarts of long-running tasks that lost their run.
 */

#include "core/sched/restart_cmd.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "core/sched/name_func.h"
#include "core/sched/order_window_func.h"
#include "core/sched/placement_cmd.h"

namespace bronze::sched {

namespace {

/** Failed searches per call; each examines all runners. */
constexpr uint32_t kMaxFailedSearches = 8;

/** @return the tasks in TaskPhase::Ready that are restarts, in the order of the
 *  queue. */
std::vector<TaskKey> WaitingRestarts(const Cell& aCell) {
  std::vector<TaskKey> waiting;
  for (const QueueKey& key : aCell.m_queue) {
    const Job& job = aCell.m_jobs.at(key.m_job);
    const StepSpec& step = job.m_spec.m_steps[key.m_step];
    if (!step.m_longRunning) continue;
    const Task* first = &job.m_occurrences.at(key.m_occurrence)
                             .m_tasks[job.m_stepOffset[key.m_step]];
    for (uint32_t index = 0; index < step.m_count; ++index) {
      const Task& task = first[index];
      if (task.m_phase != TaskPhase::Ready || !IsRestart(step, task)) continue;
      waiting.push_back({key.m_job, key.m_occurrence, key.m_step, index});
    }
  }
  return waiting;
}

/** Whether a search that accepts runners in quarantine may find more. */
bool HasQuarantinedRunner(const Cell& aCell) {
  return std::any_of(
      aCell.m_runners.begin(), aCell.m_runners.end(),
      [](const Runner& aRunner) { return aRunner.m_quarantineCount > 0; });
}

/** @return whether the task was placed. */
bool PlaceInQuarantine(Cell& aCell, const TaskKey& aKey,
                       const TaskPlace& aPlace, TimePoint aNow) {
  const QueueKey queued =
      QueueKeyOf(*aPlace.m_job, aKey.m_occurrence, aKey.m_step);
  PlacementQuery query =
      QueryFor(aCell, queued, *aPlace.m_job, *aPlace.m_step, aNow);
  query.m_avoid = aPlace.m_task->m_avoid;
  query.m_acceptsQuarantined = true;
  const RunnerIndex runner = ChooseRunner(aCell, query, aNow);
  if (!runner.IsValid()) return false;
  LogDecision(
      aCell, fmt::format("restarts on a runner in quarantine task={} runner={} "
                         "waited_ms={}",
                         TaskText(aKey),
                         aCell.m_runners[runner.Value()].m_entry.m_id.Value(),
                         (aNow - aPlace.m_task->m_phaseSince).count() / 1000));
  ++aCell.m_counts.m_restartsInQuarantine;
  Reserve(aCell, aKey, *aPlace.m_step, *aPlace.m_task, runner);
  MarkIntended(aCell, aPlace, aPlace.m_task->m_run.Next(), aNow);
  LeaveQueueIfIdle(aCell, aKey, aPlace);
  return true;
}

Duration LongestWait(const Cell& aCell, const std::vector<TaskKey>& aWaiting,
                     TimePoint aNow) {
  Duration longest = Duration::zero();
  for (const TaskKey& key : aWaiting) {
    longest = std::max(longest, aNow - TaskAt(aCell, key).m_phaseSince);
  }
  return longest;
}

/** Logs how many restarts wait; one line a second. */
void LogRestartWait(Cell& aCell, const std::vector<TaskKey>& aWaiting,
                    TimePoint aNow) {
  constexpr Duration kMinLoggedWait = seconds(1);
  constexpr Duration kLogInterval = seconds(1);
  if (aNow - aCell.m_restartWaitLoggedAt < kLogInterval) return;
  const Duration longest = LongestWait(aCell, aWaiting, aNow);
  if (longest < kMinLoggedWait) return;
  aCell.m_restartWaitLoggedAt = aNow;
  LogDecision(aCell, fmt::format("long-running tasks without a run count={} "
                                 "longest_ms={} first={}",
                                 aWaiting.size(), longest.count() / 1000,
                                 TaskText(aWaiting.front())));
}

}  // namespace

Duration LongestRestartWait(const Cell& aCell, TimePoint aNow) {
  return LongestWait(aCell, WaitingRestarts(aCell), aNow);
}

void PlaceOverdueRestarts(Cell& aCell, TimePoint aNow) {
  const std::vector<TaskKey> waiting = WaitingRestarts(aCell);
  if (waiting.empty()) return;
  LogRestartWait(aCell, waiting, aNow);
  if (!HasQuarantinedRunner(aCell)) return;
  uint32_t failed = 0;
  for (const TaskKey& key : waiting) {
    if (!HasRoom(aCell.m_window) || failed >= kMaxFailedSearches) return;
    const TaskPlace place = FindTask(aCell, key);
    // A gang is placed whole or not at all.
    if (place.m_step->m_gang) continue;
    if (aNow - place.m_task->m_phaseSince < kMaxQuarantineWait) continue;
    if (!PlaceInQuarantine(aCell, key, place, aNow)) ++failed;
  }
}

}  // namespace bronze::sched
