/**
 * @file cell_base.h State of one cell: a set of runners and jobs that one entry
 * VM, the cell's owner, schedules.
 *
 * After a takeover the new owner rebuilds this state from the stored rows and
 * the runners' reports. Whatever has to survive the owner is written to the
 * store through TakeCommit (commit_cmd.h) before any order that depends on it
 * is sent.
 */

#ifndef BRONZE_CORE_SCHED_CELL_BASE_H_
#define BRONZE_CORE_SCHED_CELL_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/sched/failed_search_type.h"
#include "core/sched/job_type.h"
#include "core/sched/order_window_type.h"
#include "core/sched/runner_type.h"
#include "core/sched/stored_state_type.h"

namespace bronze::sched {

/** Limits and weights of the scheduling policy. The defaults assume a lease of
 *  10 s. */
struct CellSettings {
  /** Length of the lease that each renewal requests. */
  Duration m_lease = seconds(7);
  /** Runners shorten longer leases to this. */
  Duration m_leaseCap = seconds(10);
  /** How long an ended job can be looked up. */
  Duration m_statusRetention = seconds(150);
  /** How long a runner may hold back its answer to a renewal until a run ends,
   *  when no tail latencies have to be monitored. */
  Duration m_renewalWait = milliseconds(1500);
  /** The same for a runner with both best-effort and latency-critical tasks;
   *  it bounds the age of the measured tail latencies. */
  Duration m_monitoredRenewalWait = milliseconds(400);
  /** A task without progress for this long plus half its estimate is stopped
   *  and placed again. */
  Duration m_stallTime = milliseconds(2500);
  uint32_t m_failuresToQuarantine = 3;
  Duration m_quarantine = seconds(4);
  /** Share of the runners that may be in quarantine at once. */
  double m_maxQuarantineShare = 0.3;
  /** Share of its declared cores that a long-running task is assumed to use. */
  double m_longRunningUse = 0.6;
  /** Share of all cores that long-running tasks leave to short tasks, at least
   *  and at most. The recent demand of short tasks decides between the two. */
  double m_minShortReserve = 0.05;
  double m_maxShortReserve = 0.15;

