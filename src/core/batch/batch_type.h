/**
 * @file batch_type.h Inputs and outputs of batch scheduling.
 *
 * The daemon turns answers of the table service, of workers and of peers into
 * calls of the functions in team_cmd.h and rack_cmd.h. These return effects,
 * which the daemon carries out. Rows are structs here; the codec converts them
 * to and from the text that the table service stores.
 */

#ifndef BRONZE_CORE_BATCH_BATCH_TYPE_H_
#define BRONZE_CORE_BATCH_BATCH_TYPE_H_

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/time_type.h"
#include "core/batch/job_type.h"
#include "core/error/error_type.h"
#include "core/message/peer_message_type.h"
#include "core/message/platform_type.h"
#include "core/store/store_type.h"

namespace bronze {

/** Writes or deletes the row job/<id>. */
struct JobWrite {
  JobId m_job;
  RowVersion m_check;           ///< The write fails if the version differs.
  std::optional<JobRow> m_row;  ///< Not set: the row is deleted.
};

/**
 * Writes or deletes the row task/<id>. While the task holds capacity on a
 * worker, its copy rack/<rack>/<id> is written in the same transaction.
 */
struct TaskWrite {
  TaskId m_task;
  RowVersion m_check;            ///< The write fails if the version differs.
  std::optional<TaskRow> m_row;  ///< Not set: the row is deleted.
  TaskSpec m_spec;               ///< Stored in the copy for the rack.
  RackId m_previousRack;         ///< Valid: the copy for this rack is deleted.
};

/**
 * Adds the change to the next group commit. Its result goes to RackChangeDone()
 * or TeamChangeDone().
 */
struct SubmitChange {
  ChangeId m_id;
  ChangePriority m_priority = ChangePriority::Normal;
  std::string m_unit;
  std::vector<JobWrite> m_jobs;
  std::vector<TaskWrite> m_tasks;
};

/** Sends the offers to the owner of the rack m_offers.m_rack. */
struct SendOffers {
  TaskOffers m_offers;
};

/** Sends the updates to the owner of the team shard. */
struct SendUpdates {
  TeamShard m_shard;
  TaskUpdates m_updates;
};

/** Sends the cancellation to the owner of the rack m_cancel.m_rack. */
struct SendCancel {
  TaskCancel m_cancel;
};

/** Calls the worker; the answer goes to WorkerStartEnded(). */
struct StartOnWorker {
  WorkerId m_worker;
  WorkerStart m_start;
};

/** Calls the worker; the answer goes to WorkerStopEnded(). */
struct StopOnWorker {
  WorkerId m_worker;
  TaskId m_task;
  FencingToken m_token;
};

/** Calls the worker; the answer goes to WorkerCheckpointEnded(). */
struct CheckpointOnWorker {
  WorkerId m_worker;
  TaskId m_task;
  FencingToken m_token;
};

/** Limits the cores of a running task; the answer is not used. */
struct ThrottleOnWorker {
  WorkerId m_worker;
  TaskId m_task;
  FencingToken m_token;
  Millicores m_cores;
};

/** Calls the worker; the answer goes to WorkerRenewalEnded(). */
struct RenewWorkerLease {
  WorkerId m_worker;
  Duration m_lease = Duration::zero();
  std::vector<std::pair<TaskId, FencingToken>> m_tasks;
  /** Ended tasks that the worker need not report any more. */
  std::vector<std::pair<TaskId, FencingToken>> m_forget;
};

/** Requests GET /report; the answer goes to WorkerReported(). */
struct ReadWorkerReport {
  WorkerId m_worker;
};

/**
 * Reads the row task/<id>. The result goes to RackTaskRowRead() for a request
 * of a rack owner, and to TeamTaskRowRead() for one of a team owner.
 */
struct ReadTaskRow {
  TaskId m_task;
};

/** Reads the row job/<id>; the result goes to JobRowRead(). */
struct ReadJobRow {
  JobId m_job;
};

/** Reads all rows rack/<rack>/...; they go to RecoverRack() together. */
struct ScanRack {
  RackId m_rack;
};

/**
 * Reads all rows job/<shard>... and task/<shard>...; they go to RecoverShard()
 * together.
 */
struct ScanShard {
  TeamShard m_shard;
};

/** One task of a job, as returned to API callers. */
struct TaskView {
  uint32_t m_index = 0;
  TaskState m_state = TaskState::Queued;
  WorkerId m_worker;
  FencingToken m_token;
  int32_t m_attempts = 0;
  std::string m_message;
  /** What a queued task waits for, or a cancelled one that may still run. */
  std::string m_waitingFor;
  Duration m_waiting = Duration::zero();  ///< Time in the queue.
};

enum class JobState : uint8_t { Queued, Running, Finished, Failed, Cancelled };

/** A job, as returned to API callers. */
struct JobView {
  JobId m_job;
  TeamId m_team;
  KindId m_kind;
  JobState m_state = JobState::Queued;
  uint32_t m_tasks = 0;
  uint32_t m_queued = 0;
  uint32_t m_running = 0;  ///< Starting, running or being evicted.
  uint32_t m_finished = 0;
  uint32_t m_failed = 0;
  uint32_t m_cancelled = 0;
  std::string m_waitingFor;
  std::vector<TaskView> m_taskList;  ///< Only for the query of one job.
};

enum class JobCallKind : uint8_t { Submit, Cancel, Query };

/** Answers an API call on one job. */
struct AnswerJob {
  uint64_t m_call = 0;
  JobCallKind m_kind = JobCallKind::Query;
  std::optional<Error> m_error;  ///< Set if the call failed or was refused.
  JobView m_view;                ///< Only without an error.
};

using BatchEffect =
    std::variant<SubmitChange, SendOffers, SendUpdates, SendCancel,
                 StartOnWorker, StopOnWorker, CheckpointOnWorker,
                 ThrottleOnWorker, RenewWorkerLease, ReadWorkerReport,
                 ReadTaskRow, ReadJobRow, ScanRack, ScanShard, AnswerJob>;
using BatchEffects = std::vector<BatchEffect>;

/** A row job/<id> as read from the table. */
struct JobRecord {
  JobId m_job;
  JobRow m_row;
  RowVersion m_version;
};

/** A row task/<id> as read from the table. */
struct TaskRecord {
  TaskId m_task;
  TaskRow m_row;
  RowVersion m_version;
};

/** A row rack/<rack>/<id> as read from the table. */
struct RackRecord {
  TaskId m_task;
  TaskRow m_row;
  TaskSpec m_spec;
  RowVersion m_version;
};

/** A request POST /v1/jobs. */
struct JobSubmission {
  uint64_t m_call = 0;
  JobRow m_row;
  uint64_t m_random = 0;  ///< Used for the job id if there is no submission id.
};

/** Filter of GET /v1/jobs; a field that is not set matches every job. */
struct JobFilter {
  TeamId m_team;
  std::optional<JobState> m_state;
  size_t m_limit = 100;
};

/** Outcome of a call to a worker. */
enum class WorkerCallEnd : uint8_t {
  Answered,
  Refused,     ///< Start: no capacity. Checkpoint: none can be written.
  StaleToken,  ///< The worker has seen a higher fencing token for the task.
  NotSent,     ///< No connection, so the worker did not receive the call.
  Lost,        ///< No answer; the worker may have received the call.
};

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_BATCH_TYPE_H_
