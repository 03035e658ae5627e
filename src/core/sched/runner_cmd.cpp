/**
 * @file runner_cmd.cpp The platform's list of runners, and answers to orders.
 * Leases are renewed in runner_renewal_cmd.cpp, reports are processed in
 * runner_report_cmd.cpp.
 */

#include "core/sched/runner_cmd.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/advice_cmd.h"
#include "core/sched/evacuation_cmd.h"
#include "core/sched/lease_func.h"
#include "core/sched/order_window_func.h"
#include "core/sched/runner_internal.h"
#include "core/sched/task_internal.h"
#include "core/sched/unresponsive_runner_cmd.h"

namespace bronze::sched {

namespace {

/** An answer that is read after newer ones is older than these by less. */
constexpr RunnerMillis kMaxAnswerDelay(5000);
/** After its lease has ended, a runner that cannot be reached but is listed has
 *  this much time to report how its runs ended. Cuts between an owner and
 * single runners usually last less than a lease and this time together. */
constexpr Duration kLapsedReportWait = seconds(10);
/** Time in which a runner that has refused a start sends its next report. */
constexpr Duration kPauseAfterRefusal = milliseconds(300);
/** A stop is repeated after this time while the run may exist. Longer than the
 *  time-out of an order and than most runners take to stop a run. */
constexpr Duration kStopRepeat = milliseconds(700);
/** A run that is still being stopped after this time gets a log line with each
 *  repetition. */
constexpr Duration kSlowStop = milliseconds(2000);
/** An unanswered start is stopped if no report lists its run within this time.
 */
constexpr Duration kUnansweredStartWait = milliseconds(50);

/** The run has ended with the runner's instance or with its lease: requeues the
 *  task. */
void RequeueRun(Cell& aCell, const Runner& aRunner, const TaskKey& aKey,
                TimePoint aNow, std::string_view aReason) {
  const TaskPlace place = FindTask(aCell, aKey);
  if (place.m_task == nullptr) return;
  if (place.m_task->m_phase == TaskPhase::Intended) return;
  LogDecision(
      aCell,
      fmt::format("run ended with its runner task={} run={} runner={} by={}",
                  TaskText(aKey), place.m_task->m_run.Value(),
                  aRunner.m_entry.m_id.Value(), aReason));
  Requeue(aCell, aKey, place, aNow);
}

/** All runs there have ended, with the runner's instance: requeues their
 *  tasks. */
void RequeueRuns(Cell& aCell, Runner& aRunner, TimePoint aNow,
                 std::string_view aReason) {
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    RequeueRun(aCell, aRunner, key, aNow, aReason);
  }
}

/** The lease there has ended, and with it all runs. A run that ends by itself
 *  may have succeeded before that, so its task is kept while the runner is
 *  listed and thus alive: its next report tells. */
void RequeueLapsedRuns(Cell& aCell, Runner& aRunner, TimePoint aNow,
                       std::string_view aReason) {
  const bool mayReport =
      aRunner.m_listed && aNow < aRunner.m_lapsesAt + kLapsedReportWait;
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    const bool mayHaveSucceeded =
        place.m_step != nullptr && !place.m_step->m_longRunning;
    if (mayReport && mayHaveSucceeded) continue;
    RequeueRun(aCell, aRunner, key, aNow, aReason);
  }
}

}  // namespace

void BeginTerm(Cell& aCell, TimePoint aEarlierLeasesEnd) {
  aCell.m_earlierLeasesEnd = aEarlierLeasesEnd;
  for (Runner& runner : aCell.m_runners) {
    runner.m_lapsesAt =
        std::max(aEarlierLeasesEnd, runner.m_misdirectedLeaseEnd);
  }
}

RunnerIndex FindOrAddRunner(Cell& aCell, const RunnerId& aRunner) {
  const auto found = aCell.m_runnerByName.find(aRunner);
  if (found != aCell.m_runnerByName.end()) return found->second;
  const RunnerIndex index(static_cast<uint32_t>(aCell.m_runners.size()));
  Runner& runner = aCell.m_runners.emplace_back();
  runner.m_entry.m_id = aRunner;
  runner.m_fence = aCell.m_fence;
  runner.m_lapsesAt = aCell.m_earlierLeasesEnd;
  aCell.m_runnerByName.emplace(aRunner, index);
  return index;
}

