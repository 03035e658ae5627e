/**
 * @file advice_cmd.cpp Queues whose policy restricts the runners.
 */

#include "core/sched/advice_cmd.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Maximum runners in one call. The target time of a job allows for one call
 *  of this size per step (the platform's documentation). */
constexpr size_t kRunnersPerCall = 30;
/** Maximum pending calls. The service handles one call of a VM at a time; more
 *  would only queue there, where a more urgent one cannot overtake them. */
constexpr uint32_t kMaxCalls = 2;
constexpr Duration kRetryPause = milliseconds(300);
/** A start is sent up to this long after its runner was chosen, since the
 *  choice must be durable first. */
constexpr Duration kCommitTime = milliseconds(100);

struct Candidate {
  RunnerIndex m_runner;
  /** Was approved earlier; the ticket has expired or was for an earlier
   *  instance. */
  bool m_known = false;
  double m_score = 0.0;
};

std::vector<Candidate> CandidatesFor(const Cell& aCell, const StepKey& aStep,
                                     const PlacementQuery& aQuery,
                                     TimePoint aNow) {
  PlacementQuery unrestricted = aQuery;
  unrestricted.m_isApproved = nullptr;
  const auto advice = aCell.m_advice.find(aStep);
  std::vector<Candidate> candidates;
  for (uint32_t at = 0; at < aCell.m_runners.size(); ++at) {
    const RunnerIndex index(at);
    const Runner& runner = aCell.m_runners[at];
    if (!IsUsable(runner, aQuery.m_service, aNow)) continue;
    if (!MeetsConstraints(unrestricted, runner, index)) continue;
    if (!Fits(aQuery.m_step->m_need, runner.m_entry.m_capacity)) continue;
    if (ApprovalOf(aCell, aStep, index, aNow) != nullptr) continue;
    Candidate candidate{index, false,
                        Score(aCell.m_settings, runner, *aQuery.m_step)};
    if (advice != aCell.m_advice.end()) {
      if (advice->second.m_refused.count(index) > 0) continue;
      candidate.m_known = advice->second.m_approvals.count(index) > 0;
    }
    candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              if (aLeft.m_known != aRight.m_known) return aLeft.m_known;
              return aLeft.m_score > aRight.m_score;
            });
  if (candidates.size() > kRunnersPerCall) candidates.resize(kRunnersPerCall);
  return candidates;
}

}  // namespace

const Approval* ApprovalOf(const Cell& aCell, const StepKey& aStep,
                           RunnerIndex aRunner, TimePoint aNow) {
  const auto advice = aCell.m_advice.find(aStep);
  if (advice == aCell.m_advice.end()) return nullptr;
  const auto found = advice->second.m_approvals.find(aRunner);
  if (found == advice->second.m_approvals.end()) return nullptr;
  const Approval& approval = found->second;
  const bool valid = aNow + kCommitTime < approval.m_validUntil &&
                     approval.m_startedAt ==
                         aCell.m_runners[aRunner.Value()].m_entry.m_startedAt;
  return valid ? &approval : nullptr;
}

void AskAdvice(Cell& aCell, const StepKey& aStep, const AdvicePolicy& aPolicy,
               const PlacementQuery& aQuery, TimePoint aNow) {
  if (aCell.m_adviceCalls >= kMaxCalls) return;
  const auto known = aCell.m_advice.find(aStep);
  if (known != aCell.m_advice.end() &&
      (known->second.m_pending || aNow < known->second.m_notBefore)) {
    return;
  }
  AdviceOrder order{aStep, {}, aPolicy};
  for (const Candidate& candidate : CandidatesFor(aCell, aStep, aQuery, aNow)) {
    order.m_runners.push_back(candidate.m_runner);
  }
  if (order.m_runners.empty()) return;
  aCell.m_advice[aStep].m_pending = true;
  ++aCell.m_adviceCalls;
  ++aCell.m_counts.m_adviceAsked;
  LogDecision(aCell, fmt::format("requests advice step={} runners={}",
                                 StepText(aStep), order.m_runners.size()));
  aCell.m_orders.emplace_back(std::move(order));
}

void ApplyAdvice(Cell& aCell, const AdviceOrder& aOrder,
                 const std::vector<AdviceRow>& aApproved, Duration aValid,
                 TimePoint aAskedAt) {
  if (aCell.m_adviceCalls > 0) --aCell.m_adviceCalls;
  const auto advice = aCell.m_advice.find(aOrder.m_step);
  if (advice == aCell.m_advice.end()) return;
  advice->second.m_pending = false;
  // More runners may be used now.
  aCell.m_failedSearches.m_byStep.erase(aOrder.m_step);
  for (const RunnerIndex runner : aOrder.m_runners) {
    const RunnerEntry& entry = aCell.m_runners[runner.Value()].m_entry;
    const auto row = std::find_if(
        aApproved.begin(), aApproved.end(),
        [&](const AdviceRow& aRow) { return aRow.m_runner == entry.m_id; });
    if (row == aApproved.end()) {
      advice->second.m_approvals.erase(runner);
      advice->second.m_refused.insert(runner);
    } else {
      advice->second.m_approvals[runner] = {entry.m_startedAt, row->m_ticket,
                                            aAskedAt + aValid};
    }
  }
  LogDecision(aCell, fmt::format("received advice step={} asked={} approved={}",
                                 StepText(aOrder.m_step),
                                 aOrder.m_runners.size(), aApproved.size()));
  aCell.m_capacityChanged = true;
}

void ApplyAdviceFailure(Cell& aCell, const AdviceOrder& aOrder,
                        TimePoint aNow) {
  if (aCell.m_adviceCalls > 0) --aCell.m_adviceCalls;
  ++aCell.m_counts.m_adviceFailed;
  const auto advice = aCell.m_advice.find(aOrder.m_step);
  if (advice == aCell.m_advice.end()) return;
  advice->second.m_pending = false;
  advice->second.m_notBefore = aNow + kRetryPause;
}

void DropApproval(Cell& aCell, const StepKey& aStep, RunnerIndex aRunner) {
  const auto advice = aCell.m_advice.find(aStep);
  if (advice != aCell.m_advice.end()) advice->second.m_approvals.erase(aRunner);
}

void ForgetAdvice(Cell& aCell, JobId aJob) {
  const auto first = aCell.m_advice.lower_bound({aJob, 0, 0});
  auto last = first;
  while (last != aCell.m_advice.end() && last->first.m_job == aJob) ++last;
  aCell.m_advice.erase(first, last);
}

}  // namespace bronze::sched
