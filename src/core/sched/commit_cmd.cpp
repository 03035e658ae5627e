/**
 * @file commit_cmd.cpp State of a cell that must survive its owner.
 */

#include "core/sched/commit_cmd.h"

#include <algorithm>

#include "core/sched/admission_func.h"
#include "core/sched/failed_runs_func.h"
#include "core/sched/interference_func.h"
#include "core/sched/job_write_cmd.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/schedule_cmd.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** The clocks of two VMs may differ by far more than a job waits. */
constexpr int64_t kMaxRestoredWaitMs = 60'000;

/** Pause between two writes of the learned interference. What is learned in
 *  between is lost with the owner; a write for 14 images takes about 1.5 KB. */
constexpr Duration kInterferenceStoreInterval = seconds(3);

/** Rows of one job besides its blocks: its spec and its state. */
constexpr size_t kRowsPerJob = 2;
constexpr size_t kRouteBytes = 64;

/** Moves ids from the list to the commit; each deletes aRowsEach rows. An id
 *  that is in use again since keeps its rows: the job has come back. */
template <class Used>
void TakeRemoved(std::vector<JobId>& aFrom, const Used& aUsed,
                 std::vector<JobId>& aTo, size_t aRowsEach,
                 CommitBudget& aBudget) {
  while (!aFrom.empty()) {
    const JobId id = aFrom.back();
    if (aUsed.count(id) == 0) {
      if (!TakeRows(aBudget, aRowsEach, 0)) return;
      aTo.push_back(id);
    }
    aFrom.pop_back();
  }
}

/** If a job has come back under the id, a row that it uses again is replaced
 *  instead of deleted. */
void TakeRemovedBlocks(Cell& aCell, Commit& aCommit, CommitBudget& aBudget) {
  std::vector<BlockRemoval> kept;
  for (const BlockRemoval& removal : aCell.m_removedBlocks) {
    const auto job = aCell.m_jobs.find(removal.m_block.m_job);
    const bool jobExists = job != aCell.m_jobs.end();
    if (jobExists && MarkBlockUnstored(job->second, removal.m_block)) {
      aCell.m_dirty.insert(removal.m_block.m_job);
      continue;
    }
    const bool mayGo =
        !jobExists || job->second.m_storedVersion >= removal.m_after;
    if (mayGo && TakeRows(aBudget, 1, 0)) {
      aCommit.m_removedBlocks.push_back(removal);
    } else {
      kept.push_back(removal);
    }
  }
  aCell.m_removedBlocks = std::move(kept);
}

/** Bytes that a commit keeps for the rows of known jobs: the state and, of a
 *  divided job whose spec is not stored yet, the spec. */
size_t OtherBytes(const Cell& aCell) {
  return std::max(aCell.m_settings.m_commitBytes / 3,
                  BytesAsSent(2 * aCell.m_settings.m_rowBytes, 2));
}

/** @return what new jobs may take of the budget before other jobs. */
CommitBudget NewJobShare(const Cell& aCell, const CommitBudget& aBudget) {
  const size_t known = aCell.m_newJobs.size();
  const size_t others =
      aCell.m_dirty.size() > known ? aCell.m_dirty.size() - known : 0;
  if (others == 0) return aBudget;
  CommitBudget share;
  share.m_rows = NewJobRows(aBudget.m_rows, others);
  share.m_bytes =
      aBudget.m_bytes - std::min(aBudget.m_bytes, OtherBytes(aCell));
  share.m_tasks = aBudget.m_tasks / 2;
  static_assert(kMaxTasksPerStateRow <= kMaxTasksPerCommit / 2,
                "the rest has room for any state row");
  return share;
}

/** @return the first of m_newJobs; drops entries of jobs that have left. */
Job* FirstNewJob(Cell& aCell) {
  while (!aCell.m_newJobs.empty()) {
    const JobId id = aCell.m_newJobs.front();
    const auto found = aCell.m_jobs.find(id);
    const bool waits =
        found != aCell.m_jobs.end() && found->second.m_waitsAsNew;
    if (waits && aCell.m_dirty.count(id) > 0) return &found->second;
    if (waits) found->second.m_waitsAsNew = false;
    aCell.m_newJobs.pop_front();
  }
  return nullptr;
}

/** Takes new jobs in the order in which they came, up to the share.
 *  @return false if the commit can contain no further job. */
