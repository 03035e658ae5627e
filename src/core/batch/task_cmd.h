/**
 * @file task_cmd.h Transitions between the states of a task.
 *
 * Each function checks whether the transition is allowed and then changes the
 * row in memory only. The caller commits the row on condition that its version
 * in the table is unchanged.
 */

#ifndef BRONZE_CORE_BATCH_TASK_CMD_H_
#define BRONZE_CORE_BATCH_TASK_CMD_H_

#include <cstdint>

#include "core/batch/job_type.h"
#include "core/error/error_type.h"

namespace bronze {

enum class TaskCommand : uint8_t {
  Start,
  Confirm,  ///< The worker runs the task.
  Abandon,  ///< Requeues a task that did not start.
  Evict,
  Evicted,  ///< Requeues an evicted task that no longer runs.
  Lost,     ///< Requeues a running task that no longer runs, without a result.
  Finish,
  Fail,
  Cancel,
  Release,  ///< Frees the capacity of a cancelled task that no longer runs.
};

/** Where a task is to run, and with which capacity. */
struct TaskStart {
  WorkerId m_worker;
  RackId m_rack;
  Resources m_reserved;
};

/** A failure of a task. */
struct TaskReport {
  FencingToken m_token;
  WorkerId m_worker;
  ObjectName m_checkpoint;
  std::string m_message;
  bool m_charged = true;  ///< False: does not count against the task, as the
                          ///< worker is in quarantine.
  /** Tasks of other jobs have failed on the worker, too. The failure then
   * counts as an attempt but not as a failure on a second worker. */
  bool m_suspectWorker = false;
};

/** @return success if the command is allowed in the row's state. */
[[nodiscard]] Result<void> CheckTaskCommand(const TaskRow& aRow,
                                            TaskCommand aCommand);

[[nodiscard]] Result<void> StartTask(TaskRow& aRow, const TaskStart& aStart);
[[nodiscard]] Result<void> ConfirmTask(TaskRow& aRow, FencingToken aToken);
[[nodiscard]] Result<void> AbandonTask(TaskRow& aRow);
[[nodiscard]] Result<void> EvictTask(TaskRow& aRow);

/**
 * Requeue a task after its eviction or after its loss. The task must have
 * stopped, or its worker's lease must have lapsed.
 * @param aCheckpoint the newest one; if invalid, the row's checkpoint stays.
 */
[[nodiscard]] Result<void> EndEviction(TaskRow& aRow,
                                       const ObjectName& aCheckpoint);
[[nodiscard]] Result<void> RequeueLostTask(TaskRow& aRow,
                                           const ObjectName& aCheckpoint);
[[nodiscard]] Result<void> FinishTask(TaskRow& aRow, FencingToken aToken);

/**
 * Requeues the task, or fails it for good after aMaxAttempts charged failures
 * or after a charged failure on a second worker.
 */
[[nodiscard]] Result<void> FailTask(TaskRow& aRow, const TaskReport& aReport,
                                    int64_t aMaxAttempts);

/** Cancels the task; its capacity stays reserved until ReleaseTask(). */
[[nodiscard]] Result<void> CancelTask(TaskRow& aRow);
[[nodiscard]] Result<void> ReleaseTask(TaskRow& aRow);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_TASK_CMD_H_
