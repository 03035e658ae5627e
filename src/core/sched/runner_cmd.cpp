/**
 * @file runner_cmd.cpp The platform's list of runners, leases, and answers to
 * orders. The lists in a report are handled in runner_report_cmd.cpp.
 */

#include "core/sched/runner_cmd.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/advice_cmd.h"
#include "core/sched/runner_internal.h"
#include "core/sched/silence_cmd.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** A runner's clock may be 2 % slow (protocol of the runners). */
constexpr int64_t kSlowestClockPercent = 102;
/** Added to a lease end for the time an answer was under way. */
constexpr Duration kLeaseMargin = milliseconds(300);
/** Pause before an unanswered renewal is repeated. */
constexpr Duration kHoldRetry = milliseconds(150);
/** A silent runner without work is not urgent. */
constexpr Duration kIdleRetry = milliseconds(800);
/** A refused connection comes back at once; ask again at a slower pace. */
constexpr Duration kRefusedRetry = milliseconds(400);
/** Pause between renewals while ends wait for the store. */
constexpr Duration kUnstoredHoldPause = milliseconds(500);
/** A runner takes longer than this to start again, run a task and end it. */
constexpr Duration kFreshReport = milliseconds(200);
/** Differs from every pace, so that the next report orders one. */
constexpr int kPaceUnknown = -1;
/** An unanswered stop is repeated after this. */
constexpr Duration kStopRepeat = milliseconds(700);
/** An unanswered start waits so long for a list before it is stopped. */
constexpr Duration kUnsureTime = milliseconds(50);

int64_t WholeMillis(Duration aDuration) {
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

/** Every run there has ended: the runner's life is over or its lease is. */
void DropRuns(Cell& aCell, Runner& aRunner, TimePoint aNow,
              std::string_view aReason) {
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    if (place.m_task->m_phase == TaskPhase::Intended) continue;
    LogDecision(aCell, fmt::format("run over task={} run={} runner={} by={}",
                                   TaskText(key), place.m_task->m_run.Value(),
                                   aRunner.m_entry.m_id.Value(), aReason));
    Requeue(aCell, key, place, aNow);
  }
}

}  // namespace

Duration StretchedLease(Duration aLease) {
  return aLease * kSlowestClockPercent / 100 + kLeaseMargin;
}

RunnerIndex RunnerByName(Cell& aCell, const RunnerId& aRunner, TimePoint aNow) {
  const auto found = aCell.m_runnerByName.find(aRunner);
  if (found != aCell.m_runnerByName.end()) return found->second;
  const RunnerIndex index(static_cast<uint32_t>(aCell.m_runners.size()));
  Runner& runner = aCell.m_runners.emplace_back();
  runner.m_entry.m_id = aRunner;
  runner.m_fence = aCell.m_fence;
  // An earlier owner may have renewed the lease until now.
  runner.m_lapsesAt = aNow + StretchedLease(aCell.m_settings.m_maxLease);
  aCell.m_runnerByName.emplace(aRunner, index);
  return index;
}

