/**
 * @file worker_func.h A simulated worker: capacity, leases, tokens,
 * checkpoints.
 *
 * A command that the worker refuses returns an error.
 */

#ifndef BRONZE_STANDIN_WORKER_FUNC_H_
#define BRONZE_STANDIN_WORKER_FUNC_H_

#include <optional>

#include "core/error/error_type.h"
#include "standin/standin_base.h"

namespace bronze {

struct TaskRef {
  TaskId m_task;
  FencingToken m_token;
};

[[nodiscard]] std::optional<Error> StartTask(StandinState& aState,
                                             WorkerState& aWorker,
                                             const WorkerStart& aStart,
                                             TimePoint aNow);

/** Stops the task and refuses later starts with its token.
 * @return the state of the task now; nothing if it is unknown. */
[[nodiscard]] Result<std::optional<WorkerTaskState>> StopTask(
    StandinState& aState, WorkerState& aWorker, const TaskRef& aTask,
    TimePoint aNow);

/** Writes a checkpoint, then stops the task. @return the ended run. */
[[nodiscard]] Result<WorkerRun> CheckpointTask(StandinState& aState,
                                               WorkerState& aWorker,
                                               const TaskRef& aTask,
                                               TimePoint aNow);

/** Limits the task to aCores. */
[[nodiscard]] std::optional<Error> ThrottleTask(StandinState& aState,
                                                WorkerState& aWorker,
                                                const TaskRef& aTask,
                                                Millicores aCores,
                                                TimePoint aNow);

/** Renews the leases of the tasks. @return the tasks that do not run here with
 * these tokens. */
[[nodiscard]] std::vector<TaskId> RenewLeases(
    StandinState& aState, WorkerState& aWorker,
    const std::vector<TaskRef>& aTasks, Duration aLease, TimePoint aNow);

/** Removes ended tasks, so that reports no longer contain them. */
void ForgetTasks(WorkerState& aWorker, const std::vector<TaskRef>& aTasks);

/** Carries out all that is due up to aNow: ends, checkpoints, lapsed leases. */
void AdvanceWorker(StandinState& aState, WorkerState& aWorker, TimePoint aNow);

/** @return when AdvanceWorker() has something to do next, if ever. */
[[nodiscard]] std::optional<TimePoint> NextWorkerEvent(
    const WorkerState& aWorker);

/** Drops all tasks and all tokens of the worker. */
void CrashWorker(StandinState& aState, WorkerState& aWorker, TimePoint aNow);

/** Ends all leases now. */
void LapseLeases(StandinState& aState, WorkerState& aWorker, TimePoint aNow);

/** @return the report, with tasks as they were the report lag ago. */
[[nodiscard]] WorkerReport ReportOf(const StandinState& aState,
                                    const WorkerState& aWorker, TimePoint aNow);

/** @return the current run time of a kind of request on the worker's machine,
 * relative to an idle machine. */
[[nodiscard]] double SlowdownOf(const StandinState& aState,
                                const WorkerState& aWorker,
                                const KindId& aRequestKind);

/** @return the declared resources of all running tasks. */
[[nodiscard]] Resources ReservedResources(const WorkerState& aWorker);

}  // namespace bronze

#endif  // BRONZE_STANDIN_WORKER_FUNC_H_
