/**
 * @file placement_cmd.cpp Builds the query for a runner and assigns the chosen
 * one.
 */

#include "core/sched/placement_cmd.h"

#include <algorithm>

#include "core/sched/advice_cmd.h"
#include "core/sched/job_cmd.h"
#include "core/sched/restart_cmd.h"

namespace bronze::sched {

namespace {

uint32_t TasksOfStepOn(const Cell& aCell, const QueueKey& aKey,
                       RunnerIndex aRunner) {
  const auto& tasks = aCell.m_runners[aRunner.Value()].m_tasks;
  return static_cast<uint32_t>(
      std::count_if(tasks.begin(), tasks.end(), [&](const TaskKey& aTask) {
        return aTask.m_job == aKey.m_job &&
               aTask.m_occurrence == aKey.m_occurrence &&
               aTask.m_step == aKey.m_step;
      }));
}

}  // namespace

void MarkIntended(Cell& aCell, const TaskPlace& aPlace, RunNumber aRun,
                  TimePoint aNow) {
  Task& task = *aPlace.m_task;
  if (IsRestart(*aPlace.m_step, task)) {
    aCell.m_counts.m_longestRestartWait =
        std::max(aCell.m_counts.m_longestRestartWait, aNow - task.m_phaseSince);
  }
  task.m_phase = TaskPhase::Intended;
  ++aCell.m_window.m_intended;
  task.m_phaseSince = aNow;
  aCell.m_runners[task.m_runner.Value()].m_lastPlacedAt = aNow;
  task.m_run = aRun;
  task.m_percent = 0;
  task.m_pace = kFullPace;
  task.m_decidedAt.reset();
  MarkChanged(aCell, *aPlace.m_job);
  task.m_intentVersion = aPlace.m_job->m_version;
}

PlacementQuery QueryFor(const Cell& aCell, const QueueKey& aKey,
                        const Job& aJob, const StepSpec& aStep,
                        TimePoint aNow) {
  PlacementQuery query;
  query.m_step = &aStep;
  query.m_service = ServiceOf(aCell, aJob.m_spec);
  query.m_rack = aStep.m_affinityRack;
  query.m_hasSlack = HasSlack(aStep, aKey.m_due, aNow);
  if (aJob.m_spec.m_policy.m_advice) {
    const StepKey stepKey{aKey.m_job, aKey.m_occurrence, aKey.m_step};
    query.m_isApproved = [&aCell, stepKey, aNow](RunnerIndex aRunner) {
      return ApprovalOf(aCell, stepKey, aRunner, aNow) != nullptr;
    };
  }
  query.m_sameStep = [&aCell, &aKey](RunnerIndex aRunner) {
    return TasksOfStepOn(aCell, aKey, aRunner);
  };
  return query;
}

}  // namespace bronze::sched
