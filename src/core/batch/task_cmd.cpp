/**
 * @file task_cmd.cpp Transitions between the states of a task.
 */

#include "core/batch/task_cmd.h"

#include "core/batch/table/task_transition.h"

namespace bronze {

namespace {

void LeaveWorker(TaskRow& aRow, TaskState aState) {
  aRow.m_state = aState;
  aRow.m_worker = WorkerId();
  aRow.m_rack = RackId();
  aRow.m_reserved = {};
}

Result<void> CheckToken(const TaskRow& aRow, FencingToken aToken) {
  if (aRow.m_token == aToken) return boost::outcome_v2::success();
  return MakeError(
      ErrorKind::StaleToken,
      "the fencing token of the report differs from that of the task");
}

}  // namespace

Result<void> CheckTaskCommand(const TaskRow& aRow, TaskCommand aCommand) {
  for (const TaskTransition& row : kTaskTransitions) {
    if (row.m_command == aCommand && row.m_from == aRow.m_state) {
      if (aCommand == TaskCommand::Release && !aRow.m_worker.IsValid()) break;
      return boost::outcome_v2::success();
    }
  }
  return MakeError(ErrorKind::StoreConflict,
                   "the state of the task does not allow this command");
}

Result<void> StartTask(TaskRow& aRow, const TaskStart& aStart) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Start); !checked) {
    return checked;
  }
  aRow.m_state = TaskState::Starting;
  aRow.m_token = aRow.m_token.Next();
  aRow.m_worker = aStart.m_worker;
  aRow.m_rack = aStart.m_rack;
  aRow.m_reserved = aStart.m_reserved;
  return boost::outcome_v2::success();
}

Result<void> ConfirmTask(TaskRow& aRow, FencingToken aToken) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Confirm); !checked) {
    return checked;
  }
  if (auto checked = CheckToken(aRow, aToken); !checked) return checked;
  aRow.m_state = TaskState::Running;
  return boost::outcome_v2::success();
}

Result<void> AbandonTask(TaskRow& aRow) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Abandon); !checked) {
    return checked;
  }
  LeaveWorker(aRow, TaskState::Queued);
  return boost::outcome_v2::success();
}

Result<void> EvictTask(TaskRow& aRow) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Evict); !checked) {
    return checked;
  }
  aRow.m_state = TaskState::Evicting;
  return boost::outcome_v2::success();
}

Result<void> EndEviction(TaskRow& aRow, const ObjectName& aCheckpoint) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Evicted); !checked) {
    return checked;
  }
  if (aCheckpoint.IsValid()) aRow.m_checkpoint = aCheckpoint;
  LeaveWorker(aRow, TaskState::Queued);
  return boost::outcome_v2::success();
}

Result<void> RequeueLostTask(TaskRow& aRow, const ObjectName& aCheckpoint) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Lost); !checked) {
    return checked;
  }
  if (aCheckpoint.IsValid()) aRow.m_checkpoint = aCheckpoint;
  LeaveWorker(aRow, TaskState::Queued);
  return boost::outcome_v2::success();
}

Result<void> FinishTask(TaskRow& aRow, FencingToken aToken) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Finish); !checked) {
    return checked;
  }
  if (auto checked = CheckToken(aRow, aToken); !checked) return checked;
  LeaveWorker(aRow, TaskState::Finished);
  return boost::outcome_v2::success();
}

Result<void> FailTask(TaskRow& aRow, const TaskReport& aReport,
                      int64_t aMaxAttempts) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Fail); !checked) {
    return checked;
  }
  if (auto checked = CheckToken(aRow, aReport.m_token); !checked) {
    return checked;
  }
  if (aReport.m_checkpoint.IsValid()) aRow.m_checkpoint = aReport.m_checkpoint;
  aRow.m_message = aReport.m_message;
  bool isFinal = false;
  if (aReport.m_charged) {
    ++aRow.m_attempts;
    isFinal = aRow.m_attempts >= aMaxAttempts;
    if (!aReport.m_suspectWorker) {
      isFinal = isFinal || (aRow.m_failedOn.IsValid() &&
                            aRow.m_failedOn != aReport.m_worker);
      aRow.m_failedOn = aReport.m_worker;
    }
  }
  LeaveWorker(aRow, isFinal ? TaskState::Failed : TaskState::Queued);
  return boost::outcome_v2::success();
}

Result<void> CancelTask(TaskRow& aRow) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Cancel); !checked) {
    return checked;
  }
  aRow.m_state = TaskState::Cancelled;
  return boost::outcome_v2::success();
}

Result<void> ReleaseTask(TaskRow& aRow) {
  if (auto checked = CheckTaskCommand(aRow, TaskCommand::Release); !checked) {
    return checked;
  }
  LeaveWorker(aRow, TaskState::Cancelled);
  return boost::outcome_v2::success();
}

}  // namespace bronze