bool TakeNewJobs(Cell& aCell, Commit& aCommit, CommitBudget aShare,
                 CommitBudget& aBudget) {
  const CommitBudget before = aShare;
  bool isWhole = true;
  while (Job* job = FirstNewJob(aCell)) {
    auto write = TakeJobWrite(aCell, *job, aShare);
    if (!write) break;
    aCommit.m_writes.push_back(std::move(*write));
    job->m_waitsAsNew = false;
    aCell.m_newJobs.pop_front();
    // The rest of it goes into later commits, as that of a known job.
    isWhole = !HasUnstoredBlock(*job);
    if (!isWhole) break;
    aCell.m_dirty.erase(job->m_spec.m_id);
  }
  aBudget.m_rows -= before.m_rows - aShare.m_rows;
  aBudget.m_bytes -= before.m_bytes - aShare.m_bytes;
  aBudget.m_tasks -= before.m_tasks - aShare.m_tasks;
  return isWhole;
}

/** Takes changed jobs in the order of their ids, going on where the last commit
 *  ended. @return false if the commit can contain no further job. */
bool TakeKnownJobs(Cell& aCell, Commit& aCommit, CommitBudget& aBudget,
                   bool aSkipsNew) {
  // No job is visited twice.
  for (size_t left = aCell.m_dirty.size(); left > 0; --left) {
    auto next = aCell.m_dirty.upper_bound(aCell.m_lastTaken);
    if (next == aCell.m_dirty.end()) next = aCell.m_dirty.begin();
    const JobId id = *next;
    const auto found = aCell.m_jobs.find(id);
    if (found == aCell.m_jobs.end()) {
      aCell.m_dirty.erase(next);
      continue;
    }
    if (aSkipsNew && found->second.m_waitsAsNew) {
      aCell.m_lastTaken = id;
      continue;
    }
    auto write = TakeJobWrite(aCell, found->second, aBudget);
    if (!write) return false;
    aCommit.m_writes.push_back(std::move(*write));
    found->second.m_waitsAsNew = false;
    aCell.m_lastTaken = id;
    // The rest of it goes into later commits.
    if (HasUnstoredBlock(found->second)) return false;
    aCell.m_dirty.erase(next);
  }
  return true;
}

void TakeJobWrites(Cell& aCell, Commit& aCommit, CommitBudget& aBudget) {
  if (aBudget.m_rows < kMinSharedRows) {
    TakeKnownJobs(aCell, aCommit, aBudget, false);
    return;
  }
  const CommitBudget share = NewJobShare(aCell, aBudget);
  if (!TakeNewJobs(aCell, aCommit, share, aBudget)) return;
  if (!TakeKnownJobs(aCell, aCommit, aBudget, true)) return;
  TakeNewJobs(aCell, aCommit, aBudget, aBudget);
}

}  // namespace

Commit TakeCommit(Cell& aCell, size_t aMaxRows, TimePoint aNow) {
  Commit commit;
  const size_t rowBytes = aCell.m_settings.m_rowBytes;
  CommitBudget budget{aMaxRows + 1, aCell.m_settings.m_commitBytes,
                      kMaxTasksPerCommit};
  // The owner's row is part of each commit.
  if (!TakeRows(budget, 1, rowBytes)) return commit;
  commit.m_unresponsive = TakeUnresponsiveRunners(aCell, aNow);
  if (aCell.m_interference.m_changes != aCell.m_interferenceTaken &&
      aNow - aCell.m_interferenceTakenAt >= kInterferenceStoreInterval &&
      TakeRows(budget, 1, rowBytes)) {
    commit.m_interference = ToStored(aCell.m_interference, rowBytes);
    aCell.m_interferenceTaken = aCell.m_interference.m_changes;
    aCell.m_interferenceTakenAt = aNow;
  }
  while (!aCell.m_dirtyRoutes.empty()) {
    const JobId id = *aCell.m_dirtyRoutes.begin();
    const auto found = aCell.m_routes.find(id);
    if (found != aCell.m_routes.end()) {
      if (!TakeRows(budget, 1, kRouteBytes)) break;
      commit.m_routes.push_back(
          {id, found->second.m_cell, found->second.m_moveCount});
    }
    aCell.m_dirtyRoutes.erase(aCell.m_dirtyRoutes.begin());
  }
  TakeJobWrites(aCell, commit, budget);
  TakeRemovedBlocks(aCell, commit, budget);
  if (aCell.m_removedBlocks.empty()) {
    TakeRemoved(aCell.m_removed, aCell.m_jobs, commit.m_removed, kRowsPerJob,
                budget);
  }
  TakeRemoved(aCell.m_removedRoutes, aCell.m_routes, commit.m_removedRoutes, 1,
              budget);
  return commit;
}

