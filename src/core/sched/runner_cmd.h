/**
 * @file runner_cmd.h Input of a cell's owner about its runners: the platform's
 * list, reports, and answers to orders.
 */

#ifndef BRONZE_CORE_SCHED_RUNNER_CMD_H_
#define BRONZE_CORE_SCHED_RUNNER_CMD_H_

#include <optional>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** A renewal of a runner's lease; the answer is the runner's report. */
struct RenewalOrder {
  RunnerIndex m_runner;
  std::string m_address;
  RunnerId m_id;
  /** Lease end; zero: the runner's clock is unknown yet. */
  RunnerMillis m_deadline;
  FencingToken m_fence;
  EndNumber m_lastSeen;
  Duration m_wait{};
  /** To be sent on a new connection (RunnerReport::m_onKeptConnection). */
  bool m_newConnection = false;
};

/** Outcome of an order to a runner. */
enum class OrderOutcome : uint8_t {
  Applied,
  /** The runner has seen a higher fencing token, perhaps in a newer order of
   *  the same owner that has overtaken this one. */
  RefusedFence,
  RefusedOld,   ///< The runner has stopped or ended this run or a later one.
  RefusedLate,  ///< The deadline has passed on the runner's clock.
  RefusedRoom,  ///< The task does not fit.
  RefusedTicket,
  RefusedOther,  ///< Refused for another reason; nothing was done.
  /** Another instance answered at the address at which this one has answered
   *  before. So this one has ended. */
  WrongInstance,
  /** Another runner answered, at an address at which this one never has.
   * Nothing is known of this one but that the order has not reached it. */
  WrongAddress,
  NotSent,    ///< No connection: nothing arrived.
  Unknown,    ///< No answer: the order may still be executed.
  Withdrawn,  ///< The owner may not send it now; nothing arrived.
};

/** @return what is known of a start after an answer that shows no other owner.
 *  @param aOnKeptConnection the refusal may be that of an earlier order of this
 *         owner, so that the start may have been carried out. */
[[nodiscard]] inline OrderOutcome OutcomeOfOwnStart(OrderOutcome aOutcome,
                                                    bool aOnKeptConnection) {
  const bool isUncertain =
      aOutcome == OrderOutcome::RefusedFence && aOnKeptConnection;
  return isUncertain ? OrderOutcome::Unknown : aOutcome;
}

/** @return what an answer from the address proves about the runner. */
[[nodiscard]] OrderOutcome OutcomeAt(const Runner& aRunner,
                                     const std::string& aAddress,
                                     OrderOutcome aOutcome);

/** Begins the term of an owner whose cell was restored from its rows.
 *  @param aEarlierLeasesEnd becomes Cell::m_earlierLeasesEnd. */
void BeginTerm(Cell& aCell, TimePoint aEarlierLeasesEnd);

/** Whether the entry cannot be that of the runner, which has answered: one
 *  instance keeps its address, an id its service, and no earlier instance comes
 *  back. Such an entry is that of another writer, and changes nothing. */
[[nodiscard]] bool ContradictsRunner(const Cell& aCell,
                                     const RunnerEntry& aEntry);

/** Adds or updates a runner. @return its index. */
RunnerIndex UpdateRunner(Cell& aCell, const RunnerEntry& aEntry, TimePoint aNow,
                         UnixMillis aUnixNow);

/** The runner is no longer in the platform's list. */
void RemoveRunner(Cell& aCell, const RunnerId& aRunner);

/** @return the index of the runner, which is added without an address if it is
 *  unknown. */
RunnerIndex FindOrAddRunner(Cell& aCell, const RunnerId& aRunner);

/** @return the renewal that is due now, if any; it counts as pending. */
[[nodiscard]] std::optional<RenewalOrder> NextRenewal(Cell& aCell,
                                                      RunnerIndex aRunner,
                                                      TimePoint aNow);

/** Estimates the runner's current clock from its last answer. */
[[nodiscard]] RunnerMillis RunnerClockAt(const Runner& aRunner, TimePoint aNow);

/** @return the lease end to order now, within Cell::m_leaseHorizon; it is
 *          recorded as possibly in force. */
RunnerMillis OrderDeadline(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** @param aSentAt when the renewal was sent; task states that changed later
 *  are newer than the report. */
void ApplyReport(Cell& aCell, RunnerIndex aRunner, const RunnerReport& aReport,
                 TimePoint aSentAt, TimePoint aNow);

/** The renewal was refused or got no answer. */
void ApplyRenewalFailure(Cell& aCell, RunnerIndex aRunner,
                         OrderOutcome aOutcome, TimePoint aNow);

/** @param aClock the runner's clock when it answered; empty: unknown. */
void ApplyStartAnswer(Cell& aCell, const StartOrder& aOrder,
                      OrderOutcome aOutcome, std::optional<RunnerMillis> aClock,
                      TimePoint aNow);

void ApplyStopAnswer(Cell& aCell, const StopOrder& aOrder,
                     OrderOutcome aOutcome, TimePoint aNow);

/** If the order was not applied, the pace is not known any more, and is ordered
 *  again after the next report. */
void ApplyPaceAnswer(Cell& aCell, const PaceOrder& aOrder,
                     OrderOutcome aOutcome);

/** Acknowledges the ends whose job version is durable. */
void ReleaseStoredEnds(Cell& aCell, Runner& aRunner, TimePoint aNow);

/** Requeues the tasks of runners whose lease has ended, and repeats unanswered
 *  stops. */
void AdvanceRunners(Cell& aCell, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RUNNER_CMD_H_
