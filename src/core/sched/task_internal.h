/**
 * @file task_internal.h Changes of one task that the commands share. Each keeps
 * the task's phase, the runner's reservations and the queue in step.
 */

#ifndef BRONZE_CORE_SCHED_TASK_INTERNAL_H_
#define BRONZE_CORE_SCHED_TASK_INTERNAL_H_

#include <string_view>

#include "core/sched/cell_base.h"
#include "core/sched/name_func.h"

namespace bronze::sched {

/** A task with the job, the occurrence and the step that it belongs to. */
struct TaskPlace {
  Job* m_job = nullptr;
  Occurrence* m_occurrence = nullptr;
  const StepSpec* m_step = nullptr;
  Task* m_task = nullptr;
};

/** @return all null when the cell holds no such task. */
[[nodiscard]] TaskPlace FindTask(Cell& aCell, const TaskKey& aKey);

/** Marks the job as changed, so that the next commit holds it. */
void Touch(Cell& aCell, Job& aJob);

[[nodiscard]] QueueKey QueueKeyOf(const Job& aJob, uint32_t aOccurrence,
                                  uint32_t aStep);

[[nodiscard]] bool HasPlace(TaskPhase aPhase);

/** Whether the steps that come before this one are done. */
[[nodiscard]] bool PredecessorsDone(const StepSpec& aStep,
                                    const Occurrence& aOccurrence);

/** Reserves the step's need on the runner and enters the task there. */
void Reserve(Cell& aCell, const TaskKey& aKey, const StepSpec& aStep,
             Task& aTask, RunnerIndex aRunner);

/** Frees what Reserve took. */
void Release(Cell& aCell, const TaskKey& aKey, const StepSpec& aStep,
             Task& aTask);

/**
 * The current run is over without success: frees its place and puts the task
 * back into the queue, unless the job has ended.
 */
void Requeue(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             TimePoint aNow);

/** The task has ended with success: frees its place, may end the job. */
void FinishTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                TimePoint aNow);

/** Orders a stop of the current run. */
void OrderStop(Cell& aCell, const TaskKey& aKey, Task& aTask, TimePoint aNow);

/** Ends the current run: the task waits in Stopping until the end is listed. */
void StopTask(Cell& aCell, const TaskKey& aKey, Task& aTask, TimePoint aNow);

/** The same for all members if the task is one of a gang, which cannot go on
 *  without it. */
void StopRun(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             TimePoint aNow);

/** The job leaves Active: its tasks are stopped or dropped. */
void EndJob(Cell& aCell, Job& aJob, JobPhase aPhase, TimePoint aNow);

/** Creates the occurrence's tasks; steps without predecessors become ready. */
void BeginOccurrence(Cell& aCell, Job& aJob, uint32_t aNumber, TimePoint aNow);

/** Sets the offsets and image indexes of the steps from the spec. */
void IndexSteps(Cell& aCell, Job& aJob);

/** @return the objective of the job as a moment. */
[[nodiscard]] TimePoint DueTime(const JobSpec& aSpec, TimePoint aFrom);

void LogDecision(Cell& aCell, std::string aText);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_TASK_INTERNAL_H_