namespace {

/** Tasks that an earlier life had. Any of them may run on the new one: a start
 *  may have reached it before this owner knew of it, or may still be carried
 * out there until it has seen a higher fence. Its first list after that tells.
 */
void ForgetRuns(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  const std::vector<TaskKey> keys = aRunner.m_tasks;
  for (const TaskKey& key : keys) {
    const TaskPlace place = FindTask(aCell, key);
    if (place.m_task == nullptr) continue;
    Task& task = *place.m_task;
    switch (task.m_phase) {
      case TaskPhase::Starting:
      case TaskPhase::Running:
      case TaskPhase::Unsure:
      case TaskPhase::Recovering:
        task.m_phase = TaskPhase::Recovering;
        task.m_phaseSince = aNow;
        aRunner.m_lapsesAt =
            std::max(aRunner.m_lapsesAt,
                     aNow + StretchedLease(aCell.m_settings.m_maxLease));
        break;
      case TaskPhase::Stopping:
        task.m_stopAnswered = true;
        task.m_phaseSince = aNow;
        break;
      case TaskPhase::Blocked:
      case TaskPhase::Ready:
      case TaskPhase::Intended:
      case TaskPhase::Done:
        break;
    }
  }
}

/** What was known of an earlier life says nothing of the present one. */
void ResetView(Runner& aRunner, TimePoint aNow) {
  aRunner.m_contacted = false;
  aRunner.m_lastDeadline = RunnerMillis();
  aRunner.m_readEnd = EndNumber();
  aRunner.m_storedEnd = EndNumber();
  aRunner.m_toldEnd = EndNumber();
  aRunner.m_askedEnd = EndNumber();
  aRunner.m_unstoredEnds.clear();
  aRunner.m_failuresInRow = 0;
  aRunner.m_quarantineCount = 0;
  aRunner.m_quarantinedUntil = TimePoint();
  aRunner.m_slowness = 1.0;
  aRunner.m_pressure = 0.0;
  aRunner.m_over = false;
  aRunner.m_hasUnknownRuns = false;
  aRunner.m_serving.clear();
  aRunner.m_nextHoldAt = aNow;
}

}  // namespace

void ForgetLife(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  ForgetRuns(aCell, aRunner, aNow);
  aRunner.m_awaitsFence = true;
  aCell.m_commitWanted = true;
  ResetView(aRunner, aNow);
}

void EndInstance(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  DropRuns(aCell, aRunner, aNow, "other-instance");
  ResetView(aRunner, aNow);
}

RunnerIndex UpdateRunner(Cell& aCell, const RunnerEntry& aEntry,
                         TimePoint aNow) {
  const RunnerIndex index = RunnerByName(aCell, aEntry.m_id, aNow);
  Runner& runner = aCell.m_runners[index.Value()];
  const bool newLife = runner.m_entry.m_born.Value() != 0 &&
                       aEntry.m_born > runner.m_entry.m_born;
  if (newLife) ForgetLife(aCell, runner, aNow);
  const UnixMillis born = std::max(runner.m_entry.m_born, aEntry.m_born);
  runner.m_entry = aEntry;
  runner.m_entry.m_born = born;
  runner.m_rack = aEntry.m_labels.empty() ? "" : aEntry.m_labels.back();
  runner.m_listed = true;
  aCell.m_capacityChanged = true;
  return index;
}

void RemoveRunner(Cell& aCell, const RunnerId& aRunner) {
  const auto found = aCell.m_runnerByName.find(aRunner);
  if (found == aCell.m_runnerByName.end()) return;
  aCell.m_runners[found->second.Value()].m_listed = false;
}

RunnerMillis RunnerClockAt(const Runner& aRunner, TimePoint aNow) {
  return aRunner.m_clock + RunnerMillis(WholeMillis(aNow - aRunner.m_clockAt));
}

void NoteDeadline(Runner& aRunner, RunnerMillis aDeadline) {
  if (aDeadline <= aRunner.m_lastDeadline) return;
  aRunner.m_lastDeadline = aDeadline;
  const int64_t left = (aDeadline - aRunner.m_clock).Value();
  aRunner.m_lapsesAt =
      std::max(aRunner.m_lapsesAt,
               aRunner.m_clockAt + StretchedLease(milliseconds(left)));
}

RunnerMillis OrderDeadline(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  if (aRunner.m_lapseStored) return aRunner.m_lastDeadline;
  const RunnerMillis deadline =
      RunnerClockAt(aRunner, aNow) +
      RunnerMillis(WholeMillis(aCell.m_settings.m_lease));
  NoteDeadline(aRunner, deadline);
  return deadline;
}