namespace {

/** Any run of the earlier instance may exist on the new one: a start may have
 *  reached it before this owner knew of it, or may still be executed there
 *  until it has seen a higher fencing token. The first report after that
 *  decides; answers of the earlier instance prove nothing about this one. */
void AwaitFirstReport(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  for (SupersededRun& run : aRunner.m_supersededRuns) {
    run.m_decidedAt = kDecidedByToken;
  }
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    Task& task = *place.m_task;
    switch (task.m_phase) {
      case TaskPhase::Starting:
      case TaskPhase::Running:
      case TaskPhase::StartUnanswered:
      case TaskPhase::Recovering:
        task.m_phase = TaskPhase::Recovering;
        task.m_phaseSince = aNow;
        task.m_decidedAt = kDecidedByToken;
        break;
      case TaskPhase::Stopping:
        task.m_decidedAt = kDecidedByToken;
        break;
      case TaskPhase::Blocked:
      case TaskPhase::Ready:
      case TaskPhase::Intended:
      case TaskPhase::Done:
        break;
    }
  }
}

/** The runner may hold a lease from an order to an earlier instance. */
void ExpectMisdirectedLease(Runner& aRunner, TimePoint aLeaseEnd) {
  aRunner.m_misdirectedLeaseEnd = aLeaseEnd;
  aRunner.m_lapsesAt = std::max(aRunner.m_lapsesAt, aLeaseEnd);
}

/** Resets what was known about the earlier instance. */
void ResetInstanceState(Runner& aRunner, TimePoint aNow) {
  aRunner.m_answeredAt.clear();
  aRunner.m_contacted = false;
  aRunner.m_lastDeadline = RunnerMillis();
  aRunner.m_readEnd = EndNumber();
  aRunner.m_storedEnd = EndNumber();
  aRunner.m_acknowledgedEnd = EndNumber();
  aRunner.m_pendingAckEnd = EndNumber();
  aRunner.m_unstoredEnds.clear();
  aRunner.m_failuresInRow = 0;
  aRunner.m_quarantineCount = 0;
  aRunner.m_quarantinedUntil = TimePoint();
  aRunner.m_pausedUntil = TimePoint();
  aRunner.m_slowness = 1.0;
  aRunner.m_tailRatio = 0.0;
  aRunner.m_isOverTarget = false;
  aRunner.m_hasUnknownRuns = false;
  aRunner.m_latencyCritical.clear();
  aRunner.m_nextRenewalAt = aNow;
}

}  // namespace

void BeginNewInstance(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  AwaitFirstReport(aCell, aRunner, aNow);
  ExpectMisdirectedLease(aRunner,
                         aNow + LeaseUpperBound(aCell.m_settings.m_leaseCap));
  aRunner.m_awaitsFence = true;
  aCell.m_commitWanted = true;
  ResetInstanceState(aRunner, aNow);
}

void EndInstance(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  RequeueRuns(aCell, aRunner, aNow, "other-instance");
  aRunner.m_supersededRuns.clear();
  ResetInstanceState(aRunner, aNow);
}

OrderOutcome OutcomeAt(const Runner& aRunner, const std::string& aAddress,
                       OrderOutcome aOutcome) {
  const bool isUnproven = aOutcome == OrderOutcome::WrongInstance &&
                          aAddress != aRunner.m_answeredAt;
  return isUnproven ? OrderOutcome::WrongAddress : aOutcome;
}

bool ContradictsRunner(const Cell& aCell, const RunnerEntry& aEntry) {
  const auto found = aCell.m_runnerByName.find(aEntry.m_id);
  if (found == aCell.m_runnerByName.end()) return false;
  const Runner& runner = aCell.m_runners[found->second.Value()];
  if (runner.m_answeredAt.empty()) return false;
  const UnixMillis startedAt = runner.m_entry.m_startedAt;
  return aEntry.m_service != runner.m_entry.m_service ||
         aEntry.m_startedAt < startedAt ||
         (aEntry.m_startedAt == startedAt &&
          aEntry.m_address != runner.m_answeredAt);
}

