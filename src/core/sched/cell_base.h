/**
 * @file cell_base.h State of one cell: a set of runners and a set of jobs that
 * one entry VM schedules while it owns the cell.
 *
 * The owner rebuilds everything here from the stored rows and the runners'
 * reports. What must last goes to the store through TakeCommit (commit_cmd.h)
 * before an order that depends on it is sent.
 */

#ifndef BRONZE_CORE_SCHED_CELL_BASE_H_
#define BRONZE_CORE_SCHED_CELL_BASE_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/sched/job_type.h"
#include "core/sched/runner_type.h"

namespace bronze::sched {

/** Limits and weights of the policy. Defaults are for a lease of 10 s. */
struct CellSettings {
  Duration m_lease = seconds(7);      ///< Ordered with each renewal.
  Duration m_leaseCap = seconds(10);  ///< A runner shortens longer ones.
  /** Longest lease that an earlier owner may have ordered. */
  Duration m_maxLease = seconds(10);
  Duration m_statusRetention = seconds(150);  ///< Ended jobs stay known.
  /** Wait of a renewal for an end, where no tails have to be watched. */
  Duration m_holdWait = milliseconds(1500);
  /** The same where tasks that fill run beside tasks that serve: it bounds the
   *  age of the measured tails. */
  Duration m_watchWait = milliseconds(400);
  /** A task without progress for this and half its estimate is moved. */
  Duration m_stallTime = milliseconds(2500);
  uint32_t m_failuresToQuarantine = 3;
  Duration m_quarantine = seconds(4);
  /** Part of the runners that may be in quarantine at once. */
  double m_quarantineShare = 0.3;
  /** Share of declared cores that a serving task uses on average, until
   *  measured. */
  double m_servingUse = 0.6;
  /** Part of all cores that tasks which last leave to short tasks, at least
   *  and at most; between the two the recent demand decides. */
  double m_shortReserveLeast = 0.05;
  double m_shortReserveMost = 0.15;

  Duration m_shortDemandMemory = seconds(15);  ///< Time in which a peak halves.
  /** Load kept free below the limit of a serving task when a fill is placed
   *  beside it, since its own load swings. */
  double m_placeMargin = 0.15;
  /** The same when the fills that run beside it are paced. */
  double m_paceMargin = 0.08;
  /** How many times as long a task takes away from the rack of its data. */
  double m_spreadFactor = 1.0;
  /** Searches of one pass over the queue that find no place. */
  uint32_t m_maxMisses = 64;
  uint32_t m_maxOpenJobs = 20000;  ///< More are refused.
};

struct StartOrder {
  TaskKey m_task;
  RunNumber m_run;
  RunnerIndex m_runner;
  std::string m_checkpoint;
  std::string m_ticket;  ///< Empty: the queue asks for none.
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

/** A question which of these runners may run the step. */
struct AdviceOrder {
  StepKey m_step;
  std::vector<RunnerIndex> m_runners;
  AdvicePolicy m_policy;
};

/** A line of the log, with the ids and inputs that a person needs. */
struct Decision {
  std::string m_text;
};

using Order =
    std::variant<StartOrder, StopOrder, PaceOrder, AdviceOrder, Decision>;

/** Position in the queue of steps that have tasks to place. */
struct QueueKey {
  int m_priority = 0;
  TimePoint m_due;
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_step = 0;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

/** Counts for metrics and for answers about a queue. */
struct CellCounts {
  uint64_t m_accepted = 0;
  uint64_t m_completed = 0;
  uint64_t m_failed = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_starts = 0;
  uint64_t m_stops = 0;
  uint64_t m_paces = 0;
  uint64_t m_endsByKind[6] = {};  ///< Indexed by EndKind.
  uint64_t m_lapsedRunners = 0;
  uint64_t m_stalledTasks = 0;
  uint64_t m_quarantines = 0;
  uint64_t m_rejectedStarts = 0;
  uint64_t m_preemptions = 0;
  uint64_t m_adviceAsked = 0;
  uint64_t m_adviceFailed = 0;
};

/** A runner that may run a step, with the proof that it asks for. */
struct Approval {
  UnixMillis m_born;  ///< Of the life that it holds for.
  std::string m_ticket;
  TimePoint m_validUntil;
};

/** What the advice service has said of one step. Which runners it approves does
 *  not change, but a ticket runs out. */
struct StepAdvice {
  std::map<RunnerIndex, Approval> m_approvals;
  std::set<RunnerIndex> m_refused;
  bool m_pending = false;  ///< A call is under way.
  TimePoint m_notBefore;   ///< Pause after a call that failed.
};

/** The pool that serves a queue, and the configuration that says so. */
struct QueueService {
  ConfigVersion m_configVersion;
  ServiceId m_service;
};

struct Cell {
  CellSettings m_settings;
  FencingToken m_fence;  ///< Of this term; rises with each owner.
  /** The newest version of the owner row that is durable: a higher token than
   *  all that were used before, and lower than a successor's. */
  FencingToken m_newestFence;
  std::unordered_map<JobId, Job> m_jobs;
  std::vector<Runner> m_runners;  ///< Never shrinks within a term.
  std::map<RunnerId, RunnerIndex> m_runnerByName;
  std::set<QueueKey> m_queue;  ///< Steps with at least one task in Ready.
  std::set<JobId> m_dirty;     ///< m_version > m_storedVersion.
  std::set<std::pair<UnixMillis, JobId>> m_scheduled;  ///< Next due times.
  std::set<std::pair<TimePoint, JobId>> m_ended;       ///< For removal.
  std::vector<JobId> m_removed;  ///< Rows to delete from the store.
  std::vector<Order> m_orders;   ///< To be sent, in order.
  std::map<StepKey, StepAdvice> m_advice;
  uint32_t m_adviceCalls = 0;             ///< Under way.
  std::map<QueueId, uint32_t> m_pending;  ///< Jobs of which nothing started.
  std::map<QueueId, QueueService> m_queueServices;  ///< By the newest
                                                    ///< configuration.
  Millicores m_shortDemand;  ///< Cores that short tasks have or wait for.
  double m_shortPeak = 0.0;  ///< Fading peak of m_shortDemand, millicores.
  TimePoint m_shortPeakAt;   ///< When m_shortPeak was updated.
  HarmTable m_harm;
  uint64_t m_harmTaken = 0;  ///< m_harm.m_changes in the last commit with it.
  TimePoint m_harmTakenAt;   ///< When that commit was taken.
  /** A commit is due although no job has changed: the silent runners have, or
   *  a runner waits for a newer fence. */
  bool m_commitWanted = false;
  bool m_capacityChanged = true;  ///< A pass over the queue may find a place.
  TimePoint m_waitLoggedAt;       ///< Of the last line on a step that waits.
  CellCounts m_counts;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CELL_BASE_H_
