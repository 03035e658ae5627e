/**
 * @file job_type.h Rows of jobs and tasks in the table.
 */

#ifndef BRONZE_CORE_BATCH_JOB_TYPE_H_
#define BRONZE_CORE_BATCH_JOB_TYPE_H_

#include <cstdint>
#include <string>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"

namespace bronze {

/**
 * One of 256 partitions of the teams, by a hash of the team id. All jobs of a
 * team are in one shard, and one daemon owns the shard as the unit team/<n>.
 */
struct TeamShard {
  uint8_t m_value = 0;
  friend auto operator<=>(const TeamShard&, const TeamShard&) = default;
};

/** The numbers are stored in table rows, so the order must not change. */
enum class TaskState : uint8_t {
  Queued,
  Starting,  ///< Assigned to a worker that may not have the start command yet.
  Running,
  Evicting,  ///< To be checkpointed and stopped, then queued again.
  Finished,
  Failed,
  Cancelled,
};

/** Properties that all tasks of a job share. */
struct TaskSpec {
  TeamId m_team;
  KindId m_kind;
  Resources m_resources;  ///< Of one task, as declared by the submitter.
  int32_t m_priority = 0;
  bool m_urgent = false;
  ObjectName m_input;
};

/** The row job/<id>. A task without a row of its own is queued. */
struct JobRow {
  TaskSpec m_spec;
  uint32_t m_tasks = 1;
  std::string m_submissionId;  ///< Empty if the submitter gave none.
  bool m_cancelled = false;
};

/** The row task/<job>/<index>. */
struct TaskRow {
  TaskState m_state = TaskState::Queued;
  FencingToken m_token;    ///< Highest one issued; each start raises it.
  WorkerId m_worker;       ///< Valid while capacity is reserved for the task.
  RackId m_rack;           ///< Rack of m_worker.
  Resources m_reserved;    ///< Capacity reserved on m_worker.
  int32_t m_attempts = 0;  ///< Failures that count against the task.
  WorkerId m_failedOn;     ///< Worker of the last such failure.
  ObjectName m_checkpoint;
  Resources m_measured;   ///< Use that exceeded an earlier reservation; later
                          ///< reservations are at least this large.
  std::string m_message;  ///< Error message of the last failure.
};

[[nodiscard]] constexpr bool IsEnded(TaskState aState) {
  return aState == TaskState::Finished || aState == TaskState::Failed ||
         aState == TaskState::Cancelled;
}

/** Whether the task may be running on the worker in its row. */
[[nodiscard]] constexpr bool IsPlaced(TaskState aState) {
  return aState == TaskState::Starting || aState == TaskState::Running ||
         aState == TaskState::Evicting;
}

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_JOB_TYPE_H_