RunnerIndex UpdateRunner(Cell& aCell, const RunnerEntry& aEntry, TimePoint aNow,
                         UnixMillis aUnixNow) {
  const RunnerIndex index = FindOrAddRunner(aCell, aEntry.m_id);
  Runner& runner = aCell.m_runners[index.Value()];
  const bool newInstance = runner.m_entry.m_startedAt.Value() != 0 &&
                           aEntry.m_startedAt > runner.m_entry.m_startedAt;
  const bool isFirstEntry = runner.m_entry.m_address.empty();
  if (newInstance) BeginNewInstance(aCell, runner, aNow);
  if (isFirstEntry) {
    ExpectMisdirectedLease(
        runner,
        MisdirectedLeaseEnd(aEntry.m_startedAt, aCell.m_settings.m_leaseCap,
                            aNow, aUnixNow));
  }
  const UnixMillis startedAt =
      std::max(runner.m_entry.m_startedAt, aEntry.m_startedAt);
  runner.m_entry = aEntry;
  runner.m_entry.m_startedAt = startedAt;
  runner.m_rack = aEntry.m_labels.empty() ? "" : aEntry.m_labels.back();
  runner.m_listed = true;
  runner.m_evacuated = IsUnderEvacuation(aCell, aEntry);
  runner.m_coldUntil = aEntry.m_coldLeft > Duration::zero()
                           ? aNow + aEntry.m_coldLeft
                           : TimePoint();
  NoteRoomChange(aCell, index);
  return index;
}

void RemoveRunner(Cell& aCell, const RunnerId& aRunner) {
  const auto found = aCell.m_runnerByName.find(aRunner);
  if (found == aCell.m_runnerByName.end()) return;
  aCell.m_runners[found->second.Value()].m_listed = false;
}

namespace {

/** Whether a clock is that of a new instance, which starts at zero. */
bool IsNewInstanceClock(const Runner& aRunner, RunnerMillis aClock) {
  return aRunner.m_contacted && aClock + kMaxAnswerDelay < aRunner.m_clock;
}

}  // namespace

namespace {

/** Whether a start that was not carried out tells something about the runner,
 *  not only about the order or this owner. */
bool IsAboutRunner(OrderOutcome aOutcome) {
  return aOutcome != OrderOutcome::RefusedFence &&
         aOutcome != OrderOutcome::Withdrawn;
}

}  // namespace

void ApplyStartAnswer(Cell& aCell, const StartOrder& aOrder,
                      OrderOutcome aOutcome, std::optional<RunnerMillis> aClock,
                      TimePoint aNow) {
  if (aCell.m_window.m_inFlight > 0) --aCell.m_window.m_inFlight;
  aCell.m_capacityChanged = aCell.m_capacityChanged || aCell.m_window.m_wasFull;
  aCell.m_window.m_wasFull = false;
  const TaskPlace place = FindTask(aCell, aOrder.m_task);
  if (place.m_task == nullptr) return;
  Task& task = *place.m_task;
  if (task.m_run != aOrder.m_run || task.m_phase != TaskPhase::Starting) return;
  if (aOutcome != OrderOutcome::NotSent &&
      aOutcome != OrderOutcome::Withdrawn) {
    NoteAnswer(aCell.m_window, aNow - task.m_phaseSince, aNow);
  }
  Runner& runner = aCell.m_runners[aOrder.m_runner.Value()];
  if (aClock && IsNewInstanceClock(runner, *aClock)) {
    LogDecision(aCell, fmt::format("runner has restarted, by its clock "
                                   "runner={} clock_ms={} before_ms={}",
                                   runner.m_entry.m_id.Value(), aClock->Value(),
                                   runner.m_clock.Value()));
    BeginNewInstance(aCell, runner, aNow);
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Applied:
      ConfirmRun(aCell, place, aNow);
      return;
    case OrderOutcome::Unknown:
      task.m_phase = TaskPhase::StartUnanswered;
      task.m_phaseSince = aNow;
      task.m_stopOrderedAt = TimePoint();
      return;
    case OrderOutcome::RefusedRoom:
    case OrderOutcome::RefusedOther:
    case OrderOutcome::NotSent:
    case OrderOutcome::RefusedFence:
    case OrderOutcome::RefusedOld:
    case OrderOutcome::RefusedLate:
    case OrderOutcome::RefusedTicket:
    case OrderOutcome::WrongInstance:
    case OrderOutcome::WrongAddress:
    case OrderOutcome::Withdrawn:
      break;
  }
  ++aCell.m_counts.m_rejectedStarts;
  LogDecision(
      aCell,
      fmt::format("start refused by runner task={} run={} runner={} outcome={}",
                  TaskText(aOrder.m_task), aOrder.m_run.Value(),
                  runner.m_entry.m_id.Value(), static_cast<int>(aOutcome)));
  if (aOutcome == OrderOutcome::RefusedTicket) {
    DropApproval(
        aCell,
        {aOrder.m_task.m_job, aOrder.m_task.m_occurrence, aOrder.m_task.m_step},
        aOrder.m_runner);
    Requeue(aCell, aOrder.m_task, place, aNow);
    return;
  }
  // A runner that refuses a start gets no tasks for a moment: until its next
  // report, its own view of its capacity may differ from this one.
  if (IsAboutRunner(aOutcome)) {
    runner.m_pausedUntil = aNow + kPauseAfterRefusal;
  }
  Requeue(aCell, aOrder.m_task, place, aNow);
}

