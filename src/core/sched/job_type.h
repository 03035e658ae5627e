/**
 * @file job_type.h Jobs as graphs of steps, and the state of their tasks.
 *
 * A job has steps, and a step has tasks. A job without a schedule has one
 * occurrence; a scheduled job has one per due time. A task has at most one
 * current run; its runs are numbered from 1.
 */

#ifndef BRONZE_CORE_SCHED_JOB_TYPE_H_
#define BRONZE_CORE_SCHED_JOB_TYPE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/sched/failed_runs_type.h"
#include "core/sched/interference_type.h"

namespace bronze::sched {

using QueueId = NameId<struct QueueIdTag>;      ///< A queue of jobs.
using ServiceId = NameId<struct ServiceIdTag>;  ///< A pool of runners.
using UnixMillis =
    Quantity<struct UnixMillisTag>;  ///< Wall-clock time since 1970.

/** Duration and validity of calls to the advice service. */
struct AdvicePolicy {
  Duration m_decision{};  ///< Base duration of a call.
  /** Additional duration per runner named in the call. */
  Duration m_perRunner{};
  Duration m_valid{};  ///< Lifetime of a ticket.
};

/** Policy of a queue from the configuration. A job keeps the policy that was
 *  in force when it was accepted. */
struct QueuePolicy {
  /** Configuration version that the policy comes from. */
  ConfigVersion m_configVersion;
  ServiceId m_service;
  int m_priority = 0;  ///< 0 is the most urgent.
  /** Number of failed runs after which a task, and with it the job, has
   *  failed. */
  uint32_t m_maxAttempts = 1;
  /** Target time of a job as a multiple of its longest chain of steps. */
  double m_stretch = 1.0;
  Duration m_targetLatency{};  ///< Added to the target time.
  /** If set, only runners that the advice service approves may run a step. */
  std::optional<AdvicePolicy> m_advice;
};

struct StepSpec {
  uint32_t m_count = 0;
  Resources m_need;       ///< Resources of one task.
  Duration m_estimate{};  ///< Estimated run time of one task.
  /** Indexes of the steps that must be done first; they may be higher than its
   *  own. */
  std::vector<uint32_t> m_after;
  /** Label that the runner must have; empty: none. */
  std::string m_requiredLabel;
  /** Rack of the step's data; empty: no preference. */
  std::string m_affinityRack;
  std::string m_image;
  /** Index in the owner's table of images; not stored. */
  ImageIndex m_imageIndex;
  /** Maximum tasks of the step on one runner; 0: no limit. */
  uint32_t m_antiAffinity = 0;
  /** Tasks that the scheduler may keep from running at the same time. */
  uint32_t m_mayMiss = 0;
  /** Target tail latency of a latency-critical task; zero: none. */
  Duration m_tailTarget{};
  bool m_savesProgress = false;
  bool m_gang = false;  ///< All tasks start together and end together.
  bool m_sameRack = false;
  bool m_speculative = false;
  bool m_longRunning = false;  ///< The tasks run until the job is cancelled.
  /** Best-effort: uses only cores that other tasks leave unused. */
  bool m_bestEffort = false;
};

struct JobSpec {
  JobId m_id;
  QueueId m_queue;
  QueuePolicy m_policy;
  std::string m_payload;  ///< Passed to the runner unchanged.
  std::vector<StepSpec> m_steps;
  uint32_t m_maxRuns = 0;  ///< Number of occurrences; 0: one, due at once.
  UnixMillis m_startTime;
  int64_t m_intervalMs = 0;
  UnixMillis m_acceptedAt;
};

/** Identifies a task; sorted in the order of a job's tasks. */
struct TaskKey {
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_step = 0;
  uint32_t m_index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/** Identifies a step of one occurrence. */
struct StepKey {
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_step = 0;

