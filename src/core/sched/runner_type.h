/**
 * @file runner_type.h Runners: what they say of themselves and what the owner
 * of a cell believes about them.
 */

#ifndef BRONZE_CORE_SCHED_RUNNER_TYPE_H_
#define BRONZE_CORE_SCHED_RUNNER_TYPE_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/sched/job_type.h"

namespace bronze::sched {

/** Milliseconds on one runner's own steady clock. */
using RunnerMillis = Quantity<struct RunnerMillisTag>;
using EndNumber = Sequence<struct EndNumberTag>;  ///< 0: before the first.

/** A runner as the platform's list shows it. */
struct RunnerEntry {
  RunnerId m_id;
  ServiceId m_service;
  std::string m_address;
  DataCentreId m_dataCentre;
  Resources m_capacity;
  std::vector<std::string> m_labels;  ///< Its kind and its rack.
  bool m_draining = false;
  UnixMillis m_born;  ///< 0: not said.
};

enum class EndKind : uint8_t {
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken,  ///< Another member of the gang ended.
  Alone,   ///< Waited too long for the other members.
};

struct RunningRow {
  TaskKey m_task;
  RunNumber m_run;
  std::string m_checkpoint;
  int m_percent = 0;
  int64_t m_measure = 0;
};

struct EndRow {
  EndNumber m_number;
  TaskKey m_task;
  RunNumber m_run;
  EndKind m_kind = EndKind::Done;
  std::string m_checkpoint;
};

/** What a runner answers to a renewal of its lease. */
struct RunnerReport {
  RunnerMillis m_clock;
  UnixMillis m_born;  ///< 0: not said.
  std::vector<RunningRow> m_running;
  std::vector<EndRow> m_ended;
};

/** An end that was read and becomes final when its job's version is durable. */
struct UnstoredEnd {
  EndNumber m_number;
  JobId m_job;
  uint64_t m_jobVersion = 0;  ///< 0: nothing to store.
};

struct Runner {
  RunnerEntry m_entry;
  std::string m_rack;     ///< Last label; empty if there is none.
  bool m_listed = false;  ///< In the platform's list at present.

  /** Goes with each order. It rises with each start, each renewal and for each
   *  new life of the runner, so that an order which is carried out seconds late
   *  is refused wherever a later one has arrived. */
  FencingToken m_fence;
  bool m_awaitsFence = false;   ///< No contact before m_fence has risen.
  bool m_contacted = false;     ///< Has answered this owner's fencing token.
  RunnerMillis m_clock;         ///< At its last answer.
  TimePoint m_clockAt;          ///< When that answer was read.
  RunnerMillis m_lastDeadline;  ///< Highest lease end that was ever ordered.
  TimePoint m_lapsesAt;         ///< All that ran there has ended by then.
  /** The stored row may name m_lapsesAt (silence_cmd.h): no later lease end is
   *  ordered until a row without it is durable. */
  bool m_lapseStored = false;

  bool m_holdPending = false;
  TimePoint m_nextHoldAt;
  uint32_t m_missedHolds = 0;  ///< Unanswered in a row.
  bool m_refused = false;      ///< The last contact was refused.

  EndNumber m_readEnd;    ///< Highest end that was processed.
  EndNumber m_storedEnd;  ///< Highest end that is durable.
  EndNumber m_toldEnd;    ///< Highest end that an answered renewal named.
  EndNumber m_askedEnd;   ///< The one that the renewal under way names.
  std::deque<UnstoredEnd> m_unstoredEnds;

  Resources m_reserved;          ///< By tasks that count against capacity.
  Mebibytes m_fillMemory;        ///< By tasks that fill.
  Millicores m_fillDemand;       ///< Declared cores of tasks that fill.
  Millicores m_servingCores;     ///< Declared cores of tasks that last.
  std::vector<TaskKey> m_tasks;  ///< Intended up to Stopping.
  /** The last list held runs that no stored intent asks for. Their need is not
   *  in m_reserved, so nothing is placed there until they are gone. */
  bool m_hasUnknownRuns = false;

  uint32_t m_failuresInRow = 0;
  uint32_t m_quarantineCount = 0;
  TimePoint m_quarantinedUntil;  ///< Nothing is placed there before.
  TimePoint m_lastPlacedAt;      ///< Of the newest intent.
  double m_slowness = 1.0;       ///< Run time over estimate, against the mean.
  std::vector<FillLoad> m_fillLoads;   ///< Sums to m_fillDemand.
  std::vector<UsedShare> m_used;       ///< Cores that fills used of late.
  TimePoint m_usedAt;                  ///< Of the last learning step.
  std::vector<ServingView> m_serving;  ///< By the last report.
  double m_pressure = 0.0;  ///< Highest tail over target, last report.
  TimePoint m_overSince;    ///< Start of the present time over a target.
  bool m_over = false;      ///< A tail is over its target.
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RUNNER_TYPE_H_
