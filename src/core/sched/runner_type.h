/**
 * @file runner_type.h Runners: their own reports, and the state that a cell's
 * owner keeps about them.
 */

#ifndef BRONZE_CORE_SCHED_RUNNER_TYPE_H_
#define BRONZE_CORE_SCHED_RUNNER_TYPE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/sched/job_type.h"

namespace bronze::sched {

/** Milliseconds on the steady clock of one runner. */
using RunnerMillis = Quantity<struct RunnerMillisTag>;
using EndNumber = Sequence<struct EndNumberTag>;  ///< 0: before the first end.

/** A runner as listed by the platform. */
struct RunnerEntry {
  RunnerId m_id;
  ServiceId m_service;
  std::string m_address;
  DataCentreId m_dataCentre;
  Resources m_capacity;
  std::vector<std::string> m_labels;  ///< Its kind, then its rack.
  bool m_draining = false;
  UnixMillis m_startedAt;  ///< Start time of its instance; 0: unknown.
  /** How much longer it works slowly after its start or after an evacuation. */
  Duration m_coldLeft{};
};

enum class EndKind : uint8_t {
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken,  ///< Another member of its gang ended.
  Alone,   ///< The other members of its gang did not arrive in time.
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

/** A runner's answer to a renewal of its lease. */
struct RunnerReport {
  std::string m_address;  ///< At which the runner answered.
  RunnerMillis m_clock;
  UnixMillis m_startedAt;  ///< Start time of its instance; 0: unknown.
  std::vector<RunningRow> m_running;
  std::vector<EndRow> m_ended;
  /** m_ended has every end that the runner keeps. Only then has a run that is
   * in neither list left no end, and counts as lost; else its end may follow.
   */
  bool m_allEndsListed = false;
  /** Its connection had carried an answer before. Then it may have been made
   * for an earlier renewal: what it lists is true, but what it lacks shows
   * nothing.
   */
  bool m_onKeptConnection = false;
};

/** A reported end that is acknowledged once that version of its job is
 *  durable. */
struct UnstoredEnd {
  EndNumber m_number;
  JobId m_job;
  /** Version of the job when the end was read, also if the end changed nothing:
   *  what made it superfluous may not be durable yet. 0: there is no such job.
   */
  uint64_t m_jobVersion = 0;
};

/** A run that its task needs no more, as another one has succeeded. Its stop is
 *  repeated until it is known to have ended. */
struct SupersededRun {
  TaskKey m_task;
  RunNumber m_run;
  TimePoint m_since;  ///< When the other run was known to have succeeded.
  TimePoint m_stopOrderedAt;             ///< Time of the last stop order.
  std::optional<TimePoint> m_decidedAt;  ///< As Task::m_decidedAt.
};

struct Runner {
  RunnerEntry m_entry;
  std::string m_rack;     ///< The last label; empty if there is none.
  bool m_listed = false;  ///< Currently in the platform's list.
  /** Its data centre is under evacuation: nothing is started there. */
  bool m_evacuated = false;
  TimePoint m_coldUntil;  ///< It works slowly before this time.

  /** Fencing token sent with each order. It is raised with each start, each
   *  renewal and for each new instance of the runner, so that an order that
   *  arrives late is refused wherever a newer one has arrived. */
  FencingToken m_fence;
  /** No renewal is sent before m_fence has been raised. */
  bool m_awaitsFence = false;
  /** Address at which the present instance has answered; empty: it has not.
   *  Only an answer from there tells anything about it. */
  std::string m_answeredAt;
  /** Has answered an order with this owner's fencing token. */
  bool m_contacted = false;
  RunnerMillis m_clock;  ///< The runner's clock at its last answer.
  TimePoint m_clockAt;   ///< Local time at which that answer was read.
  /** How much longer that answer took than the one before, by the runner's
   *  clock. An owner that was suspended reads answers late. */
  Duration m_reportLag = Duration::zero();
  /** Latest lease end ordered, on the runner's clock. */
  RunnerMillis m_lastDeadline;
  /** By this time a lease has ended that this instance may have taken from an
   *  order to an earlier one (MisdirectedLeaseEnd). */
  TimePoint m_misdirectedLeaseEnd;
  /** By this time the lease and all runs there have ended. Until the runner
   *  answers, it is not before m_misdirectedLeaseEnd. */
  TimePoint m_lapsesAt;
  /** The stored owner row may contain m_lapsesAt (unresponsive_runner_cmd.h).
   *  No later lease end is ordered until a row without it is durable. */
  bool m_lapseStored = false;
  bool m_lapseCounted = false;  ///< The end of its lease was counted.

