/**
 * @file preemption_cmd.cpp Stops a less urgent task to make room for a more
 * urgent one.
 */

#include "core/sched/preemption_cmd.h"

#include <fmt/format.h>

namespace bronze::sched {

namespace {

/** Minimum wait before preemption. Short tasks end every few hundred
 *  milliseconds, which often makes room without it. */
constexpr Duration kPreemptAfter = milliseconds(250);
/** Pause between two stops for one task: a stop takes up to 400 ms, and its
 *  end has to be reported. */
constexpr Duration kPreemptPause = seconds(1);
/** Pause after a search for one step that found no task to stop. */
constexpr Duration kSearchPause = milliseconds(500);
/** Share of its work so far that a task with checkpoints loses. */
constexpr double kLostWithCheckpoints = 0.3;

struct Victim {
  TaskKey m_key;
  double m_lostWork = 0.0;  ///< In millicore-microseconds.
  bool m_found = false;
};

bool MayBeStopped(const TaskPlace& aVictim, int aPriority) {
  return aVictim.m_task != nullptr &&
         aVictim.m_job->m_spec.m_policy.m_priority > aPriority &&
         aVictim.m_task->m_phase == TaskPhase::Running &&
         !aVictim.m_step->m_longRunning;
}

double LostWork(const TaskPlace& aVictim, TimePoint aNow) {
  const StepSpec& step = *aVictim.m_step;
  const double lostShare = step.m_savesProgress ? kLostWithCheckpoints : 1.0;
  const double tasks = step.m_gang ? static_cast<double>(step.m_count) : 1.0;
  const Duration ran = aNow - aVictim.m_task->m_phaseSince;
  return lostShare * tasks * static_cast<double>(ran.count()) *
         static_cast<double>(step.m_need.m_cores.Value());
}

/** Compares the tasks of one runner with the best candidate so far. */
void ConsiderRunner(Cell& aCell, const Runner& aRunner, const StepSpec& aStep,
                    int aPriority, TimePoint aNow, Victim& aBest) {
  const Resources free = FreeRoom(aRunner);
  for (const TaskKey& key : aRunner.m_tasks) {
    const TaskPlace victim = FindTask(aCell, key);
    if (!MayBeStopped(victim, aPriority)) continue;
    if (!Fits(TakenBy(aStep), free + TakenBy(*victim.m_step))) continue;
    const double lost = LostWork(victim, aNow);
    if (aBest.m_found && lost >= aBest.m_lostWork) continue;
    aBest = {key, lost, true};
  }
}

}  // namespace

namespace {

/** @return whether a task was stopped for this one. */
bool PreemptForTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                    const PlacementQuery& aQuery, TimePoint aNow) {
  Task& task = *aPlace.m_task;
  const int priority = aPlace.m_job->m_spec.m_policy.m_priority;
  Victim victim;
  for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
    const Runner& runner = aCell.m_runners[at];
    if (!IsUsable(runner, aQuery.m_service, aNow)) continue;
    if (!Fits(TakenBy(*aPlace.m_step), runner.m_entry.m_capacity)) continue;
    if (!MeetsConstraints(aQuery, runner, RunnerIndex(at))) continue;
    ConsiderRunner(aCell, runner, *aPlace.m_step, priority, aNow, victim);
  }
  if (!victim.m_found) return false;
  task.m_preemptedAt = aNow;
  ++aCell.m_counts.m_preemptions;
  LogDecision(
      aCell,
      fmt::format("preempts for a more urgent task task={} for={} priority={}",
                  TaskText(victim.m_key), TaskText(aKey), priority));
  StopRun(aCell, victim.m_key, FindTask(aCell, victim.m_key), aNow);
  return true;
}

/** Delays the next search for the step after one found no task to stop. A
 *  search examines all runs of the cell, and with a long queue each pass would
 *  repeat it. */
void PauseSearch(Cell& aCell, const QueueKey& aKey, const StepSpec& aStep,
                 TimePoint aNow) {
  for (uint32_t index = 0; index < aStep.m_count; ++index) {
    const TaskKey key{aKey.m_job, aKey.m_occurrence, aKey.m_step, index};
    FindTask(aCell, key).m_task->m_preemptedAt =
        aNow - kPreemptPause + kSearchPause;
  }
}

}  // namespace

uint32_t PreemptForStep(Cell& aCell, const QueueKey& aKey,
                        const PlacementQuery& aQuery, TimePoint aNow) {
  uint32_t searches = 0;
  for (uint32_t index = 0; index < aQuery.m_step->m_count; ++index) {
    const TaskKey key{aKey.m_job, aKey.m_occurrence, aKey.m_step, index};
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task->m_phase != TaskPhase::Ready) continue;
    if (aNow - place.m_task->m_phaseSince < kPreemptAfter) break;
    if (aNow - place.m_task->m_preemptedAt < kPreemptPause) continue;
    ++searches;
    if (PreemptForTask(aCell, key, place, aQuery, aNow)) continue;
    PauseSearch(aCell, aKey, *aQuery.m_step, aNow);
    break;
  }
  return searches;
}

}  // namespace bronze::sched
