/**
 * @file task_internal.cpp State changes of a task that the commands share.
 */

#include "core/sched/task_internal.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/advice_cmd.h"
#include "core/sched/interference_func.h"
#include "core/sched/stored_size_func.h"

namespace bronze::sched {

TaskPlace FindTask(Cell& aCell, const TaskKey& aKey) {
  const auto job = aCell.m_jobs.find(aKey.m_job);
  if (job == aCell.m_jobs.end()) return {};
  const auto occurrence = job->second.m_occurrences.find(aKey.m_occurrence);
  if (occurrence == job->second.m_occurrences.end()) return {};
  const auto& steps = job->second.m_spec.m_steps;
  if (aKey.m_step >= steps.size()) return {};
  const StepSpec& step = steps[aKey.m_step];
  if (aKey.m_index >= step.m_count) return {};
  const uint32_t at = job->second.m_stepOffset[aKey.m_step] + aKey.m_index;
  return {&job->second, &occurrence->second, &step,
          &occurrence->second.m_tasks[at]};
}

const Task& TaskAt(const Cell& aCell, const TaskKey& aKey) {
  const Job& job = aCell.m_jobs.at(aKey.m_job);
  return job.m_occurrences.at(aKey.m_occurrence)
      .m_tasks[job.m_stepOffset[aKey.m_step] + aKey.m_index];
}

void MarkChanged(Cell& aCell, Job& aJob) {
  ++aJob.m_version;
  const JobId id = aJob.m_spec.m_id;
  if (aCell.m_heldBack.count(id) == 0) aCell.m_dirty.insert(id);
}

void AddNewJob(Cell& aCell, Job& aJob) {
  aJob.m_waitsAsNew = true;
  aCell.m_newJobs.push_back(aJob.m_spec.m_id);
}

void MarkTaskChanged(const TaskPlace& aPlace) {
  const Job& job = *aPlace.m_job;
  if (job.m_tasksPerBlock == 0) return;
  const auto task =
      static_cast<size_t>(aPlace.m_task - aPlace.m_occurrence->m_tasks.data());
  uint64_t& since =
      aPlace.m_occurrence->m_unstoredSince[task / job.m_tasksPerBlock];
  // MarkChanged assigns the next version to the change.
  if (since == 0) since = job.m_version + 1;
}

QueueKey QueueKeyOf(const Job& aJob, uint32_t aOccurrence, uint32_t aStep) {
  return {aJob.m_spec.m_policy.m_priority,
          aJob.m_occurrences.at(aOccurrence).m_due, aJob.m_spec.m_id,
          aOccurrence, aStep};
}

bool HasPlace(TaskPhase aPhase) {
  return aPhase != TaskPhase::Blocked && aPhase != TaskPhase::Ready &&
         aPhase != TaskPhase::Done;
}

bool HasReadyTask(const Job& aJob, const Occurrence& aOccurrence,
                  uint32_t aStep) {
  const auto first = aOccurrence.m_tasks.begin() + aJob.m_stepOffset[aStep];
  return std::any_of(
      first, first + aJob.m_spec.m_steps[aStep].m_count,
      [](const Task& aTask) { return aTask.m_phase == TaskPhase::Ready; });
}

Millicores WaitingCores(const Job& aJob, const QueueKey& aKey) {
  const StepSpec& step = aJob.m_spec.m_steps[aKey.m_step];
  const Occurrence& occurrence = aJob.m_occurrences.at(aKey.m_occurrence);
  const uint32_t first = aJob.m_stepOffset[aKey.m_step];
  int64_t waiting = 0;
  for (uint32_t index = 0; index < step.m_count; ++index) {
    if (occurrence.m_tasks[first + index].m_phase == TaskPhase::Ready) {
      ++waiting;
    }
  }
  return Millicores(waiting * step.m_need.m_cores.Value());
}

namespace {

void AddBestEffortDemand(Runner& aRunner, const StepSpec& aStep,
                         Millicores aCores) {
  aRunner.m_bestEffortCores += aCores;
  for (BestEffortDemand& load : aRunner.m_bestEffortDemands) {
    if (load.m_image != aStep.m_imageIndex) continue;
    load.m_millicores += aCores.Value();
    return;
  }
  aRunner.m_bestEffortDemands.push_back({aStep.m_imageIndex, aCores.Value()});
}

}  // namespace

void Reserve(Cell& aCell, const TaskKey& aKey, const StepSpec& aStep,
             Task& aTask, RunnerIndex aRunner) {
  Runner& runner = aCell.m_runners[aRunner.Value()];
  aTask.m_runner = aRunner;
  MarkTaskChanged(FindTask(aCell, aKey));
  runner.m_tasks.push_back(aKey);
  if (aStep.m_bestEffort) {
    runner.m_bestEffortMemory += aStep.m_need.m_memory;
    AddBestEffortDemand(runner, aStep, aStep.m_need.m_cores);
    return;
  }
  runner.m_reserved += aStep.m_need;
  if (aStep.m_longRunning) runner.m_longRunningCores += aStep.m_need.m_cores;
}

void NoteRoomChange(Cell& aCell, RunnerIndex aRunner) {
  // Far more than between two full searches; the next pass makes one.
  constexpr size_t kMaxChanges = 4096;
  aCell.m_capacityChanged = true;
  if (aCell.m_roomChanges.size() < kMaxChanges) {
    aCell.m_roomChanges.push_back(aRunner);
  } else {
    aCell.m_fullSearchAt = TimePoint();
  }
}

void Release(Cell& aCell, const TaskKey& aKey, const StepSpec& aStep,
             Task& aTask) {
  NoteRoomChange(aCell, aTask.m_runner);
  MarkTaskChanged(FindTask(aCell, aKey));
  Runner& runner = aCell.m_runners[aTask.m_runner.Value()];
  std::erase(runner.m_tasks, aKey);
  if (aTask.m_phase == TaskPhase::Intended) --aCell.m_window.m_intended;
  aTask.m_runner = RunnerIndex();
  aTask.m_pace.reset();
  aTask.m_measure = 0;
  aTask.m_ownLoad = -1.0;
  aTask.m_load = -1.0;
  if (aStep.m_bestEffort) {
    runner.m_bestEffortMemory -= aStep.m_need.m_memory;
    AddBestEffortDemand(runner, aStep, Millicores() - aStep.m_need.m_cores);
    return;
  }
  runner.m_reserved -= aStep.m_need;
  if (aStep.m_longRunning) runner.m_longRunningCores -= aStep.m_need.m_cores;
}

namespace {

/** A member of a gang has lost its run, so the others cannot continue: they
 *  are stopped before they time out waiting for it. */
void StopOtherMembers(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                      TimePoint aNow) {
  for (uint32_t index = 0; index < aPlace.m_step->m_count; ++index) {
    if (index == aKey.m_index) continue;
    TaskKey key = aKey;
    key.m_index = index;
    Task& member = *FindTask(aCell, key).m_task;
    switch (member.m_phase) {
      case TaskPhase::Intended:
        Release(aCell, key, *aPlace.m_step, member);
        member.m_phase = TaskPhase::Ready;
        member.m_phaseSince = aNow;
        break;
      case TaskPhase::Starting:
      case TaskPhase::Running:
      case TaskPhase::StartUnanswered:
      case TaskPhase::Recovering:
        StopTask(aCell, key, member, aNow);
        break;
      case TaskPhase::Blocked:
      case TaskPhase::Ready:
      case TaskPhase::Stopping:
      case TaskPhase::Done:
        break;
    }
  }
}

}  // namespace

void Requeue(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             TimePoint aNow) {
  Task& task = *aPlace.m_task;
  if (HasPlace(task.m_phase)) Release(aCell, aKey, *aPlace.m_step, task);
  task.m_phaseSince = aNow;
  MarkChanged(aCell, *aPlace.m_job);
  if (task.m_checkpoint.size() > kMaxStoredCheckpoint) {
    ++aCell.m_counts.m_oversizedCheckpoints;
    LogDecision(aCell, fmt::format("checkpoint is not stored task={} bytes={}",
                                   TaskText(aKey), task.m_checkpoint.size()));
  }
  if (aPlace.m_job->m_phase != JobPhase::Active) {
    task.m_phase = TaskPhase::Blocked;
    return;
  }
  task.m_phase = TaskPhase::Ready;
  aCell.m_queue.insert(
      QueueKeyOf(*aPlace.m_job, aKey.m_occurrence, aKey.m_step));
  aCell.m_capacityChanged = true;
  if (aPlace.m_step->m_gang) StopOtherMembers(aCell, aKey, aPlace, aNow);
}

bool PredecessorsDone(const StepSpec& aStep, const Occurrence& aOccurrence) {
  return std::all_of(
      aStep.m_after.begin(), aStep.m_after.end(),
      [&](uint32_t aEarlier) { return aOccurrence.m_left[aEarlier] == 0; });
}

namespace {

/** Moves the tasks of steps whose predecessors are done to TaskPhase::Ready. */
void UnblockSteps(Cell& aCell, Job& aJob, uint32_t aNumber, TimePoint aNow) {
  Occurrence& occurrence = aJob.m_occurrences.at(aNumber);
  const auto& steps = aJob.m_spec.m_steps;
  for (uint32_t step = 0; step < steps.size(); ++step) {
    if (occurrence.m_left[step] == 0) continue;
    Task* first = &occurrence.m_tasks[aJob.m_stepOffset[step]];
    // The tasks of a step leave TaskPhase::Blocked together.
    if (first->m_phase != TaskPhase::Blocked) continue;
    if (!PredecessorsDone(steps[step], occurrence)) continue;
    for (uint32_t index = 0; index < steps[step].m_count; ++index) {
      if (first[index].m_phase != TaskPhase::Blocked) continue;
      first[index].m_phase = TaskPhase::Ready;
      first[index].m_phaseSince = aNow;
    }
    aCell.m_queue.insert(QueueKeyOf(aJob, aNumber, step));
    aCell.m_capacityChanged = true;
  }
}

}  // namespace

void LeaveQueueIfIdle(Cell& aCell, const TaskKey& aKey,
                      const TaskPlace& aPlace) {
  if (HasReadyTask(*aPlace.m_job, *aPlace.m_occurrence, aKey.m_step)) return;
  aCell.m_queue.erase(
      QueueKeyOf(*aPlace.m_job, aKey.m_occurrence, aKey.m_step));
}

void FinishTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                TimePoint aNow) {
  Task& task = *aPlace.m_task;
  if (task.m_phase == TaskPhase::Done) return;
  if (HasPlace(task.m_phase)) Release(aCell, aKey, *aPlace.m_step, task);
  // An end may arrive after the task was put back into the queue.
  const bool waited = task.m_phase == TaskPhase::Ready;
  task.m_phase = TaskPhase::Done;
  if (waited) LeaveQueueIfIdle(aCell, aKey, aPlace);
  task.m_phaseSince = aNow;
  task.m_checkpoint.clear();
  Job& job = *aPlace.m_job;
  MarkTaskChanged(aPlace);
  MarkChanged(aCell, job);
  Occurrence& occurrence = *aPlace.m_occurrence;
  if (--occurrence.m_left[aKey.m_step] > 0) return;
  if (job.m_phase != JobPhase::Active) return;
  const bool allDone =
      std::all_of(occurrence.m_left.begin(), occurrence.m_left.end(),
                  [](uint32_t aLeft) { return aLeft == 0; });
  if (!allDone) {
    UnblockSteps(aCell, job, aKey.m_occurrence, aNow);
    return;
  }
  // A job without a schedule keeps its tasks until it is removed, so that an
  // end that is reported twice still finds its task.
  const bool isLast =
      job.m_nextOccurrence >= std::max(job.m_spec.m_maxRuns, 1U);
  if (job.m_spec.m_maxRuns > 1 && !(isLast && job.m_occurrences.size() == 1)) {
    RemoveTaskBlocks(aCell, job, aKey.m_occurrence, job.m_version);
    job.m_occurrences.erase(aKey.m_occurrence);
    return;
  }
  if (isLast) EndJob(aCell, job, JobPhase::Completed, aNow);
}

