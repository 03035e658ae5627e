/**
 * @file runner_report_cmd.cpp Processes the runs and ends in a runner's report.
 */

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/failed_runs_func.h"
#include "core/sched/lease_func.h"
#include "core/sched/pacing_func.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/runner_internal.h"

namespace bronze::sched {

namespace {

/** Weight of the newest run in a runner's slowness. */
constexpr double kSlownessWeight = 0.25;
/** Limit of the ratio of run time to estimate: estimates are rough, and a few
 *  runs take much longer than the rest. */
constexpr double kSlownessCap = 6.0;
/** While its clock, which starts at zero, is below this, an instance may still
 *  execute an order to an earlier one. */
constexpr RunnerMillis kRecentStart(
    std::chrono::duration_cast<milliseconds>(kMaxOrderDelay).count());

/** @return how much longer a report took than the one before it. */
Duration ReportLag(const Runner& aRunner, RunnerMillis aClock, TimePoint aNow) {
  const Duration onClock = milliseconds((aClock - aRunner.m_clock).Value());
  const Duration elapsed = LeastClockAdvance(aNow - aRunner.m_clockAt);
  return std::max(Duration::zero(), elapsed - onClock);
}

void NoteSuccess(Runner& aRunner, const TaskPlace& aPlace, TimePoint aNow) {
  aRunner.m_failuresInRow = 0;
  aRunner.m_quarantineCount = 0;
  const Duration estimate = aPlace.m_step->m_estimate;
  if (estimate.count() <= 0 || aPlace.m_step->m_bestEffort) return;
  const double ratio = std::min(
      kSlownessCap,
      static_cast<double>((aNow - aPlace.m_task->m_phaseSince).count()) /
          static_cast<double>(estimate.count()));
  aRunner.m_slowness += kSlownessWeight * (ratio - aRunner.m_slowness);
}

bool IsInQuarantine(const Runner& aRunner, TimePoint aNow) {
  return aRunner.m_quarantineCount > 0 && aRunner.m_quarantinedUntil > aNow;
}

size_t QuarantinedRunners(const Cell& aCell, TimePoint aNow) {
  return static_cast<size_t>(std::count_if(
      aCell.m_runners.begin(), aCell.m_runners.end(),
      [aNow](const Runner& aRunner) { return IsInQuarantine(aRunner, aNow); }));
}

void Quarantine(Cell& aCell, Runner& aRunner, TimePoint aNow,
                std::string_view aReason) {
  if (IsInQuarantine(aRunner, aNow)) return;
  const auto limit =
      static_cast<size_t>(aCell.m_settings.m_maxQuarantineShare *
                          static_cast<double>(aCell.m_runners.size()));
  if (QuarantinedRunners(aCell, aNow) >= limit) return;
  aRunner.m_quarantineCount = std::min(aRunner.m_quarantineCount + 1, 3U);
  aRunner.m_quarantinedUntil =
      aNow + aCell.m_settings.m_quarantine * aRunner.m_quarantineCount;
  // One more failure, after the quarantine, is enough to repeat it.
  aRunner.m_failuresInRow = aCell.m_settings.m_failuresToQuarantine - 1;
  ++aCell.m_counts.m_quarantines;
  LogDecision(aCell, fmt::format("runner quarantined runner={} by={} count={}",
                                 aRunner.m_entry.m_id.Value(), aReason,
                                 aRunner.m_quarantineCount));
}

/** @return the task that has the failed runs: for a member of a gang the first
 *          one, as the members share each run and fail together. */
TaskPlace FailureCounter(Cell& aCell, const TaskKey& aKey,
                         const TaskPlace& aPlace) {
  if (!aPlace.m_step->m_gang) return aPlace;
  TaskKey first = aKey;
  first.m_index = 0;
  return FindTask(aCell, first);
}

void FailTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
              const EndRow& aEnd, Runner& aRunner, TimePoint aNow) {
  Task& task = *aPlace.m_task;
  const bool isCurrent = HasPlace(task.m_phase) && task.m_run == aEnd.m_run;
  const TaskPlace counter = FailureCounter(aCell, aKey, aPlace);
  const bool isNew = AddFailedRun(counter.m_task->m_failedRuns, aEnd.m_run);
  // The end is listed again, or it is that of another member of the gang.
  if (!isNew && !isCurrent) return;
  MarkTaskChanged(counter);
  MarkChanged(aCell, *aPlace.m_job);
  if (++aRunner.m_failuresInRow >= aCell.m_settings.m_failuresToQuarantine) {
    Quarantine(aCell, aRunner, aNow, "failures");
  }
  if (isCurrent) {
    task.m_avoid = task.m_runner;
    Requeue(aCell, aKey, aPlace, aNow);
  }
  if (aPlace.m_step->m_longRunning) return;
  const uint32_t failures = counter.m_task->m_failedRuns.m_count;
  if (failures >= aPlace.m_job->m_spec.m_policy.m_maxAttempts) {
    LogDecision(aCell, fmt::format("job failed task={} failures={}",
                                   TaskText(aKey), failures));
    EndJob(aCell, *aPlace.m_job, JobPhase::Failed, aNow);
  }
}

/** Run aRun of the task, or of its gang, has succeeded, so another one is not
 *  needed. FinishTask releases its resources here, but on the runner they are
 * in use until it has stopped. */
void SupersedeOtherRun(Cell& aCell, const TaskKey& aKey, const Task& aTask,
                       RunNumber aRun, TimePoint aNow) {
  if (!HasPlace(aTask.m_phase) || aTask.m_run == aRun) return;
  if (aTask.m_phase == TaskPhase::Intended) return;
  AddStopOrder(aCell, aKey, aTask.m_run, aTask.m_runner);
  aCell.m_runners[aTask.m_runner.Value()].m_supersededRuns.push_back(
      {aKey, aTask.m_run, aNow, aNow, aTask.m_decidedAt});
}

/** Finishes the task; the success of one member is that of the whole gang. */
void FinishStep(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                RunNumber aRun, TimePoint aNow) {
  if (!aPlace.m_step->m_gang) {
    SupersedeOtherRun(aCell, aKey, *aPlace.m_task, aRun, aNow);
    FinishTask(aCell, aKey, aPlace, aNow);
    return;
  }
  for (uint32_t index = 0; index < aPlace.m_step->m_count; ++index) {
    TaskKey key = aKey;
    key.m_index = index;
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    SupersedeOtherRun(aCell, key, *place.m_task, aRun, aNow);
    FinishTask(aCell, key, place, aNow);
  }
}

void ApplyEnd(Cell& aCell, RunnerIndex aIndex, const EndRow& aEnd,
              TimePoint aNow) {
  Runner& runner = aCell.m_runners[aIndex.Value()];
  ++aCell.m_counts.m_endsByKind[static_cast<size_t>(aEnd.m_kind)];
  const TaskPlace place = FindTask(aCell, aEnd.m_task);
  if (place.m_task == nullptr) {
    // The occurrence may have ended by another report a moment ago.
    const auto job = aCell.m_jobs.find(aEnd.m_task.m_job);
    runner.m_unstoredEnds.push_back(
        {aEnd.m_number, aEnd.m_task.m_job,
         job == aCell.m_jobs.end() ? 0 : job->second.m_version});
    return;
  }
  Task& task = *place.m_task;
  const bool isCurrent = HasPlace(task.m_phase) && task.m_run == aEnd.m_run &&
                         task.m_runner == aIndex;
  if (aEnd.m_kind != EndKind::Done || !isCurrent) {
    LogDecision(
        aCell,
        fmt::format("run ended task={} run={} runner={} kind={} current={}",
                    TaskText(aEnd.m_task), aEnd.m_run.Value(),
                    runner.m_entry.m_id.Value(), static_cast<int>(aEnd.m_kind),
                    isCurrent));
  }
  const bool canEnd = !place.m_step->m_longRunning;
  if (aEnd.m_kind == EndKind::Done && canEnd) {
    if (isCurrent && task.m_phase == TaskPhase::Running) {
      NoteSuccess(runner, place, aNow);
    }
    FinishStep(aCell, aEnd.m_task, place, aEnd.m_run, aNow);
  } else if (aEnd.m_kind == EndKind::Failed &&
             task.m_phase != TaskPhase::Done) {
    FailTask(aCell, aEnd.m_task, place, aEnd, runner, aNow);
  } else if (isCurrent) {
    if (!aEnd.m_checkpoint.empty()) task.m_checkpoint = aEnd.m_checkpoint;
    Requeue(aCell, aEnd.m_task, place, aNow);
  }
  runner.m_unstoredEnds.push_back(
      {aEnd.m_number, aEnd.m_task.m_job, place.m_job->m_version});
}

/** A listed run is confirmed, whatever the outcome of its order was. */
void ApplyRunning(Cell& aCell, RunnerIndex aIndex, const RunningRow& aRow,
                  TimePoint aNow) {
  const TaskPlace place = FindTask(aCell, aRow.m_task);
  const bool isCurrent =
      place.m_task != nullptr && HasPlace(place.m_task->m_phase) &&
      place.m_task->m_runner == aIndex && place.m_task->m_run == aRow.m_run;
  if (!isCurrent) {
    Runner& runner = aCell.m_runners[aIndex.Value()];
    if (FindSupersededRun(runner, aRow.m_task, aRow.m_run) != nullptr) return;
    // No stored state asks for this run: an order was executed late, or the
    // task has ended since.
    AddStopOrder(aCell, aRow.m_task, aRow.m_run, aIndex);
    runner.m_hasUnknownRuns = true;
    return;
  }
  Task& task = *place.m_task;
  if (task.m_phase == TaskPhase::Starting ||
      task.m_phase == TaskPhase::Recovering ||
      (task.m_phase == TaskPhase::StartUnanswered && !task.m_decidedAt)) {
    ConfirmRun(aCell, place, aNow);
  }
  if (!aRow.m_checkpoint.empty()) task.m_checkpoint = aRow.m_checkpoint;
  // A long-running task reports 100 percent while it works.
  const bool atWork = place.m_step->m_longRunning && aRow.m_percent >= 100;
  if (aRow.m_percent > task.m_percent || atWork) task.m_progressAt = aNow;
  task.m_percent = aRow.m_percent;
  task.m_measure = aRow.m_measure;
}

bool IsListed(const RunnerReport& aReport, const TaskKey& aKey,
              RunNumber aRun) {
  return std::any_of(aReport.m_running.begin(), aReport.m_running.end(),
                     [&](const RunningRow& aRow) {
                       return aRow.m_task == aKey && aRow.m_run == aRun;
                     });
}

/** Whether the report of a renewal sent at aSentAt would list the run if it
 *  existed or could still begin. */
bool AbsenceCounts(const Task& aTask, TimePoint aSentAt) {
  return aTask.m_decidedAt && *aTask.m_decidedAt < aSentAt;
}

void RequeueAbsent(Cell& aCell, Runner& aRunner, const RunnerReport& aReport,
                   TimePoint aSentAt, TimePoint aNow) {
  if (!aReport.m_allEndsListed) return;
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    if (!AbsenceCounts(*place.m_task, aSentAt)) continue;
    if (IsListed(aReport, key, place.m_task->m_run)) continue;
    if (aReport.m_onKeptConnection) {
      aRunner.m_wantsCertainReport = true;
      return;
    }
    LogDecision(aCell, fmt::format("run missing from report task={} run={} "
                                   "runner={} clock_ms={}",
                                   TaskText(key), place.m_task->m_run.Value(),
                                   aRunner.m_entry.m_id.Value(),
                                   aReport.m_clock.Value()));
    Requeue(aCell, key, place, aNow);
  }
}