void ApplyCommitted(Cell& aCell, const Commit& aCommit, TimePoint aNow) {
  ApplyStoredUnresponsive(aCell, aCommit.m_unresponsive);
  for (const JobWrite& write : aCommit.m_writes) {
    const auto found = aCell.m_jobs.find(write.m_job);
    if (found == aCell.m_jobs.end()) continue;
    ApplyJobWrite(found->second, write);
    OrderStarts(aCell, write.m_job, aNow);
  }
  for (const StoredRoute& route : aCommit.m_routes) {
    const auto found = aCell.m_routes.find(route.m_job);
    if (found != aCell.m_routes.end()) found->second.m_stored = true;
  }
  for (Runner& runner : aCell.m_runners) {
    if (!runner.m_unstoredEnds.empty()) ReleaseStoredEnds(aCell, runner, aNow);
  }
}

void ReturnCommit(Cell& aCell, const Commit& aCommit) {
  // From the last one, so that new jobs come before later ones in their order.
  for (auto write = aCommit.m_writes.rbegin(); write != aCommit.m_writes.rend();
       ++write) {
    aCell.m_dirty.insert(write->m_job);
    const auto found = aCell.m_jobs.find(write->m_job);
    if (found == aCell.m_jobs.end()) continue;
    Job& job = found->second;
    ReturnJobWrite(job, *write);
    if (!job.m_specStored && !job.m_waitsAsNew && job.m_tasksPerBlock == 0) {
      job.m_waitsAsNew = true;
      aCell.m_newJobs.push_front(write->m_job);
    }
  }
  aCell.m_removedBlocks.insert(aCell.m_removedBlocks.end(),
                               aCommit.m_removedBlocks.begin(),
                               aCommit.m_removedBlocks.end());
  aCell.m_removed.insert(aCell.m_removed.end(), aCommit.m_removed.begin(),
                         aCommit.m_removed.end());
  for (const StoredRoute& route : aCommit.m_routes) {
    if (aCell.m_routes.count(route.m_job) > 0) {
      aCell.m_dirtyRoutes.insert(route.m_job);
    }
  }
  aCell.m_removedRoutes.insert(aCell.m_removedRoutes.end(),
                               aCommit.m_removedRoutes.begin(),
                               aCommit.m_removedRoutes.end());
  aCell.m_commitWanted = true;
  // The table is taken again after its interval, not at once: it must not keep
  // other rows from being stored if the store does not accept it.
  if (aCommit.m_interference) aCell.m_interferenceTaken = 0;
}

namespace {

void RestoreTask(Cell& aCell, const TaskKey& aKey, const StoredTask& aStored,
                 TimePoint aNow) {
  const TaskPlace place = FindTask(aCell, aKey);
  Task& task = *place.m_task;
  task.m_run = aStored.m_run;
  // Earlier builds keep the failed runs of a gang with each of its members.
  TaskKey counter = aKey;
  if (place.m_step->m_gang) counter.m_index = 0;
  FailedRuns& failedRuns = FindTask(aCell, counter).m_task->m_failedRuns;
  if (failedRuns.m_count == 0) {
    failedRuns = aStored.m_failedRuns;
  } else {
    AddFailedRuns(failedRuns, aStored.m_failedRuns);
  }
  task.m_checkpoint = aStored.m_checkpoint;
  task.m_phaseSince = aNow;
  switch (aStored.m_state) {
    case StoredTask::State::Open:
      return;
    case StoredTask::State::Done:
      task.m_phase = TaskPhase::Done;
      --place.m_occurrence->m_left[aKey.m_step];
      return;
    case StoredTask::State::Placed:
      Reserve(aCell, aKey, *place.m_step, task,
              FindOrAddRunner(aCell, aStored.m_runner));
      task.m_phase = TaskPhase::Recovering;
      // Each token of this owner is higher than those of earlier ones.
      task.m_decidedAt = kDecidedByToken;
      return;
  }
}

/** Puts the open tasks whose predecessors are done into the queue. */
void RestoreQueue(Cell& aCell, Job& aJob, uint32_t aNumber) {
  Occurrence& occurrence = aJob.m_occurrences.at(aNumber);
  for (uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
    const StepSpec& spec = aJob.m_spec.m_steps[step];
    const bool open = PredecessorsDone(spec, occurrence);
    bool queued = false;
    for (uint32_t i = 0; i < spec.m_count; ++i) {
      Task& task = occurrence.m_tasks[aJob.m_stepOffset[step] + i];
      if (task.m_phase == TaskPhase::Ready && !open) {
        task.m_phase = TaskPhase::Blocked;
      }
      if (task.m_phase == TaskPhase::Blocked && open) {
        task.m_phase = TaskPhase::Ready;
      }
      queued = queued || task.m_phase == TaskPhase::Ready;
    }
    const QueueKey key = QueueKeyOf(aJob, aNumber, step);
    if (queued) {
      aCell.m_queue.insert(key);
    } else {
      aCell.m_queue.erase(key);
    }
  }
}

void RestoreOccurrence(Cell& aCell, Job& aJob, const StoredOccurrence& aStored,
                       TimePoint aNow, UnixMillis aUnixNow) {
  BeginOccurrence(aCell, aJob, aStored.m_number, aNow);
  Occurrence& occurrence = aJob.m_occurrences.at(aStored.m_number);
  // The target time orders the queue, so the time that the job has already
  // waited must count.
  if (aJob.m_spec.m_maxRuns == 0) {
    for (uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
      aCell.m_queue.erase(QueueKeyOf(aJob, aStored.m_number, step));
    }
    const int64_t waited = std::clamp<int64_t>(
        (aUnixNow - aJob.m_spec.m_acceptedAt).Value(), 0, kMaxRestoredWaitMs);
    occurrence.m_due -= milliseconds(waited);
  }
  uint32_t at = 0;
  for (uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
    for (uint32_t i = 0; i < aJob.m_spec.m_steps[step].m_count; ++i, ++at) {
      if (at >= aStored.m_tasks.size()) continue;
      RestoreTask(aCell, {aJob.m_spec.m_id, aStored.m_number, step, i},
                  aStored.m_tasks[at], aNow);
    }
  }
  RestoreQueue(aCell, aJob, aStored.m_number);
}

}  // namespace

