/**
 * @file job_type.h Jobs as graphs of steps, and the state of their tasks.
 *
 * A job has steps, a step has tasks. A job without a schedule has one
 * occurrence; a scheduled job has one for each due time. A task has at most one
 * current run, numbered from 1.
 */

#ifndef BRONZE_CORE_SCHED_JOB_TYPE_H_
#define BRONZE_CORE_SCHED_JOB_TYPE_H_

#include <bit>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/sched/harm_type.h"

namespace bronze::sched {

using QueueId = NameId<struct QueueIdTag>;      ///< A queue of jobs.
using ServiceId = NameId<struct ServiceIdTag>;  ///< A pool of runners.
using RunNumber = Sequence<struct RunNumberTag>;
using UnixMillis =
    Quantity<struct UnixMillisTag>;  ///< Since 1970, time of day.

/** Cost and validity of advice on which runners may run a step. */
struct AdvicePolicy {
  Duration m_decision{};   ///< Time that each call takes.
  Duration m_perRunner{};  ///< And for each runner that it names.
  Duration m_valid{};      ///< A ticket is accepted this long.
};

/** What the configuration says of a queue; a job keeps it from acceptance. */
struct QueuePolicy {
  ConfigVersion m_configVersion;  ///< The configuration that says this.
  ServiceId m_service;
  int m_priority = 0;          ///< 0 comes first.
  uint32_t m_maxAttempts = 1;  ///< Failed runs after which a task has failed.
  double m_stretch = 1.0;      ///< Objective as a multiple of the chain.
  Duration m_targetLatency{};  ///< Added to the objective.
  /** Set: only runners that the advice service approves may run a step. */
  std::optional<AdvicePolicy> m_advice;
};

struct StepSpec {
  uint32_t m_count = 0;
  Resources m_need;               ///< Of one task.
  Duration m_estimate{};          ///< Rough run time of one task.
  std::vector<uint32_t> m_after;  ///< Lower or higher steps that come before.
  std::string m_requiredLabel;    ///< Empty: none.
  std::string m_affinityRack;     ///< Where the data is; empty: anywhere.
  std::string m_image;
  ImageIndex m_imageIndex;      ///< Of the owner's table; not stored.
  uint32_t m_antiAffinity = 0;  ///< Most tasks on one runner; 0: no limit.
  uint32_t m_mayMiss = 0;       ///< Tasks that may be away by our own doing.
  Duration m_tailTarget{};      ///< Of a task that serves; zero: none.
  bool m_savesProgress = false;
  bool m_gang = false;  ///< All tasks run together and end together.
  bool m_sameRack = false;
  bool m_speculative = false;
  bool m_longRunning = false;  ///< Runs until the job is cancelled.
  bool m_fills = false;        ///< Uses only cores that others leave unused.
};

struct JobSpec {
  JobId m_id;
  QueueId m_queue;
  QueuePolicy m_policy;
  std::string m_payload;  ///< Handed to the runner unchanged.
  std::vector<StepSpec> m_steps;
  uint32_t m_maxRuns = 0;  ///< 0: one occurrence, due at once.
  UnixMillis m_startTime;
  int64_t m_intervalMs = 0;
  UnixMillis m_acceptedAt;
};

/** Names a task. The order is that of a job's tasks. */
struct TaskKey {
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_step = 0;
  uint32_t m_index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/** Names a step of one occurrence. */
struct StepKey {
  JobId m_job;
  uint32_t m_occurrence = 0;
  uint32_t m_step = 0;

  friend auto operator<=>(const StepKey&, const StepKey&) = default;
};

/** Index into the cell's table of runners. */
using RunnerIndex = NumberId<struct RunnerIndexTag, uint32_t>;

enum class TaskPhase : uint8_t {
  Blocked,     ///< Waits for earlier steps.
  Ready,       ///< Waits for a place.
  Intended,    ///< Has a place; the intent is not durable yet.
  Starting,    ///< The order is under way.
  Running,     ///< The runner has confirmed it.
  Unsure,      ///< An order has no answer; a stop shuts it out.
  Recovering,  ///< Placed by an earlier owner; the runner was not asked yet.
  Stopping,    ///< A stop is ordered; the end is not listed yet.
  Done,
};

struct Task {
  TaskPhase m_phase = TaskPhase::Blocked;
  RunNumber m_run;            ///< Highest run given out; 0: none.
  uint64_t m_failedRuns = 0;  ///< Bit n: run n + 1 has ended as failed. A run
                              ///< may be listed again to a later owner.
  RunnerIndex m_runner;       ///< Valid from Intended to Stopping.
  uint64_t m_intentVersion = 0;  ///< Job version that holds the intent.
  TimePoint m_phaseSince;
  TimePoint m_stopOrderedAt;  ///< Of the last stop order.
  TimePoint m_preemptedAt;    ///< When another task was last stopped for it.
  bool m_stopAnswered = false;
  std::string m_checkpoint;  ///< Empty: start from the beginning.
  int m_percent = 0;         ///< Progress, as the runner says.
  TimePoint m_progressAt;    ///< When m_percent last rose.
  int m_pace = 100;          ///< Share last ordered, percent.
  int64_t m_measure = 0;     ///< Tail in ms, or cores in use in thousandths.
  double m_ownLoad =
      -1.0;              ///< Of a serving task, without fills; -1: not known.
  double m_load = -1.0;  ///< As last measured, with fills; -1: never.
  RunnerIndex m_avoid;   ///< Where the last run failed; not tried next.
};

/** @return the runs of the task that ended as failed. */
[[nodiscard]] inline uint32_t FailureCount(const Task& aTask) {
  return static_cast<uint32_t>(std::popcount(aTask.m_failedRuns));
}

/** One pass over all steps of a job. */
struct Occurrence {
  std::vector<Task> m_tasks;     ///< Of all steps, in order.
  std::vector<uint32_t> m_left;  ///< Per step: tasks that are not done.
  TimePoint m_due;               ///< Objective; orders the queue.
};

enum class JobPhase : uint8_t { Active, Completed, Failed, Cancelled };

struct Job {
  JobSpec m_spec;
  JobPhase m_phase = JobPhase::Active;
  std::vector<uint32_t> m_stepOffset;            ///< Of a step's first task.
  std::map<uint32_t, Occurrence> m_occurrences;  ///< Those begun and not done.
  uint32_t m_nextOccurrence = 0;  ///< First one that is not begun.
  bool m_anyStarted = false;      ///< A run was confirmed once.
  uint64_t m_version = 1;         ///< Rises with each change to be stored.
  uint64_t m_storedVersion = 0;   ///< Highest version that is durable.
  bool m_specStored = false;
  TimePoint m_endedAt;  ///< When it left Active.
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_JOB_TYPE_H_
