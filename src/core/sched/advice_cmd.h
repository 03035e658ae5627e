/**
 * @file advice_cmd.h Queues whose policy restricts the runners: requests
 * tickets from the advice service and keeps its answers.
 */

#ifndef BRONZE_CORE_SCHED_ADVICE_CMD_H_
#define BRONZE_CORE_SCHED_ADVICE_CMD_H_

#include "core/sched/placement_func.h"

namespace bronze::sched {

/** One approved runner in an answer of the advice service. */
struct AdviceRow {
  RunnerId m_runner;
  std::string m_ticket;
};

/** @return the valid approval for the runner's current instance, or null. */
[[nodiscard]] const Approval* ApprovalOf(const Cell& aCell,
                                         const StepKey& aStep,
                                         RunnerIndex aRunner, TimePoint aNow);

/**
 * Orders a call about the best runners without a valid approval, unless the
 * step has a call pending or the limit of calls is reached.
 * @pre No approved runner has room for a task of the step.
 */
void AskAdvice(Cell& aCell, const StepKey& aStep, const AdvicePolicy& aPolicy,
               const PlacementQuery& aQuery, TimePoint aNow);

/** @param aAskedAt when the call was sent; the lifetime of its tickets starts
 *  then. */
void ApplyAdvice(Cell& aCell, const AdviceOrder& aOrder,
                 const std::vector<AdviceRow>& aApproved, Duration aValid,
                 TimePoint aAskedAt);

/** The call was refused or got no answer. */
void ApplyAdviceFailure(Cell& aCell, const AdviceOrder& aOrder, TimePoint aNow);

/** Forgets an approval, as the runner has refused its ticket. */
void DropApproval(Cell& aCell, const StepKey& aStep, RunnerIndex aRunner);

/** Forgets all advice for a job that has ended. */
void ForgetAdvice(Cell& aCell, JobId aJob);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_ADVICE_CMD_H_