  bool m_renewalPending = false;
  TimePoint m_nextRenewalAt;
  TimePoint m_renewalOrderedAt;   ///< When the last renewal was ordered.
  uint32_t m_missedRenewals = 0;  ///< Consecutive renewals without an answer.
  bool m_refused = false;         ///< The last connection was refused.
  /** The last report lacks a run. The next renewal uses a new connection, so
   *  that its report shows whether the run has ended. */
  bool m_wantsCertainReport = false;

  EndNumber m_readEnd;    ///< Highest end that was processed.
  EndNumber m_storedEnd;  ///< Highest end that is durable.
  /** Highest end acknowledged by a renewal that was answered. */
  EndNumber m_acknowledgedEnd;
  EndNumber m_pendingAckEnd;  ///< End that the pending renewal acknowledges.
  std::deque<UnstoredEnd> m_unstoredEnds;

  Resources m_reserved;  ///< Reserved by tasks that are not best-effort.
  Mebibytes m_bestEffortMemory;   ///< Memory reserved by best-effort tasks.
  Millicores m_bestEffortCores;   ///< Declared cores of best-effort tasks.
  Millicores m_longRunningCores;  ///< Declared cores of long-running tasks.
  /** Tasks in a phase from Intended to Stopping. */
  std::vector<TaskKey> m_tasks;
  /** The last report listed runs that no stored state asks for. Their
   *  resources are not in m_reserved, so nothing is placed there until they
   *  have ended. */
  bool m_hasUnknownRuns = false;
  /** Runs whose resources are not in m_reserved any more, but may be in use. A
   *  run leaves only with a proof that it has ended (Task::m_decidedAt).
   * Nothing is placed there before. */
  std::vector<SupersededRun> m_supersededRuns;

  uint32_t m_failuresInRow = 0;
  /** Quarantines since a task last succeeded there, 3 at most. Runs that fail
   *  or stall during a quarantine began before it, so they add none. */
  uint32_t m_quarantineCount = 0;
  /** Before this time, only long-running tasks that have lost their run and
   *  found no other runner are placed there (restart_cmd.h). */
  TimePoint m_quarantinedUntil;
  TimePoint m_pausedUntil;   ///< Nothing at all is placed there before.
  TimePoint m_lastPlacedAt;  ///< When a task was last placed there.
  /** Moving average of run time over estimate; 1: as estimated. */
  double m_slowness = 1.0;
  /** By image; the cores sum to m_bestEffortCores. */
  std::vector<BestEffortDemand> m_bestEffortDemands;
  /** Cores that best-effort images used recently. */
  std::vector<UsedShare> m_used;
  TimePoint m_usedAt;  ///< When m_used was last updated.
  /** Long-running tasks there, by the last report. */
  std::vector<LatencyCriticalView> m_latencyCritical;
  /** Highest ratio of tail latency to target in the last report. */
  double m_tailRatio = 0.0;
  TimePoint m_overTargetSince;  ///< Since when m_isOverTarget holds.
  /** A tail latency exceeded its target and has not dropped well below it
   *  since. */
  bool m_isOverTarget = false;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_RUNNER_TYPE_H_
