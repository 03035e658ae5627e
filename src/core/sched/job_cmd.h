/**
 * @file job_cmd.h Commands on jobs: submit, cancel, look up.
 */

#ifndef BRONZE_CORE_SCHED_JOB_CMD_H_
#define BRONZE_CORE_SCHED_JOB_CMD_H_

#include "core/error/error_type.h"
#include "core/sched/cell_base.h"
#include "core/sched/live_config_type.h"

namespace bronze::sched {

/** Limits the size of one job, so that no caller can exhaust a daemon's
 *  memory. */
inline constexpr uint32_t kMaxSteps = 100;
/** Of one occurrence. */
inline constexpr uint32_t kMaxTasksPerJob = 2000;

/** Updates the pools of the queues from a configuration. Queues that it lacks
 *  keep theirs, as they may still have open jobs. */
void ApplyLiveConfig(Cell& aCell, const LiveConfig& aConfig);

/** @return the pool whose runners run the job: the one that the newest known
 *  configuration assigns to its queue, which may be the one in force when the
 *  job was accepted. */
[[nodiscard]] const ServiceId& ServiceOf(const Cell& aCell,
                                         const JobSpec& aSpec);

/** The version of a job that must be durable before the caller gets an answer.
 */
struct DurableVersion {
  JobId m_job;
  uint64_t m_version = 0;
};

/** Checks that the spec is consistent in itself; capacity is not checked. */
[[nodiscard]] Result<void> CheckJob(const JobSpec& aSpec);

/**
 * Accepts the job. A known id is the same job again, whatever the spec
 * contains.
 * @return the version to wait for, QueueFull, or BadJob if its spec is larger
 *         than a row of the store.
 */
[[nodiscard]] Result<DurableVersion> SubmitJob(Cell& aCell, JobSpec aSpec,
                                               TimePoint aNow,
                                               UnixMillis aUnixNow);

/** @return the version to wait for, or UnknownJob. */
[[nodiscard]] Result<DurableVersion> CancelJob(Cell& aCell, JobId aJob,
                                               TimePoint aNow);

enum class JobState : uint8_t { Queued, Running, Completed, Failed, Cancelled };

/**
 * @return the state to report. An end is reported only once it is
 *         durable, so that no later owner reports an earlier state. A job that
 *         is not stored yet is not unknown: NotReady.
 */
[[nodiscard]] Result<JobState> LookUpJob(const Cell& aCell, JobId aJob);

/** @return the number of accepted jobs of the queue without a started task. */
[[nodiscard]] uint32_t PendingJobs(const Cell& aCell, const QueueId& aQueue);

/** Removes the job, or its route, that no commit contains or ever contained, so
 *  that its callers can be told that it never runs. @return false if it may be
 *  stored in part. */
[[nodiscard]] bool WithdrawJob(Cell& aCell, JobId aJob);

/**
 * Removes the jobs and routes that are not stored yet, except those in aKept,
 * so that their callers can be told that they never run.
 * @return the removed jobs.
 */
[[nodiscard]] std::vector<JobId> WithdrawUnstored(Cell& aCell,
                                                  const std::set<JobId>& aKept);

/** Begins the occurrences that are due, and removes ended jobs after the
 *  retention time. */
void AdvanceJobs(Cell& aCell, TimePoint aNow, UnixMillis aUnixNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_JOB_CMD_H_
