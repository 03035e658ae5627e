/**
 * @file runner_cmd.h What the owner of a cell learns about runners: the
 * platform's list, reports, and answers to orders.
 */

#ifndef BRONZE_CORE_SCHED_RUNNER_CMD_H_
#define BRONZE_CORE_SCHED_RUNNER_CMD_H_

#include <optional>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** A renewal of a runner's lease that also reads its lists. */
struct HoldOrder {
  RunnerIndex m_runner;
  std::string m_address;
  RunnerId m_id;
  RunnerMillis m_deadline;  ///< Zero: the runner's clock is not known yet.
  FencingToken m_fence;
  EndNumber m_lastSeen;
  Duration m_wait{};
};

/** How an order to a runner came out. */
enum class OrderOutcome : uint8_t {
  Applied,
  RefusedFence,  ///< The runner has seen a higher fencing token.
  RefusedOld,    ///< It has stopped or ended this run or a later one.
  RefusedLate,   ///< The deadline has passed on its clock.
  RefusedRoom,   ///< The task does not fit.
  RefusedTicket,
  RefusedOther,   ///< It has certainly done nothing.
  WrongInstance,  ///< Another life of the runner answered.
  NotSent,        ///< No connection: certainly nothing arrived.
  Unknown,        ///< No answer: it may still be carried out.
};

/** Enters or updates a runner. @return its index. */
RunnerIndex UpdateRunner(Cell& aCell, const RunnerEntry& aEntry,
                         TimePoint aNow);

/** The runner is no longer in the platform's list. */
void RemoveRunner(Cell& aCell, const RunnerId& aRunner);

/** @return the index of the runner, entered without an address if unknown. */
RunnerIndex RunnerByName(Cell& aCell, const RunnerId& aRunner, TimePoint aNow);

/** @return the renewal that is due now, if any; it counts as under way. */
[[nodiscard]] std::optional<HoldOrder> NextHold(Cell& aCell,
                                                RunnerIndex aRunner,
                                                TimePoint aNow);

/** The runner's clock now, by its last answer. */
[[nodiscard]] RunnerMillis RunnerClockAt(const Runner& aRunner, TimePoint aNow);

/** The lease end to order now; noted as possibly in force. */
RunnerMillis OrderDeadline(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** @param aSentAt when the renewal left; older facts are newer than the list.
 */
void ApplyReport(Cell& aCell, RunnerIndex aRunner, const RunnerReport& aReport,
                 TimePoint aSentAt, TimePoint aNow);

/** The renewal was refused or has no answer. */
void ApplyHoldFailure(Cell& aCell, RunnerIndex aRunner, OrderOutcome aOutcome,
                      TimePoint aNow);

void ApplyStartAnswer(Cell& aCell, const StartOrder& aOrder,
                      OrderOutcome aOutcome, TimePoint aNow);

void ApplyStopAnswer(Cell& aCell, const StopOrder& aOrder,
                     OrderOutcome aOutcome, TimePoint aNow);

/** A pace that did not arrive is ordered again after the next report. */
void ApplyPaceAnswer(Cell& aCell, const PaceOrder& aOrder,
                     OrderOutcome aOutcome);

/** A version of a job is durable: its ends may be acknowledged. */
void ReleaseStoredEnds(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** Ends the runs on runners whose lease has run out, and repeats stops. */
void AdvanceRunners(Cell& aCell, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RUNNER_CMD_H_