void RemoveTaskBlocks(Cell& aCell, const Job& aJob, uint32_t aOccurrence,
                      uint64_t aAfter) {
  if (aJob.m_tasksPerBlock == 0) return;
  const size_t tasks = aJob.m_occurrences.at(aOccurrence).m_tasks.size();
  for (uint32_t first = 0; first < tasks; first += aJob.m_tasksPerBlock) {
    aCell.m_removedBlocks.push_back(
        {{aJob.m_spec.m_id, aOccurrence, first}, aAfter});
  }
}

void RemoveRows(Cell& aCell, const Job& aJob) {
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    RemoveTaskBlocks(aCell, aJob, number, 0);
  }
  aCell.m_removed.push_back(aJob.m_spec.m_id);
}

void AddStopOrder(Cell& aCell, const TaskKey& aKey, RunNumber aRun,
                  RunnerIndex aRunner) {
  ++aCell.m_counts.m_stops;
  aCell.m_orders.emplace_back(StopOrder{aKey, aRun, aRunner});
}

void OrderStop(Cell& aCell, const TaskKey& aKey, Task& aTask, TimePoint aNow) {
  aTask.m_stopOrderedAt = aNow;
  aTask.m_stopAnswered = false;
  AddStopOrder(aCell, aKey, aTask.m_run, aTask.m_runner);
}