  friend auto operator<=>(const StepKey&, const StepKey&) = default;
};

using RunnerIndex = NumberId<struct RunnerIndexTag, uint32_t>;

enum class TaskPhase : uint8_t {
  Blocked,   ///< Waits for earlier steps.
  Ready,     ///< Waits for a runner.
  Intended,  ///< A runner was chosen; this is not durable yet.
  Starting,  ///< The start was ordered and has no answer yet.
  Running,   ///< The runner has confirmed the run.
  /** The start order got no answer, so the run may or may not begin. Unless a
   *  report lists the run, it is stopped before the task is placed again. */
  StartUnanswered,
  /** May run on its runner, by the stored rows or an earlier instance; no
   *  report has confirmed or denied it yet. */
  Recovering,
  Stopping,  ///< A stop was ordered; the runner has not reported the end.
  Done,
};

/** Value of Task::m_decidedAt for a run whose start has a lower fencing token
 *  than each renewal whose report counts from now on (Runner::m_awaitsFence): a
 *  runner that has answered such a renewal refuses the start. */
inline constexpr TimePoint kDecidedByToken{};

/** Pace of a run that is not throttled, in percent. */
inline constexpr int kFullPace = 100;

struct Task {
  TaskPhase m_phase = TaskPhase::Blocked;
  RunNumber m_run;  ///< Highest run number assigned; 0: none.
  /** Of a member of a gang: empty, as its first member has those of the gang.
   */
  FailedRuns m_failedRuns;
  RunnerIndex m_runner;  ///< Valid from Intended to Stopping.
  /** Job version that contains the chosen runner. */
  uint64_t m_intentVersion = 0;
  TimePoint m_phaseSince;
  /** Time of the last stop order. An answer to it proves nothing about the run,
   *  so the order is repeated until one of the proofs below has been read. */
  TimePoint m_stopOrderedAt;
  /** The last stop order was answered as carried out, so that a late refusal of
   *  an earlier one does not hasten its repetition. */
  bool m_stopAnswered = false;
  /** When another task was last stopped to make room for it. */
  TimePoint m_preemptedAt;
  /** From this time on, no order can begin the run on the present instance of
   *  its runner: the start or a stop was answered, or kDecidedByToken. Unset: a
   *  start may still be carried out.
   *
   *  Only these prove that a run has ended, and only they release its runner:
   *  its end in a report; a certain report of the present instance that was
   *  requested later than this and lacks the run; the end of its lease; another
   *  runner that answers at its address (EndInstance). */
  std::optional<TimePoint> m_decidedAt;
  std::string m_checkpoint;  ///< Empty: start from the beginning.
  int m_percent = 0;         ///< Progress that the runner reported.
  /** When m_percent last rose, or the run may last have been paused. Only since
   *  then does a lack of progress show that the run has stalled. */
  TimePoint m_progressAt;
  TimePoint m_pausedAt;  ///< When a pace of 0 was last ordered.
  /** Of a best-effort task: share of full speed that this owner last ordered,
   *  in percent; a run that this owner starts begins with kFullPace. Not set:
   *  not known, as an earlier owner may have ordered any pace, or an order got
   *  no answer. */
  std::optional<int> m_pace;
  /** Reported by the runner: tail latency in ms of a latency-critical task, or
   *  cores in use, in thousandths, of any other. */
  int64_t m_measure = 0;
  /** Load of a latency-critical task without interference; -1: unknown. */
  double m_ownLoad = -1.0;
  /** Load as last measured, including interference; -1: never. */
  double m_load = -1.0;
  RunnerIndex m_avoid;  ///< Runner to avoid, since the last run failed there.
};

/** One execution of all steps of a job. */
struct Occurrence {
  std::vector<Task> m_tasks;  ///< Of all steps, in order.
  /** Per step: number of tasks that are not done. */
  std::vector<uint32_t> m_left;
  TimePoint m_due;  ///< Target time of completion; orders the queue.
  /** Per block of a divided job: lowest job version that contains a change of
   *  the block which no commit contains; 0: none. */
  std::vector<uint64_t> m_unstoredSince;
};

enum class JobPhase : uint8_t { Active, Completed, Failed, Cancelled };

struct Job {
  JobSpec m_spec;
  JobPhase m_phase = JobPhase::Active;
  std::vector<uint32_t> m_stepOffset;  ///< Per step: index of its first task.
  /** Occurrences that have begun and are not done. */
  std::map<uint32_t, Occurrence> m_occurrences;
  uint32_t m_nextOccurrence = 0;  ///< First occurrence that has not begun.
  bool m_anyStarted = false;      ///< Some run has been confirmed.
  uint64_t m_version = 1;         ///< Incremented by each change to be stored.
  uint64_t m_storedVersion = 0;   ///< Highest version that is durable.
  bool m_specStored = false;
  bool m_waitsAsNew = false;  ///< In Cell::m_newJobs, and in no commit yet.
  /** Tasks per block of a divided job (stored_state_type.h); 0: all tasks are
   * in its state row. Set when that row would be too large (TakeJobWrite), and
   *  never changed after that, since rows of the other form would be left. */
  uint32_t m_tasksPerBlock = 0;
  bool m_dividedStored = false;  ///< The state row without tasks is durable.
  /** Set while the job moves to another cell (move_cmd.h): nothing of it is
   *  placed here any more. */
  std::optional<CellId> m_movingTo;
  uint32_t m_moveCount = 0;    ///< Moves that have begun.
  uint64_t m_moveVersion = 0;  ///< Version that contains m_movingTo.
  TimePoint m_moveTryAt;       ///< Next time at which it is sent.
  TimePoint m_endedAt;         ///< When it left Active.
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_JOB_TYPE_H_