/** Drops the superseded runs that the report shows to have ended. */
void DropEndedSupersededRuns(Cell& aCell, Runner& aRunner,
                             const RunnerReport& aReport, TimePoint aSentAt) {
  const auto ended = [&](const SupersededRun& aRun) {
    return aRun.m_decidedAt && *aRun.m_decidedAt <= aSentAt &&
           !IsListed(aReport, aRun.m_task, aRun.m_run);
  };
  if (aReport.m_onKeptConnection) {
    aRunner.m_wantsCertainReport =
        aRunner.m_wantsCertainReport ||
        std::any_of(aRunner.m_supersededRuns.begin(),
                    aRunner.m_supersededRuns.end(), ended);
    return;
  }
  if (std::erase_if(aRunner.m_supersededRuns, ended) > 0) {
    aCell.m_capacityChanged = true;
  }
}

/** Whether the run is known not to be throttled. Only best-effort tasks ever
 *  are, by this owner or by an earlier one. */
bool IsAtFullPace(const StepSpec& aStep, const Task& aTask) {
  return !aStep.m_bestEffort || aTask.m_pace == kFullPace;
}

/** Moves tasks without progress on a runner that seems healthy. */
void StopStalled(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    Task& task = *place.m_task;
    if (task.m_phase != TaskPhase::Running) continue;
    if (!IsAtFullPace(*place.m_step, task)) continue;
    if (place.m_step->m_longRunning && task.m_percent >= 100) continue;
    const Duration limit =
        aCell.m_settings.m_stallTime + place.m_step->m_estimate / 2;
    if (aNow - std::max(task.m_progressAt, task.m_phaseSince) < limit) continue;
    ++aCell.m_counts.m_stalledTasks;
    LogDecision(aCell,
                fmt::format("task without progress, stopping task={} run={} "
                            "runner={} percent={}",
                            TaskText(key), task.m_run.Value(),
                            aRunner.m_entry.m_id.Value(), task.m_percent));
    task.m_avoid = task.m_runner;
    StopRun(aCell, key, place, aNow);
    Quarantine(aCell, aRunner, aNow, "stall");
  }
}

}  // namespace