void StopTask(Cell& aCell, const TaskKey& aKey, Task& aTask, TimePoint aNow) {
  aTask.m_phase = TaskPhase::Stopping;
  aTask.m_phaseSince = aNow;
  OrderStop(aCell, aKey, aTask, aNow);
}

void StopRun(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
             TimePoint aNow) {
  StopTask(aCell, aKey, *aPlace.m_task, aNow);
  if (aPlace.m_step->m_gang) StopOtherMembers(aCell, aKey, aPlace, aNow);
}

namespace {

/** Stops or drops a task of a job that is no longer active. */
void WithdrawTask(Cell& aCell, const TaskKey& aKey, const TaskPlace& aPlace,
                  TimePoint aNow) {
  Task& task = *aPlace.m_task;
  switch (task.m_phase) {
    case TaskPhase::Ready:
    case TaskPhase::Blocked:
      task.m_phase = TaskPhase::Blocked;
      return;
    case TaskPhase::Intended:
      Release(aCell, aKey, *aPlace.m_step, task);
      task.m_phase = TaskPhase::Blocked;
      return;
    case TaskPhase::Starting:
    case TaskPhase::Running:
    case TaskPhase::StartUnanswered:
    case TaskPhase::Recovering:
      StopTask(aCell, aKey, task, aNow);
      return;
    case TaskPhase::Stopping:
    case TaskPhase::Done:
      return;
  }
}

}  // namespace

