/**
 * @file runner_renewal_cmd.cpp Lease ends that are ordered, and renewals, which
 * also acknowledge ends.
 */

#include <algorithm>
#include <initializer_list>

#include "core/sched/lease_func.h"
#include "core/sched/order_window_func.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/runner_internal.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** A lease that ends within this time is renewed more often. */
constexpr Duration kShortLease = milliseconds(2500);
/** Pause before an unanswered renewal is repeated. */
constexpr Duration kRenewalRetry = milliseconds(150);
/** The same for a runner without tasks, which is less urgent. */
constexpr Duration kIdleRetry = milliseconds(800);
/** The same after a refused connection: the refusal comes back at once, so the
 *  retry is slower. */
constexpr Duration kRefusedRetry = milliseconds(400);
/** Minimum interval of renewals while ends wait for a commit. */
constexpr Duration kUnstoredRenewalInterval = milliseconds(500);
/** Ends are acknowledged only within this time after the last report was made.
 *  A restart since then shows in the answers to starts (IsNewInstanceClock),
 *  unless the runner restarts twice within kMaxAnswerDelay. */
constexpr Duration kAckMaxReportAge = milliseconds(200);

int64_t WholeMillis(Duration aDuration) {
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

/** @return whether a task there is in one of the phases. */
bool HasTaskIn(Cell& aCell, const Runner& aRunner,
               std::initializer_list<TaskPhase> aPhases) {
  return std::any_of(aRunner.m_tasks.begin(), aRunner.m_tasks.end(),
                     [&](const TaskKey& aKey) {
                       const TaskPlace place = FindTask(aCell, aKey);
                       return place.m_task != nullptr &&
                              std::find(aPhases.begin(), aPhases.end(),
                                        place.m_task->m_phase) != aPhases.end();
                     });
}

/** Whether the last report was made just now. */
bool IsReportRecent(const Runner& aRunner, TimePoint aNow) {
  return aNow - aRunner.m_clockAt + aRunner.m_reportLag < kAckMaxReportAge;
}

/** Whether the runner may still answer a start. */
bool IsStartUnderWay(Cell& aCell, const Runner& aRunner) {
  return HasTaskIn(aCell, aRunner, {TaskPhase::Starting}) ||
         std::any_of(
             aRunner.m_supersededRuns.begin(), aRunner.m_supersededRuns.end(),
             [](const SupersededRun& aRun) { return !aRun.m_decidedAt; });
}

}  // namespace

RunnerMillis RunnerClockAt(const Runner& aRunner, TimePoint aNow) {
  return aRunner.m_clock + RunnerMillis(WholeMillis(aNow - aRunner.m_clockAt));
}

RunnerMillis OrderDeadline(Cell& aCell, Runner& aRunner, TimePoint aNow) {
  if (aRunner.m_lapseStored) return aRunner.m_lastDeadline;
  const RunnerMillis full = RunnerClockAt(aRunner, aNow) +
                            RunnerMillis(WholeMillis(aCell.m_settings.m_lease));
  const RunnerMillis deadline =
      std::min(full, LatestDeadline(aRunner, aCell.m_leaseHorizon));
  if (deadline <= aRunner.m_lastDeadline) return aRunner.m_lastDeadline;
  aRunner.m_lastDeadline = deadline;
  const int64_t left = (deadline - aRunner.m_clock).Value();
  aRunner.m_lapsesAt =
      std::max(aRunner.m_lapsesAt,
               aRunner.m_clockAt + LeaseUpperBound(milliseconds(left)));
  return deadline;
}