SupersededRun* FindSupersededRun(Runner& aRunner, const TaskKey& aTask,
                                 RunNumber aRun) {
  for (SupersededRun& run : aRunner.m_supersededRuns) {
    if (run.m_task == aTask && run.m_run == aRun) return &run;
  }
  return nullptr;
}

namespace {

/** Names a run that takes long to stop, so that the log shows what is missing.
 */
void LogSlowStop(Cell& aCell, const StopOrder& aStop, TimePoint aSince,
                 bool aDecided, TimePoint aNow) {
  const Duration time = aNow - aSince;
  if (time < kSlowStop) return;
  const Runner& runner = aCell.m_runners[aStop.m_runner.Value()];
  LogDecision(
      aCell,
      fmt::format("run is not known to have ended, stop repeated task={} "
                  "run={} runner={} since_ms={} may_begin={} missed_reports={}",
                  TaskText(aStop.m_task), aStop.m_run.Value(),
                  runner.m_entry.m_id.Value(), time.count() / 1000, !aDecided,
                  runner.m_missedRenewals));
}

void RepeatStopsOfSuperseded(Cell& aCell, RunnerIndex aRunner, TimePoint aNow) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  if (!runner.m_contacted) return;
  for (SupersededRun& run : runner.m_supersededRuns) {
    if (aNow - run.m_stopOrderedAt <= kStopRepeat) continue;
    run.m_stopOrderedAt = aNow;
    AddStopOrder(aCell, run.m_task, run.m_run, aRunner);
    LogSlowStop(aCell, {run.m_task, run.m_run, aRunner}, run.m_since,
                run.m_decidedAt.has_value(), aNow);
  }
}

}  // namespace

namespace {

/** A newer order of this owner has overtaken the stop, so the runner has done
 *  nothing: it is repeated with the newest token as soon as runners are
 *  advanced. Until the stop, the run holds room that others wait for. */
void RepeatSoon(TimePoint& aStopOrderedAt) { aStopOrderedAt = TimePoint(); }

/** An order that was answered now shows that no start can begin the run. */
void NoteDecided(std::optional<TimePoint>& aDecidedAt, TimePoint aNow) {
  if (!aDecidedAt) aDecidedAt = aNow;
}

}  // namespace