void EndJob(Cell& aCell, Job& aJob, JobPhase aPhase, TimePoint aNow) {
  if (aJob.m_phase != JobPhase::Active) return;
  aJob.m_phase = aPhase;
  UpdatePending(aCell, aJob);
  aJob.m_endedAt = aNow;
  aCell.m_ended.emplace(aNow, aJob.m_spec.m_id);
  ForgetAdvice(aCell, aJob.m_spec.m_id);
  MarkChanged(aCell, aJob);
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    for (uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
      aCell.m_queue.erase(QueueKeyOf(aJob, number, step));
      for (uint32_t index = 0; index < aJob.m_spec.m_steps[step].m_count;
           ++index) {
        const TaskKey key{aJob.m_spec.m_id, number, step, index};
        WithdrawTask(aCell, key, FindTask(aCell, key), aNow);
      }
    }
  }
  if (aPhase == JobPhase::Completed) ++aCell.m_counts.m_completed;
  if (aPhase == JobPhase::Failed) ++aCell.m_counts.m_failed;
  if (aPhase == JobPhase::Cancelled) ++aCell.m_counts.m_cancelled;
}

void DropFromQueue(Cell& aCell, const Job& aJob) {
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
      aCell.m_queue.erase(QueueKeyOf(aJob, number, step));
    }
  }
}

void UpdatePending(Cell& aCell, const Job& aJob) {
  const bool isPending = aJob.m_phase == JobPhase::Active &&
                         aJob.m_spec.m_maxRuns == 0 && !aJob.m_anyStarted;
  if (isPending) {
    aCell.m_pending[aJob.m_spec.m_queue].insert(aJob.m_spec.m_id);
  } else {
    RemoveFromPending(aCell, aJob);
  }
}