std::optional<HoldOrder> NextHold(Cell& aCell, RunnerIndex aRunner,
                                  TimePoint aNow) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  if (runner.m_holdPending || runner.m_entry.m_address.empty()) return {};
  if (aNow < runner.m_nextHoldAt) return {};
  if (runner.m_awaitsFence && aCell.m_newestFence <= runner.m_fence) return {};
  const bool hasWork = !runner.m_tasks.empty() || runner.m_hasUnknownRuns ||
                       !runner.m_unstoredEnds.empty() ||
                       runner.m_storedEnd > runner.m_toldEnd;
  // The first contact raises the fencing token there, so that orders of an
  // earlier owner that are still under way are refused.
  // A silent one is asked until it answers, since nothing is placed there
  // before.
  const bool silent = runner.m_missedHolds > 0 && runner.m_listed;
  if (runner.m_contacted && !hasWork && !silent) return {};
  if (!runner.m_contacted && !runner.m_listed && !hasWork) return {};
  // Ends that are not durable yet would be listed again at once. While the
  // store is away the lease is renewed all the same, at a slower pace.
  if (!runner.m_unstoredEnds.empty() &&
      aNow - runner.m_clockAt < kUnstoredHoldPause) {
    return {};
  }
  runner.m_awaitsFence = false;
  runner.m_fence = std::max(runner.m_fence, aCell.m_newestFence);
  HoldOrder order;
  order.m_runner = aRunner;
  order.m_address = runner.m_entry.m_address;
  order.m_id = runner.m_entry.m_id;
  order.m_fence = runner.m_fence;
  // A new life counts its ends anew, so a number from the earlier one would
  // make it forget ends that nobody has read.
  if (aNow - runner.m_clockAt < kFreshReport) {
    order.m_lastSeen = runner.m_storedEnd;
  }
  runner.m_askedEnd = order.m_lastSeen;
  if (runner.m_contacted) {
    // An unanswered renewal may be in force; repeating it with the same end
    // keeps the time at which everything there has surely ended from moving.
    order.m_deadline = runner.m_missedHolds > 0
                           ? runner.m_lastDeadline
                           : OrderDeadline(aCell, runner, aNow);
    const bool watches =
        runner.m_servingCores.Value() > 0 && runner.m_fillDemand.Value() > 0;
    order.m_wait =
        watches ? aCell.m_settings.m_watchWait : aCell.m_settings.m_holdWait;
    const bool unsure = std::any_of(
        runner.m_tasks.begin(), runner.m_tasks.end(), [&](const TaskKey& aKey) {
          const TaskPlace place = FindTask(aCell, aKey);
          return place.m_task != nullptr &&
                 (place.m_task->m_phase == TaskPhase::Unsure ||
                  place.m_task->m_phase == TaskPhase::Recovering);
        });
    const bool idle = runner.m_tasks.empty() && !runner.m_hasUnknownRuns;
    if (unsure || idle || runner.m_missedHolds > 0) {
      order.m_wait = Duration::zero();
    }
  }
  runner.m_holdPending = true;
  return order;
}

void ApplyHoldFailure(Cell& aCell, RunnerIndex aRunner, OrderOutcome aOutcome,
                      TimePoint aNow) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  runner.m_holdPending = false;
  ++runner.m_missedHolds;
  runner.m_refused = aOutcome == OrderOutcome::NotSent;
  const bool hasWork = !runner.m_tasks.empty();
  runner.m_nextHoldAt = aNow + (!hasWork           ? kIdleRetry
                                : runner.m_refused ? kRefusedRetry
                                                   : kHoldRetry);
  if (aOutcome == OrderOutcome::WrongInstance) {
    EndInstance(aCell, runner, aNow);
    runner.m_nextHoldAt = aNow + kRefusedRetry;
  }
}

