/**
 * @file worker_internal.h Functions that the files of the simulated worker
 * share.
 */

#ifndef BRONZE_STANDIN_WORKER_INTERNAL_H_
#define BRONZE_STANDIN_WORKER_INTERNAL_H_

#include "standin/worker_func.h"

namespace bronze {

/** Draws run time and resource use of the task and reads its checkpoint. */
[[nodiscard]] WorkerRun MakeRun(StandinState& aState,
                                const WorkerState& aWorker,
                                const WorkerStart& aStart, TimePoint aNow);

/** Adds the work done since m_workDoneAt to m_workDone. */
void UpdateWorkDone(WorkerRun& aRun, TimePoint aNow);

/** Sets the run's final state, if it is still running. */
void EndRun(StandinState& aState, WorkerState& aWorker, const TaskId& aTask,
            WorkerTaskState aEnd, TimePoint aNow);

/** @return false, without a checkpoint, if the object store is down. */
[[nodiscard]] bool WriteCheckpoint(StandinState& aState,
                                   const WorkerState& aWorker,
                                   const TaskId& aTask, WorkerRun& aRun,
                                   TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_STANDIN_WORKER_INTERNAL_H_
