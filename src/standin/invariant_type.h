/**
 * @file invariant_type.h Counters, and histories that show violated invariants.
 */

#ifndef BRONZE_STANDIN_INVARIANT_TYPE_H_
#define BRONZE_STANDIN_INVARIANT_TYPE_H_

#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** Number of events of one type, in total and in the busiest second. */
struct RatePeak {
  int64_t m_second = 0;  ///< The clock's second that m_count belongs to.
  uint64_t m_count = 0;
  uint64_t m_peak = 0;  ///< Highest m_count of any second.
  uint64_t m_total = 0;
};

/** Runs of one task on all workers so far. */
struct TaskHistory {
  std::set<WorkerId> m_runningOn;  ///< More than one is a violation.
  FencingToken m_highestToken;     ///< Highest that any worker accepted.
  uint64_t m_starts = 0;
  uint64_t m_lostRuns = 0;  ///< Runs that left no result behind.
};

/** Use of the slots of all runners over time. */
struct SlotUse {
  Slots m_total;
  Slots m_used;
  Slots m_peak;
  TimePoint m_integratedUntil;  ///< End of the time that m_integral covers.
  TimePoint m_sampleStart;      ///< Start of the current sample.
  double m_integral = 0.0;      ///< Slot-seconds used in the current sample.
  std::deque<double> m_shareSeries;  ///< Mean share used, per second.
};

/** Counters of violations and events, and the histories behind them. */
struct Invariants {
  uint64_t m_overCapacity = 0;
  uint64_t m_taskInTwoPlaces = 0;
  uint64_t m_slotOverCommitments = 0;
  uint64_t m_nonIdempotentTwice = 0;
  uint64_t m_resumedTwice = 0;
  uint64_t m_workAfterLeaving = 0;
  uint64_t m_tasksStarted = 0;
  uint64_t m_tasksFinished = 0;
  uint64_t m_tasksFailed = 0;
  uint64_t m_tasksResumed = 0;  ///< Tasks started from a checkpoint.
  uint64_t m_leasesLapsed = 0;
  uint64_t m_staleTokens = 0;
  uint64_t m_requestsRun = 0;
  uint64_t m_objectReads = 0;
  uint64_t m_objectWrites = 0;
  uint64_t m_rowsWritten = 0;
  RatePeak m_tableReads;
  RatePeak m_tableWrites;   ///< Committed transactions that wrote rows.
  RatePeak m_transactions;  ///< All transactions, committed or refused.
  SlotUse m_slots;
  std::unordered_map<TaskId, TaskHistory> m_tasks;
  std::unordered_set<std::string> m_keys;     ///< Keys of requests run.
  std::unordered_set<std::string> m_markers;  ///< Markers of requests run.
  std::vector<std::string> m_violations;      ///< Texts of the first ones.
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_INVARIANT_TYPE_H_