void RemoveFromPending(Cell& aCell, const Job& aJob) {
  const auto found = aCell.m_pending.find(aJob.m_spec.m_queue);
  if (found != aCell.m_pending.end()) found->second.erase(aJob.m_spec.m_id);
}

void ForgetJob(Cell& aCell, Job& aJob) {
  const JobId id = aJob.m_spec.m_id;
  DropFromQueue(aCell, aJob);
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    for (uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
      for (uint32_t i = 0; i < aJob.m_spec.m_steps[step].m_count; ++i) {
        const TaskKey key{id, number, step, i};
        const TaskPlace place = FindTask(aCell, key);
        if (HasPlace(place.m_task->m_phase)) {
          Release(aCell, key, *place.m_step, *place.m_task);
        }
      }
    }
  }
  RemoveFromPending(aCell, aJob);
  aCell.m_scheduled.erase({aJob.m_spec.m_startTime, id});
  if (aJob.m_phase != JobPhase::Active) {
    aCell.m_ended.erase({aJob.m_endedAt, id});
  }
  ForgetAdvice(aCell, id);
  aCell.m_dirty.erase(id);
  aCell.m_heldBack.erase(id);
  aCell.m_moving.erase(id);
  aCell.m_jobs.erase(id);
}

void IndexSteps(Cell& aCell, Job& aJob) {
  aJob.m_stepOffset.clear();
  uint32_t offset = 0;
  for (StepSpec& step : aJob.m_spec.m_steps) {
    step.m_imageIndex = FindOrAddImage(aCell.m_interference, step.m_image);
    aJob.m_stepOffset.push_back(offset);
    offset += step.m_count;
  }
}

size_t TaskCount(const JobSpec& aSpec) {
  size_t count = 0;
  for (const StepSpec& step : aSpec.m_steps) count += step.m_count;
  return count;
}

void BeginOccurrence(Cell& aCell, Job& aJob, uint32_t aNumber, TimePoint aNow) {
  Occurrence& occurrence = aJob.m_occurrences[aNumber];
  const size_t total = TaskCount(aJob.m_spec);
  for (const StepSpec& step : aJob.m_spec.m_steps) {
    occurrence.m_left.push_back(step.m_count);
  }
  occurrence.m_tasks.resize(total);
  if (aJob.m_tasksPerBlock > 0) {
    occurrence.m_unstoredSince.resize((total + aJob.m_tasksPerBlock - 1) /
                                      aJob.m_tasksPerBlock);
  }
  occurrence.m_due = DueTime(aJob.m_spec, aNow);
  aJob.m_nextOccurrence = std::max(aJob.m_nextOccurrence, aNumber + 1);
  UnblockSteps(aCell, aJob, aNumber, aNow);
}

TimePoint DueTime(const JobSpec& aSpec, TimePoint aFrom) {
  // Steps may depend on earlier or later ones, so passes are repeated until no
  // chain grows. CheckJob has refused cycles.
  std::vector<Duration> chain(aSpec.m_steps.size(), Duration::zero());
  Duration longest = Duration::zero();
  for (size_t pass = 0; pass < chain.size(); ++pass) {
    bool grew = false;
    for (size_t step = 0; step < chain.size(); ++step) {
      Duration before = Duration::zero();
      for (const uint32_t earlier : aSpec.m_steps[step].m_after) {
        before = std::max(before, chain[earlier]);
      }
      const Duration total = before + aSpec.m_steps[step].m_estimate;
      if (total > chain[step]) {
        chain[step] = total;
        grew = true;
      }
      longest = std::max(longest, total);
    }
    if (!grew) break;
  }
  const auto scaled = static_cast<int64_t>(
      static_cast<double>(longest.count()) * aSpec.m_policy.m_stretch);
  return aFrom + Duration(scaled) + aSpec.m_policy.m_targetLatency;
}

void LogDecision(Cell& aCell, std::string aText) {
  aCell.m_orders.emplace_back(Decision{std::move(aText)});
}

}  // namespace bronze::sched
