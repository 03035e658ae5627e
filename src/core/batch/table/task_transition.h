/**
 * @file task_transition.h Allowed task transitions.
 */

#ifndef BRONZE_CORE_BATCH_TABLE_TASK_TRANSITION_H_
#define BRONZE_CORE_BATCH_TABLE_TASK_TRANSITION_H_

#include <array>

#include "core/batch/task_cmd.h"

namespace bronze {

/** A task in state m_from accepts m_command. */
struct TaskTransition {
  TaskState m_from;
  TaskCommand m_command;
};

inline constexpr std::array<TaskTransition, 16> kTaskTransitions = {{
    {TaskState::Queued, TaskCommand::Start},
    {TaskState::Starting, TaskCommand::Confirm},
    {TaskState::Starting, TaskCommand::Abandon},
    {TaskState::Running, TaskCommand::Evict},
    {TaskState::Evicting, TaskCommand::Evicted},
    {TaskState::Running, TaskCommand::Lost},
    {TaskState::Starting, TaskCommand::Finish},
    {TaskState::Running, TaskCommand::Finish},
    {TaskState::Evicting, TaskCommand::Finish},
    {TaskState::Starting, TaskCommand::Fail},
    {TaskState::Running, TaskCommand::Fail},
    {TaskState::Queued, TaskCommand::Cancel},
    {TaskState::Starting, TaskCommand::Cancel},
    {TaskState::Running, TaskCommand::Cancel},
    {TaskState::Evicting, TaskCommand::Cancel},
    // The state stays Cancelled; the reserved capacity is freed.
    {TaskState::Cancelled, TaskCommand::Release},
}};

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_TABLE_TASK_TRANSITION_H_
