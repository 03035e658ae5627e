/**
 * @file task_internal.h State changes of a task that the commands share. Each
 * keeps the task's phase, the runner's reservations and the queue consistent.
 */

#ifndef BRONZE_CORE_SCHED_TASK_INTERNAL_H_
#define BRONZE_CORE_SCHED_TASK_INTERNAL_H_

#include <string_view>

#include "core/sched/cell_base.h"
#include "core/sched/name_func.h"

namespace bronze::sched {

/** A task with its job, occurrence and step. */
struct TaskPlace {
  Job* m_job = nullptr;
  Occurrence* m_occurrence = nullptr;
  const StepSpec* m_step = nullptr;
  Task* m_task = nullptr;
};

/** @return all members null if the cell has no such task. */
[[nodiscard]] TaskPlace FindTask(Cell& aCell, const TaskKey& aKey);

/** @pre The cell has that task, as for each one in Runner::m_tasks. */
[[nodiscard]] const Task& TaskAt(const Cell& aCell, const TaskKey& aKey);

/** Marks the job as changed, so that the next commit includes it. */
void MarkChanged(Cell& aCell, Job& aJob);

/** Puts a changed job whose spec is not stored among the new ones. */
void AddNewJob(Cell& aCell, Job& aJob);

/**
 * Must accompany each change of what is stored of the task, so that the next
 * commit includes its block. Reserve and Release call it, so only changes that
 * leave the place alone have to.
 */
void MarkTaskChanged(const TaskPlace& aPlace);

[[nodiscard]] QueueKey QueueKeyOf(const Job& aJob, uint32_t aOccurrence,
                                  uint32_t aStep);

[[nodiscard]] bool HasPlace(TaskPhase aPhase);

/** Whether all steps that must come before this one are done. */
[[nodiscard]] bool PredecessorsDone(const StepSpec& aStep,
                                    const Occurrence& aOccurrence);

/** Whether a task of the step waits for a runner. */
[[nodiscard]] bool HasReadyTask(const Job& aJob, const Occurrence& aOccurrence,
                                uint32_t aStep);

/** A task of the step has left TaskPhase::Ready: removes the step from the
 * queue if it was the last one. */
void LeaveQueueIfIdle(Cell& aCell, const TaskKey& aKey,
                      const TaskPlace& aPlace);

/** @return the cores that the step's waiting tasks need. */
[[nodiscard]] Millicores WaitingCores(const Job& aJob, const QueueKey& aKey);

/** Removes all steps of the job from the queue. */
void DropFromQueue(Cell& aCell, const Job& aJob);

/** Adds the job to Cell::m_pending or removes it, as its state requires. Must
 *  follow each change of m_phase and m_anyStarted. */
void UpdatePending(Cell& aCell, const Job& aJob);

/** Must precede the removal of the job from Cell::m_jobs. */
void RemoveFromPending(Cell& aCell, const Job& aJob);

/** Removes the job and everything that the cell holds for it; its rows stay. */
void ForgetJob(Cell& aCell, Job& aJob);

/** Reserves the step's resources on the runner and assigns the task to it. */
void Reserve(Cell& aCell, const TaskKey& aKey, const StepSpec& aStep,
             Task& aTask, RunnerIndex aRunner);

/** The runner may have more room than before: the next pass examines it. */
void NoteRoomChange(Cell& aCell, RunnerIndex aRunner);

/** Undoes Reserve. */
void Release(Cell& aCell, const TaskKey& aKey, const StepSpec& aStep,
             Task& aTask);

/**
 * The current run has ended without success: releases its resources and returns
 * the task to the queue, unless the job has ended.
 */
void Requeue(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             TimePoint aNow);

/** The task has succeeded: releases its resources, and completes the step and
 *  the job if it was the last. */
void FinishTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                TimePoint aNow);

/** Orders the runner to stop that run of the task, and counts it. */
void AddStopOrder(Cell& aCell, const TaskKey& aKey, RunNumber aRun,
                  RunnerIndex aRunner);

/** Orders the runner to stop the current run. */
void OrderStop(Cell& aCell, const TaskKey& aKey, Task& aTask, TimePoint aNow);

/** Stops the current run; the task stays in Stopping until the runner reports
 *  the end. */
void StopTask(Cell& aCell, const TaskKey& aKey, Task& aTask, TimePoint aNow);

/** Like StopTask, for all members of the gang if the task belongs to one, as a
 *  gang cannot continue without a member. */
void StopRun(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             TimePoint aNow);

/** The job leaves JobPhase::Active: its tasks are stopped or dropped. */
void EndJob(Cell& aCell, Job& aJob, JobPhase aPhase, TimePoint aNow);

/** Deletes the rows of the occurrence's blocks, once aAfter is durable. */
void RemoveTaskBlocks(Cell& aCell, const Job& aJob, uint32_t aOccurrence,
                      uint64_t aAfter);

/** Deletes the job's rows. Must precede its removal from Cell::m_jobs. */
void RemoveRows(Cell& aCell, const Job& aJob);

/** @return the number of tasks of one occurrence. */
[[nodiscard]] size_t TaskCount(const JobSpec& aSpec);

/** Creates the occurrence's tasks; steps without predecessors become ready. */
void BeginOccurrence(Cell& aCell, Job& aJob, uint32_t aNumber, TimePoint aNow);

/** Sets the task offsets and image indexes of the steps. */
void IndexSteps(Cell& aCell, Job& aJob);

/** @return the target time of completion of a job that begins at aFrom. */
[[nodiscard]] TimePoint DueTime(const JobSpec& aSpec, TimePoint aFrom);

void LogDecision(Cell& aCell, std::string aText);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_TASK_INTERNAL_H_