void ConfirmRun(Cell& aCell, const TaskPlace& aPlace, TimePoint aNow) {
  Task& task = *aPlace.m_task;
  task.m_phase = TaskPhase::Running;
  task.m_phaseSince = aNow;
  task.m_decidedAt = aNow;
  task.m_progressAt = aNow;
  Job& job = *aPlace.m_job;
  job.m_anyStarted = true;
  UpdatePending(aCell, job);
}

void ApplyReport(Cell& aCell, RunnerIndex aRunner, const RunnerReport& aReport,
                 TimePoint aSentAt, TimePoint aNow) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  const bool ofEarlierInstance =
      aReport.m_startedAt.Value() != 0 &&
      aReport.m_startedAt < runner.m_entry.m_startedAt;
  if (ofEarlierInstance || runner.m_awaitsFence) {
    // The renewal was sent before the new instance was known.
    ApplyRenewalFailure(aCell, aRunner, OrderOutcome::Unknown, aNow);
    return;
  }
  runner.m_renewalPending = false;
  runner.m_nextRenewalAt = aNow;
  if (runner.m_missedRenewals > 0) aCell.m_capacityChanged = true;
  runner.m_missedRenewals = 0;
  runner.m_refused = false;
  if (aReport.m_startedAt > runner.m_entry.m_startedAt) {
    const bool newInstance = runner.m_entry.m_startedAt.Value() != 0;
    runner.m_entry.m_startedAt = aReport.m_startedAt;
    if (newInstance) {
      // This report may precede the execution of an order to the earlier
      // instance. The next one, under a higher fencing token, counts.
      BeginNewInstance(aCell, runner, aNow);
      return;
    }
  }
  runner.m_answeredAt = aReport.m_address;
  const bool firstContact = !runner.m_contacted;
  runner.m_acknowledgedEnd =
      std::max(runner.m_acknowledgedEnd, runner.m_pendingAckEnd);
  runner.m_contacted = true;
  runner.m_reportLag =
      firstContact ? aNow - aSentAt : ReportLag(runner, aReport.m_clock, aNow);
  runner.m_clock = aReport.m_clock;
  runner.m_clockAt = aNow;
  if (firstContact) {
    // Until it is renewed, the lease that an earlier owner ordered stays in
    // force.
    runner.m_lastDeadline = RunnerMillis();
    if (aReport.m_clock < kRecentStart) {
      // A late order to an earlier instance may have set a lease end by that
      // instance's clock. The runner shortens such a lease to its maximum.
      runner.m_lapsesAt =
          std::max(runner.m_lapsesAt,
                   aNow + LeaseUpperBound(aCell.m_settings.m_leaseCap));
    } else if (aReport.m_running.empty() && !aReport.m_onKeptConnection) {
      runner.m_lapsesAt = aNow;
    }
    if (!runner.m_tasks.empty()) OrderDeadline(aCell, runner, aNow);
    aCell.m_capacityChanged = true;
  }
  for (const EndRow& end : aReport.m_ended) {
    if (end.m_number <= runner.m_readEnd) continue;
    runner.m_readEnd = end.m_number;
    ApplyEnd(aCell, aRunner, end, aNow);
  }
  if (runner.m_hasUnknownRuns) aCell.m_capacityChanged = true;
  runner.m_hasUnknownRuns = false;
  for (const RunningRow& row : aReport.m_running) {
    ApplyRunning(aCell, aRunner, row, aNow);
  }
  runner.m_wantsCertainReport = false;
  RequeueAbsent(aCell, runner, aReport, aSentAt, aNow);
  DropEndedSupersededRuns(aCell, runner, aReport, aSentAt);
  StopStalled(aCell, runner, aNow);
  PaceRunner(aCell, aRunner, aNow);
  ReleaseStoredEnds(aCell, runner, aNow);
  // The measured loads may leave room for other best-effort tasks.
  const bool changed = aCell.m_capacityChanged;
  NoteRoomChange(aCell, aRunner);
  aCell.m_capacityChanged = changed;
}

}  // namespace bronze::sched