  /** Half-life of the recorded peak. */
  Duration m_shortPeakHalfLife = seconds(15);
  /** Load left free below the limit of a latency-critical task when a
   *  best-effort task is placed beside it, as its own load fluctuates. */
  double m_placeMargin = 0.25;
  /** The same when best-effort tasks that already run beside it are throttled.
   */
  double m_paceMargin = 0.15;
  /** Both for best-effort tasks without slack (HasSlack). */
  double m_urgentPlaceMargin = 0.15;
  double m_urgentPaceMargin = 0.08;
  /** Run time of a task outside the rack of its data, as a multiple of its run
   *  time there. */
  double m_spreadFactor = 1.0;
  /** Failed searches, and steps, after which a pass stops to examine the queue
   *  from its front and continues where the last one stopped. */
  uint32_t m_maxFailedSearches = 64;
  uint32_t m_maxSteps = 4096;
  /** The same for the steps behind, in one pass. */
  uint32_t m_maxLaterSearches = 512;
  uint32_t m_maxLaterSteps = 1024;
  /** Failed searches for the steps behind between two full searches, in any
   *  number of passes. */
  uint32_t m_maxLaterSearchesOfInterval = 1024;
  uint32_t m_maxOpenJobs = 20000;  ///< Further jobs are refused.
  /** Occurrences of one job that may be open at once, and their tasks; one
   *  occurrence may always be open. Later ones begin when others end. */
  uint32_t m_maxOpenOccurrences = 500;
  uint32_t m_maxOpenTasks = 20000;
  /** Bytes of a row in the store. No row that TakeCommit returns is larger. */
  size_t m_rowBytes = 65536;
  /** Jobs with a larger state row are divided; at most m_rowBytes. */
  size_t m_stateBytes = 65536;
  /** Bytes of one transaction as sent; holds several rows of any size. */
  size_t m_commitBytes = 1'000'000;
};

struct StartOrder {
  TaskKey m_task;
  RunNumber m_run;
  RunnerIndex m_runner;
  std::string m_checkpoint;
  std::string m_ticket;  ///< Empty: the queue requires none.
};
struct StopOrder {
  TaskKey m_task;
  RunNumber m_run;
  RunnerIndex m_runner;
};
struct PaceOrder {
  TaskKey m_task;
  RunNumber m_run;
  RunnerIndex m_runner;
  int m_percent = 100;
};

/** A call to the advice service: which of these runners may run the step. */
struct AdviceOrder {
  StepKey m_step;
  std::vector<RunnerIndex> m_runners;
  AdvicePolicy m_policy;
};

/** A log line with the ids and inputs of a scheduling decision. */
struct Decision {
  std::string m_text;
};

using Order =
    std::variant<StartOrder, StopOrder, PaceOrder, AdviceOrder, Decision>;

/** Position of a step in the queue; only steps with tasks to place are queued.
 */
struct QueueKey {
  int m_priority = 0;
  TimePoint m_due;
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_step = 0;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

/** Counters for metrics and for answers about a queue. */
struct CellCounts {
  uint64_t m_accepted = 0;
  uint64_t m_completed = 0;
  uint64_t m_failed = 0;
  uint64_t m_oversizedJobs = 0;  ///< Refused: larger than a row of the store.
  uint64_t m_dividedJobs = 0;    ///< Jobs whose state was divided into rows.
  /** Requeued tasks with a checkpoint that is too long to be stored. */
  uint64_t m_oversizedCheckpoints = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_starts = 0;
  uint64_t m_stops = 0;
  uint64_t m_paces = 0;
  /** Times that a tail latency over its target paused the best-effort tasks of
   *  a runner. */
  uint64_t m_runnerPauses = 0;
  /** Measured loads of latency-critical tasks that were compared with the
   *  predicted ones, and the sums of both errors. */
  uint64_t m_loadPredictions = 0;
  double m_loadUnderestimate = 0.0;
  double m_loadOverestimate = 0.0;
  uint64_t m_endsByKind[6] = {};  ///< Indexed by EndKind.
  uint64_t m_lapsedRunners = 0;
  uint64_t m_stalledTasks = 0;
  uint64_t m_quarantines = 0;
  uint64_t m_rejectedStarts = 0;
  uint64_t m_preemptions = 0;
  /** Long-running tasks that were placed on a runner in quarantine. */
  uint64_t m_restartsInQuarantine = 0;
  /** Longest time in which a long-running task that had lost its run waited for
   *  a runner. */
  Duration m_longestRestartWait = Duration::zero();
  uint64_t m_adviceAsked = 0;
  uint64_t m_adviceFailed = 0;
  uint64_t m_jobsRouted = 0;   ///< New jobs sent to another cell.
  uint64_t m_jobsMoved = 0;    ///< Waiting jobs sent to another cell.
  uint64_t m_jobsAdopted = 0;  ///< Jobs that came from another cell.
  uint64_t m_windowFull = 0;   ///< Passes that the order window ended.
  /** Orders that another runner answered, at an address that an entry named but
   *  where the runner never answered. */
  uint64_t m_misdirectedOrders = 0;
  uint64_t m_staleListings = 0;  ///< Passes with an old list of runners.
  /** Passes with an old list of the operators' requests. */
  uint64_t m_staleRequests = 0;
  /** Longest round over the queue; see QueueRound. */
  Duration m_longestQueueRound = Duration::zero();
  /** Starts that an evacuation stopped after they had been decided. */
  uint64_t m_evacuatedStarts = 0;
};

/** Permission of the advice service to run a step on one runner. */
struct Approval {
  UnixMillis m_startedAt;  ///< Start time of the instance that it is valid for.
  std::string m_ticket;
  TimePoint m_validUntil;
};

/** Answers of the advice service for one step. Whether a runner is approved
 *  never changes, but its ticket expires. */
struct StepAdvice {
  std::map<RunnerIndex, Approval> m_approvals;
  std::set<RunnerIndex> m_refused;
  bool m_pending = false;  ///< A call has no answer yet.
  /** Earliest time of the next call, set after a failed one. */
  TimePoint m_notBefore;
};

/** The pool of runners of a queue, with the configuration version that
 *  assigned it. */
struct QueueService {
  ConfigVersion m_configVersion;
  ServiceId m_service;
};

/** A row of a block to delete from the store. */
struct BlockRemoval {
  TaskBlockKey m_block;
  /** Version of its job, if that still exists, that must be durable before: the
   *  first whose state row does not refer to the block. */
  uint64_t m_after = 0;
};

/** Where another cell schedules a job whose home is this cell (route_cmd.h). */
struct JobRoute {
  CellId m_cell;
  bool m_stored = false;  ///< Durable: callers may be sent there.
  /** Moves of the job up to this route; 0: it was never here. */
  uint32_t m_moveCount = 0;
  TimePoint m_since;  ///< When it was chosen or restored.
};

/** Passes that ended before the last step, up to one that reaches it. Each pass
 *  examines the front of the queue and goes on where the last one stopped, so
 *  no number of steps that cannot run hides those behind them. */
struct QueueRound {
  TimePoint m_began;
  /** The step to go on with; unset: behind the front. */
  std::optional<QueueKey> m_next;
};

struct Cell {
  CellSettings m_settings;
  /** Token of this ownership; higher than that of any earlier owner. */
  FencingToken m_fence;
  /** Newest durable version of the owner row: higher than all tokens used
   *  before and lower than those of the next owner. */
  FencingToken m_newestFence;
  /** No lease that this owner orders lasts longer: every order takes its lease
   *  end from OrderDeadline, which stops here. Only an acknowledged heartbeat
   *  moves it, so it stands still while this owner cannot know whether it has a
   *  successor, however long it was suspended. */
  TimePoint m_leaseHorizon;
  /** The horizons of all earlier owners have passed by then. Without a report,
   *  no run that they started counts as ended before. */
  TimePoint m_earlierLeasesEnd;
  std::unordered_map<JobId, Job> m_jobs;
  /** Never shrinks while the cell has this owner. */
  std::vector<Runner> m_runners;
  std::map<RunnerId, RunnerIndex> m_runnerByName;
  /** Exactly the steps with a task in TaskPhase::Ready, of active jobs that do
   *  not move; thus the occurrence of each exists. A step enters when a task
   *  becomes ready and leaves with the last one, whatever that task becomes
   *  (LeaveQueueIfIdle), and an occurrence only ends once no task is ready. */
  std::set<QueueKey> m_queue;
  /** Jobs with changes that no commit contains. */
  std::set<JobId> m_dirty;
  /** Jobs that are kept out of m_dirty until then; see HoldBackJob. */
  std::map<JobId, TimePoint> m_heldBack;
  /** Jobs whose callers wait until they are stored, in the order in which they
   *  came; contains each job with Job::m_waitsAsNew. These go first into a
   *  commit, up to a share of it. Entries of jobs that have left since are
   *  dropped by the next commit. */
  std::deque<JobId> m_newJobs;
  /** Other job that the last commit took last. The next one goes on behind it
   *  and round, so each of them is taken before any is taken twice, also while
   *  more jobs change than one commit holds. */
  JobId m_lastTaken;
  /** Next due time of each scheduled job. */
  std::set<std::pair<UnixMillis, JobId>> m_scheduled;
  /** By end time, for removal after m_statusRetention. */
  std::set<std::pair<TimePoint, JobId>> m_ended;
  /** Jobs whose rows are to be deleted from the store. They stay there until
   *  m_removedBlocks is empty, so that no block is left without its job. */
  std::vector<JobId> m_removed;
  std::vector<BlockRemoval> m_removedBlocks;
  std::set<JobId> m_moving;  ///< Jobs on their way to another cell.
  std::unordered_map<JobId, JobRoute> m_routes;
  std::set<JobId> m_dirtyRoutes;       ///< Routes to store.
  std::vector<JobId> m_removedRoutes;  ///< Routes to delete from the store.
  OrderWindow m_window;
  std::vector<Order> m_orders;  ///< To be sent, in this order.
  std::map<StepKey, StepAdvice> m_advice;
  uint32_t m_adviceCalls = 0;  ///< Calls without an answer yet.
  /** Per queue: exactly the active jobs without a schedule and without a
   *  started task. Only UpdatePending and RemoveFromPending (task_internal.h)
   *  change it. In a set, no job counts twice or is subtracted although it was
   *  never added. */
  std::map<QueueId, std::unordered_set<JobId>> m_pending;
  /** From the newest known configuration. */
  std::map<QueueId, QueueService> m_queueServices;
  /** Data centres under evacuation. Runner::m_evacuated follows from it. */
  std::set<DataCentreId> m_evacuations;
  Millicores m_shortDemand;  ///< Cores that short tasks hold or wait for.
  /** Exponentially decaying peak of m_shortDemand, in millicores. */
  double m_shortPeak = 0.0;
  TimePoint m_shortPeakAt;  ///< When m_shortPeak was updated.
  /** Highest, that is least urgent, priority of an active job; updated with
   *  m_shortPeak. Tasks of such jobs preempt nothing. */
  int m_leastUrgent = 0;
  ImageInterferenceTable m_interference;
  /** m_interference.m_changes at the last commit that included the table. */
  uint64_t m_interferenceTaken = 0;
  TimePoint m_interferenceTakenAt;  ///< When that commit was taken.
  /** A commit is needed although no job has changed: the set of unresponsive
   *  runners differs from the stored one, or a runner needs a newer fencing
   *  token. */
  bool m_commitWanted = false;
  /** Set when a pass over the queue may find room. */
  bool m_capacityChanged = true;
  /** Searches that failed since m_fullSearchAt. */
  FailedSearches m_failedSearches;
  /** Runners whose room may have grown since then, in order of time. */
  std::vector<RunnerIndex> m_roomChanges;
  TimePoint m_fullSearchAt;  ///< When both were last cleared.
  /** Failed searches behind the front of the queue since m_fullSearchAt. */
  uint32_t m_laterSearches = 0;
  std::optional<QueueRound> m_round;  ///< Unset: the last pass was complete.
  TimePoint m_restartsExaminedAt;     ///< When PlaceOverdueRestarts last ran.
  /** Time of the last log line about a waiting task. */
  TimePoint m_waitLoggedAt;
  /** Time of the last log line about long-running tasks without a run. */
  TimePoint m_restartWaitLoggedAt;
  CellCounts m_counts;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CELL_BASE_H_
