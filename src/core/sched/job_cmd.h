/**
 * @file job_cmd.h Commands of callers on jobs: submit, cancel, look up.
 */

#ifndef BRONZE_CORE_SCHED_JOB_CMD_H_
#define BRONZE_CORE_SCHED_JOB_CMD_H_

#include "core/error/error_type.h"
#include "core/sched/cell_base.h"
#include "core/sched/live_config_type.h"

namespace bronze::sched {

/** Limits on one job, so that no caller can exhaust a daemon's memory. */
inline constexpr uint32_t kMaxSteps = 100;
/** A task takes up to 20 bytes of the job's row, which holds 64 KiB. */
inline constexpr uint32_t kMaxTasksPerJob = 2000;

/** Takes the pools of the queues from a configuration in force. Queues that it
 *  does not name keep theirs, as jobs of theirs may still be open. */
void ApplyLiveConfig(Cell& aCell, const LiveConfig& aConfig);

/** @return the pool that runs the job: its queue's by the newest configuration
 *          that is known, which may be the one that the job was accepted by. */
[[nodiscard]] const ServiceId& ServiceOf(const Cell& aCell,
                                         const JobSpec& aSpec);

/** The job's version that has to be durable before the caller is answered. */
struct StoredWhen {
  JobId m_job;
  uint64_t m_version = 0;
};

/** Checks the spec's own consistency; it says nothing about capacity. */
[[nodiscard]] Result<void> CheckJob(const JobSpec& aSpec);

/**
 * Takes the job in. The same id again is the same job, whatever it holds.
 * @return the version to wait for, or QueueFull.
 */
[[nodiscard]] Result<StoredWhen> SubmitJob(Cell& aCell, JobSpec aSpec,
                                           TimePoint aNow, UnixMillis aUnixNow);

/** @return the version to wait for, or UnknownJob. */
[[nodiscard]] Result<StoredWhen> CancelJob(Cell& aCell, JobId aJob,
                                           TimePoint aNow);

enum class JobState : uint8_t { Queued, Running, Completed, Failed, Cancelled };

/**
 * @return the state to show. An end is shown only once it is durable, so that
 *         no later owner shows less.
 */
[[nodiscard]] Result<JobState> LookUpJob(const Cell& aCell, JobId aJob);

/** @return accepted jobs of the queue of which no task has started. */
[[nodiscard]] uint32_t PendingJobs(const Cell& aCell, const QueueId& aQueue);

/**
 * Takes back the jobs that are not stored yet, except those of aKept, so that
 * their callers can be told that they never run.
 * @return the jobs that are gone.
 */
[[nodiscard]] std::vector<JobId> WithdrawUnstored(Cell& aCell,
                                                  const std::set<JobId>& aKept);

/** Begins the occurrences that are due, and removes jobs kept long enough. */
void AdvanceJobs(Cell& aCell, TimePoint aNow, UnixMillis aUnixNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_JOB_CMD_H_