std::optional<RenewalOrder> NextRenewal(Cell& aCell, RunnerIndex aRunner,
                                        TimePoint aNow) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  if (runner.m_renewalPending || runner.m_entry.m_address.empty()) return {};
  const bool acknowledges = runner.m_storedEnd > runner.m_acknowledgedEnd &&
                            IsReportRecent(runner, aNow);
  // Only right after a report can ends be acknowledged, and a runner lists
  // further ones only then. So this renewal does not wait for its turn.
  const bool isEarly =
      aNow - runner.m_renewalOrderedAt < RenewalSpacing(aCell.m_window);
  if (aNow < runner.m_nextRenewalAt || (isEarly && !acknowledges)) return {};
  // A new instance numbers its ends from 1 again. If the runner has restarted
  // since its last report, a renewal that acknowledges ends may reach the new
  // instance at any later time and make it drop ends that nobody has read. So
  // no run may begin there before: starts that are under way are awaited, and
  // later ones have a higher fencing token, after which the renewal is refused.
  if (acknowledges && IsStartUnderWay(aCell, runner)) return {};
  if (runner.m_awaitsFence && aCell.m_newestFence <= runner.m_fence) return {};
  const bool hasRuns = !runner.m_tasks.empty() || runner.m_hasUnknownRuns ||
                       !runner.m_supersededRuns.empty();
  const bool hasWork = hasRuns || !runner.m_unstoredEnds.empty() ||
                       runner.m_storedEnd > runner.m_acknowledgedEnd;
  // The first renewal raises the fencing token on the runner, so that orders of
  // an earlier owner that are still under way are refused. An unresponsive
  // runner gets renewals until it answers, since nothing is placed there
  // before.
  const bool unresponsive = runner.m_missedRenewals > 0 && runner.m_listed;
  if (runner.m_contacted && !hasWork && !unresponsive) return {};
  if (!runner.m_contacted && !runner.m_listed && !hasWork) return {};
  // The runner would report ends that are not durable yet at once again. While
  // the store is unavailable, the lease is renewed all the same, but less
  // often.
  if (!runner.m_unstoredEnds.empty() &&
      aNow - runner.m_clockAt < kUnstoredRenewalInterval) {
    return {};
  }
  runner.m_awaitsFence = false;
  runner.m_fence = std::max(runner.m_fence, aCell.m_newestFence);
  RenewalOrder order;
  order.m_runner = aRunner;
  order.m_address = runner.m_entry.m_address;
  order.m_id = runner.m_entry.m_id;
  order.m_fence = runner.m_fence;
  if (acknowledges) order.m_lastSeen = runner.m_storedEnd;
  runner.m_pendingAckEnd = order.m_lastSeen;
  if (runner.m_contacted) {
    // An unanswered renewal may be in force. Repeating it with the same lease
    // end keeps m_lapsesAt from moving.
    order.m_deadline = runner.m_missedRenewals > 0
                           ? runner.m_lastDeadline
                           : OrderDeadline(aCell, runner, aNow);
    const bool watches = runner.m_longRunningCores.Value() > 0 &&
                         runner.m_bestEffortCores.Value() > 0;
    order.m_wait = watches ? aCell.m_settings.m_monitoredRenewalWait
                           : aCell.m_settings.m_renewalWait;
    const bool needsListSoon = HasTaskIn(
        aCell, runner, {TaskPhase::StartUnanswered, TaskPhase::Recovering});
    // Once heartbeats succeed again, such a lease has to be extended soon.
    const bool endsSoon =
        order.m_deadline <
        RunnerClockAt(runner, aNow) + RunnerMillis(WholeMillis(kShortLease));
    if (endsSoon) {
      order.m_wait =
          std::min(order.m_wait, aCell.m_settings.m_monitoredRenewalWait);
    }
    if (needsListSoon || !hasRuns || runner.m_missedRenewals > 0 ||
        runner.m_wantsCertainReport) {
      order.m_wait = Duration::zero();
    }
  }
  order.m_newConnection = runner.m_wantsCertainReport || !runner.m_contacted;
  runner.m_renewalPending = true;
  runner.m_renewalOrderedAt = aNow;
  return order;
}

void ApplyRenewalFailure(Cell& aCell, RunnerIndex aRunner,
                         OrderOutcome aOutcome, TimePoint aNow) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  runner.m_renewalPending = false;
  ++runner.m_missedRenewals;
  runner.m_refused = aOutcome == OrderOutcome::NotSent;
  const bool hasWork = !runner.m_tasks.empty();
  runner.m_nextRenewalAt = aNow + (!hasWork           ? kIdleRetry
                                   : runner.m_refused ? kRefusedRetry
                                                      : kRenewalRetry);
  if (aOutcome == OrderOutcome::WrongInstance) {
    EndInstance(aCell, runner, aNow);
    runner.m_nextRenewalAt = aNow + kRefusedRetry;
  }
}

}  // namespace bronze::sched