void ApplyStartAnswer(Cell& aCell, const StartOrder& aOrder,
                      OrderOutcome aOutcome, TimePoint aNow) {
  const TaskPlace place = FindTask(aCell, aOrder.m_task);
  if (place.m_task == nullptr) return;
  Task& task = *place.m_task;
  if (task.m_run != aOrder.m_run || task.m_phase != TaskPhase::Starting) return;
  Runner& runner = aCell.m_runners[aOrder.m_runner.Value()];
  switch (aOutcome) {
    case OrderOutcome::Applied:
      ConfirmRun(aCell, place, aNow);
      return;
    case OrderOutcome::Unknown:
      task.m_phase = TaskPhase::Unsure;
      task.m_phaseSince = aNow;
      task.m_stopOrderedAt = TimePoint();
      task.m_stopAnswered = false;
      return;
    case OrderOutcome::RefusedRoom:
    case OrderOutcome::RefusedOther:
    case OrderOutcome::NotSent:
    case OrderOutcome::RefusedFence:
    case OrderOutcome::RefusedOld:
    case OrderOutcome::RefusedLate:
    case OrderOutcome::RefusedTicket:
    case OrderOutcome::WrongInstance:
      break;
  }
  ++aCell.m_counts.m_rejectedStarts;
  LogDecision(
      aCell,
      fmt::format("start refused task={} run={} runner={} outcome={}",
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
  // A runner that refuses is left alone for a moment; its own view of its room
  // may differ from ours until its lists are read again.
  runner.m_quarantinedUntil =
      std::max(runner.m_quarantinedUntil, aNow + milliseconds(300));
  Requeue(aCell, aOrder.m_task, place, aNow);
}

void ApplyStopAnswer(Cell& aCell, const StopOrder& aOrder,
                     OrderOutcome aOutcome, TimePoint aNow) {
  const TaskPlace place = FindTask(aCell, aOrder.m_task);
  if (place.m_task == nullptr) return;
  Task& task = *place.m_task;
  if (task.m_run != aOrder.m_run || task.m_runner != aOrder.m_runner) return;
  if (aOutcome == OrderOutcome::WrongInstance) {
    EndInstance(aCell, aCell.m_runners[aOrder.m_runner.Value()], aNow);
    return;
  }
  if (aOutcome != OrderOutcome::Applied) return;
  task.m_stopAnswered = true;
  // From here on, the time of the answer: a list that was asked for later and
  // lacks the run proves that it is over.
  task.m_phaseSince = aNow;
}

void ApplyPaceAnswer(Cell& aCell, const PaceOrder& aOrder,
                     OrderOutcome aOutcome) {
  if (aOutcome == OrderOutcome::Applied) return;
  const TaskPlace place = FindTask(aCell, aOrder.m_task);
  if (place.m_task == nullptr || place.m_task->m_run != aOrder.m_run) return;
  place.m_task->m_pace = kPaceUnknown;
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
  aRunner.m_nextHoldAt = std::min(aRunner.m_nextHoldAt, aNow);
}

namespace {

void AdvanceTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                 const Runner& aRunner, TimePoint aNow) {
  Task& task = *aPlace.m_task;
  const bool stopDue = !task.m_stopAnswered &&
                       aNow - task.m_stopOrderedAt > kStopRepeat &&
                       aRunner.m_contacted;
  if (task.m_phase == TaskPhase::Stopping && stopDue) {
    OrderStop(aCell, aKey, task, aNow);
  }
  if (task.m_phase == TaskPhase::Unsure && stopDue &&
      aNow - task.m_phaseSince > kUnsureTime) {
    OrderStop(aCell, aKey, task, aNow);
  }
}

}  // namespace

void AdvanceRunners(Cell& aCell, TimePoint aNow) {
  NoteSilence(aCell, aNow);
  for (Runner& runner : aCell.m_runners) {
    if (runner.m_tasks.empty()) continue;
    if (aNow > runner.m_lapsesAt && runner.m_missedHolds > 0) {
      ++aCell.m_counts.m_lapsedRunners;
      DropRuns(aCell, runner, aNow, "lapse");
      continue;
    }
    // Never reached by this owner: only the time of its lease ends its runs.
    if (aNow > runner.m_lapsesAt && !runner.m_contacted) {
      DropRuns(aCell, runner, aNow, "lapse-unreached");
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