void HoldBackJob(Cell& aCell, JobId aJob, TimePoint aUntil) {
  const auto found = aCell.m_jobs.find(aJob);
  if (found == aCell.m_jobs.end()) return;
  aCell.m_heldBack[aJob] = aUntil;
  aCell.m_dirty.erase(aJob);
  found->second.m_waitsAsNew = false;
}

bool AddTaskBlock(StoredState& aState, const JobSpec& aSpec,
                  const StoredTaskBlock& aBlock) {
  const auto occurrence =
      std::find_if(aState.m_occurrences.begin(), aState.m_occurrences.end(),
                   [&](const StoredOccurrence& aOccurrence) {
                     return aOccurrence.m_number == aBlock.m_key.m_occurrence;
                   });
  if (aState.m_tasksPerBlock == 0 || occurrence == aState.m_occurrences.end()) {
    return false;
  }
  const size_t tasks = TaskCount(aSpec);
  const size_t first = aBlock.m_key.m_firstTask;
  if (first % aState.m_tasksPerBlock != 0 ||
      first + aBlock.m_tasks.size() > tasks) {
    return false;
  }
  occurrence->m_tasks.resize(tasks);
  std::copy(aBlock.m_tasks.begin(), aBlock.m_tasks.end(),
            occurrence->m_tasks.begin() + static_cast<ptrdiff_t>(first));
  return true;
}

void RestoreJob(Cell& aCell, JobSpec aSpec, const StoredState& aState,
                TimePoint aNow, UnixMillis aUnixNow) {
  const JobId id = aSpec.m_id;
  Job& job = aCell.m_jobs[id];
  job.m_spec = std::move(aSpec);
  job.m_moveCount = aState.m_moveCount;
  job.m_specStored = true;
  job.m_storedVersion = job.m_version;
  job.m_anyStarted = aState.m_anyStarted;
  job.m_tasksPerBlock = aState.m_tasksPerBlock;
  job.m_dividedStored = job.m_tasksPerBlock > 0;
  IndexSteps(aCell, job);
  for (const StoredOccurrence& occurrence : aState.m_occurrences) {
    RestoreOccurrence(aCell, job, occurrence, aNow, aUnixNow);
    auto& since = job.m_occurrences.at(occurrence.m_number).m_unstoredSince;
    std::fill(since.begin(), since.end(), 0);
  }
  job.m_nextOccurrence = aState.m_nextOccurrence;
  if (aState.m_phase != JobPhase::Active) {
    EndJob(aCell, job, aState.m_phase, aNow);
    // The end is already durable; only later changes have to be stored.
    job.m_storedVersion = job.m_version;
    aCell.m_dirty.erase(id);
    return;
  }
  if (aState.m_movingTo) {
    job.m_movingTo = aState.m_movingTo;
    DropFromQueue(aCell, job);
    aCell.m_moving.insert(id);
  }
  UpdatePending(aCell, job);
  if (job.m_nextOccurrence < job.m_spec.m_maxRuns) {
    aCell.m_scheduled.emplace(
        UnixMillis(job.m_spec.m_startTime.Value() +
                   job.m_spec.m_intervalMs *
                       static_cast<int64_t>(job.m_nextOccurrence)),
        id);
  }
}

}  // namespace bronze::sched