void ApplyStopAnswer(Cell& aCell, const StopOrder& aOrder,
                     OrderOutcome aOutcome, TimePoint aNow) {
  SupersededRun* superseded = FindSupersededRun(
      aCell.m_runners[aOrder.m_runner.Value()], aOrder.m_task, aOrder.m_run);
  if (superseded != nullptr && aOutcome == OrderOutcome::Applied) {
    NoteDecided(superseded->m_decidedAt, aNow);
  }
  if (superseded != nullptr && aOutcome == OrderOutcome::RefusedFence) {
    RepeatSoon(superseded->m_stopOrderedAt);
  }
  const TaskPlace place = FindTask(aCell, aOrder.m_task);
  if (place.m_task == nullptr) return;
  Task& task = *place.m_task;
  if (task.m_run != aOrder.m_run || task.m_runner != aOrder.m_runner) return;
  if (aOutcome == OrderOutcome::WrongInstance) {
    EndInstance(aCell, aCell.m_runners[aOrder.m_runner.Value()], aNow);
    return;
  }
  if (aOutcome == OrderOutcome::RefusedFence && !task.m_stopAnswered) {
    RepeatSoon(task.m_stopOrderedAt);
  }
  if (aOutcome != OrderOutcome::Applied) return;
  task.m_stopAnswered = true;
  NoteDecided(task.m_decidedAt, aNow);
}

void ApplyPaceAnswer(Cell& aCell, const PaceOrder& aOrder,
                     OrderOutcome aOutcome) {
  if (aOutcome == OrderOutcome::Applied) return;
  const TaskPlace place = FindTask(aCell, aOrder.m_task);
  if (place.m_task == nullptr || place.m_task->m_run != aOrder.m_run) return;
  place.m_task->m_pace.reset();
}

void ReleaseStoredEnds(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  while (!aRunner.m_unstoredEnds.empty()) {
    const UnstoredEnd& end = aRunner.m_unstoredEnds.front();
    const auto job = aCell.m_jobs.find(end.m_job);
    if (end.m_jobVersion != 0 && job != aCell.m_jobs.end() &&
        job->second.m_storedVersion < end.m_jobVersion) {
      return;
    }
    aRunner.m_storedEnd = std::max(aRunner.m_storedEnd, end.m_number);
    aRunner.m_unstoredEnds.pop_front();
  }
  aRunner.m_nextRenewalAt = std::min(aRunner.m_nextRenewalAt, aNow);
}

namespace {

void AdvanceTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                 const Runner& aRunner, TimePoint aNow) {
  Task& task = *aPlace.m_task;
  const bool mayExist = task.m_phase == TaskPhase::Stopping ||
                        (task.m_phase == TaskPhase::StartUnanswered &&
                         aNow - task.m_phaseSince > kUnansweredStartWait);
  if (!mayExist || !aRunner.m_contacted) return;
  if (aNow - task.m_stopOrderedAt <= kStopRepeat) return;
  OrderStop(aCell, aKey, task, aNow);
  LogSlowStop(aCell, {aKey, task.m_run, task.m_runner}, task.m_phaseSince,
              task.m_decidedAt.has_value(), aNow);
}

}  // namespace

void AdvanceRunners(Cell& aCell, TimePoint aNow) {
  CheckUnresponsive(aCell, aNow);
  for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
    Runner& runner = aCell.m_runners[at];
    RepeatStopsOfSuperseded(aCell, RunnerIndex(at), aNow);
    if (runner.m_tasks.empty() && runner.m_supersededRuns.empty()) continue;
    if (aNow > runner.m_lapsesAt && runner.m_missedRenewals > 0) {
      runner.m_supersededRuns.clear();
      if (!runner.m_lapseCounted) ++aCell.m_counts.m_lapsedRunners;
      runner.m_lapseCounted = true;
      RequeueLapsedRuns(aCell, runner, aNow, "lapse");
      continue;
    }
    runner.m_lapseCounted = false;
    // This owner never reached the runner: only the end of its lease ends its
    // runs.
    if (aNow > runner.m_lapsesAt && !runner.m_contacted) {
      runner.m_supersededRuns.clear();
      RequeueLapsedRuns(aCell, runner, aNow, "lapse-unreached");
      continue;
    }
    const std::vector<TaskKey> keys = runner.m_tasks;
    for (const TaskKey& key : keys) {
      const TaskPlace place = FindTask(aCell, key);
      if (place.m_task != nullptr) {
        AdvanceTask(aCell, key, place, runner, aNow);
      }
    }
  }
}

}  // namespace bronze::sched
