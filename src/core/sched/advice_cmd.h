/**
 * @file advice_cmd.h Queues whose policy allows only some runners: asks the
 * advice service for tickets, and keeps what it said.
 */

#ifndef BRONZE_CORE_SCHED_ADVICE_CMD_H_
#define BRONZE_CORE_SCHED_ADVICE_CMD_H_

#include "core/sched/placement_func.h"

namespace bronze::sched {

/** A row of the service's answer. */
struct AdviceRow {
  RunnerId m_runner;
  std::string m_ticket;
};

/** @return the valid approval of the runner's present life, or null. */
[[nodiscard]] const Approval* ApprovalOf(const Cell& aCell,
                                         const StepKey& aStep,
                                         RunnerIndex aRunner, TimePoint aNow);

/**
 * Orders a call about runners without a valid approval, the best places first,
 * unless one is under way.
 * @pre No approved runner has room for a task of the step.
 */
void AskAdvice(Cell& aCell, const StepKey& aStep, const AdvicePolicy& aPolicy,
               const PlacementQuery& aQuery, TimePoint aNow);

/** @param aAskedAt when the call left; tickets run out from then on. */
void ApplyAdvice(Cell& aCell, const AdviceOrder& aOrder,
                 const std::vector<AdviceRow>& aApproved, Duration aValid,
                 TimePoint aAskedAt);

/** The call was refused or has no answer. */
void ApplyAdviceFailure(Cell& aCell, const AdviceOrder& aOrder, TimePoint aNow);

/** The runner has refused the ticket. */
void DropApproval(Cell& aCell, const StepKey& aStep, RunnerIndex aRunner);

/** The job has ended. */
void ForgetAdvice(Cell& aCell, JobId aJob);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_ADVICE_CMD_H_
