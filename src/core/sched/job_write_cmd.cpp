/**
 * @file job_write_cmd.cpp The rows of one job that a commit contains.
 */

#include "core/sched/job_write_cmd.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <vector>

#include "core/sched/stored_size_func.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Table, part, key and punctuation of a row in a transaction. */
constexpr size_t kRowOverhead = 200;

StoredTask StoredOf(const Cell& aCell, const Task& aTask) {
  StoredTask stored;
  stored.m_run = aTask.m_run;
  if (aTask.m_phase == TaskPhase::Done) {
    stored.m_state = StoredTask::State::Done;
    return stored;
  }
  stored.m_failedRuns = aTask.m_failedRuns;
  if (HasPlace(aTask.m_phase)) {
    stored.m_state = StoredTask::State::Placed;
    stored.m_runner = aCell.m_runners[aTask.m_runner.Value()].m_entry.m_id;
  } else if (aTask.m_checkpoint.size() <= kMaxStoredCheckpoint) {
    stored.m_checkpoint = aTask.m_checkpoint;
  }
  return stored;
}

bool WasPlaced(const Occurrence& aOccurrence) {
  return std::any_of(aOccurrence.m_tasks.begin(), aOccurrence.m_tasks.end(),
                     [](const Task& aTask) { return aTask.m_run.Value() > 0; });
}

/** @return the state without its tasks. */
StoredState StateWithoutTasks(const Job& aJob) {
  StoredState state;
  state.m_job = aJob.m_spec.m_id;
  state.m_phase = aJob.m_phase;
  state.m_nextOccurrence = aJob.m_nextOccurrence;
  state.m_anyStarted = aJob.m_anyStarted;
  state.m_movingTo = aJob.m_movingTo;
  state.m_moveCount = aJob.m_moveCount;
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    // The tasks of an ended job matter only while one of their runs may
    // continue.
    const bool placed =
        std::any_of(occurrence.m_tasks.begin(), occurrence.m_tasks.end(),
                    [](const Task& aTask) { return HasPlace(aTask.m_phase); });
    if (aJob.m_phase != JobPhase::Active && !placed) continue;
    state.m_occurrences.push_back({number, {}});
  }
  return state;
}

StoredTaskBlock BlockOf(const Cell& aCell, const Job& aJob,
                        const TaskBlockKey& aKey) {
  StoredTaskBlock block;
  block.m_key = aKey;
  const auto& tasks = aJob.m_occurrences.at(aKey.m_occurrence).m_tasks;
  const size_t end = std::min<size_t>(
      tasks.size(), size_t{aKey.m_firstTask} + aJob.m_tasksPerBlock);
  for (size_t at = aKey.m_firstTask; at < end; ++at) {
    block.m_tasks.push_back(StoredOf(aCell, tasks[at]));
  }
  return block;
}

/** From now on each block has a row of its own. All blocks have to be written
 *  before the state row, which still contains the tasks, is replaced. */
void Divide(Cell& aCell, Job& aJob) {
  aJob.m_tasksPerBlock = TasksPerBlock(aCell.m_settings.m_rowBytes);
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    const size_t blocks =
        (occurrence.m_tasks.size() + aJob.m_tasksPerBlock - 1) /
        aJob.m_tasksPerBlock;
    occurrence.m_unstoredSince.assign(blocks, aJob.m_storedVersion + 1);
  }
  ++aCell.m_counts.m_dividedJobs;
  LogDecision(aCell,
              fmt::format("divides the state of job={:016x} tasks_per_row={}",
                          aJob.m_spec.m_id.Value(), aJob.m_tasksPerBlock));
}

/** @return the changed blocks, those first whose changes have waited longest,
 *          so that each gets its turn however often others change. */
std::vector<TaskBlockKey> UnstoredBlocks(const Job& aJob) {
  std::vector<std::tuple<uint64_t, TaskBlockKey>> found;
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (size_t at = 0; at < occurrence.m_unstoredSince.size(); ++at) {
      if (occurrence.m_unstoredSince[at] == 0) continue;
      const auto first = static_cast<uint32_t>(at * aJob.m_tasksPerBlock);
      found.emplace_back(occurrence.m_unstoredSince[at],
                         TaskBlockKey{aJob.m_spec.m_id, number, first});
    }
  }
  std::sort(found.begin(), found.end());
  std::vector<TaskBlockKey> keys;
  keys.reserve(found.size());
  for (const auto& [since, key] : found) keys.push_back(key);
  return keys;
}

/** @return the highest version all of whose changes are in some commit. */
uint64_t TakenVersion(const Job& aJob) {
  uint64_t taken = aJob.m_version;
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (const uint64_t since : occurrence.m_unstoredSince) {
      if (since > 0) taken = std::min(taken, since - 1);
    }
  }
  return taken;
}

size_t TaskCount(const StoredState& aState) {
  size_t count = 0;
  for (const StoredOccurrence& occurrence : aState.m_occurrences) {
    count += occurrence.m_tasks.size();
  }
  return count;
}

/** Takes the job's spec, if that is not stored yet, and its state row. */
bool TakeStateRow(const Job& aJob, StoredState aState, CommitBudget& aBudget,
                  JobWrite& aWrite) {
  const size_t specBytes =
      aJob.m_specStored ? 0 : StoredBytesBound(aJob.m_spec);
  if (!TakeRows(aBudget, aJob.m_specStored ? 1 : 2,
                StoredBytesBound(aState) + specBytes, TaskCount(aState))) {
    return false;
  }
  if (!aJob.m_specStored) aWrite.m_spec = aJob.m_spec;
  aWrite.m_state = std::move(aState);
  return true;
}

}  // namespace

size_t BytesAsSent(size_t aValueBytes, size_t aRows) {
  // Values are sent in base64.
  return (aValueBytes + 2 * aRows) / 3 * 4 + 4 + aRows * kRowOverhead;
}

bool TakeRows(CommitBudget& aBudget, size_t aRows, size_t aValueBytes,
              size_t aTasks) {
  const size_t bytes = BytesAsSent(aValueBytes, aRows);
  if (aRows > aBudget.m_rows || bytes > aBudget.m_bytes ||
      aTasks > aBudget.m_tasks) {
    return false;
  }
  aBudget.m_rows -= aRows;
  aBudget.m_bytes -= bytes;
  aBudget.m_tasks -= aTasks;
  return true;
}

StoredState StateOf(const Cell& aCell, const Job& aJob) {
  StoredState state = StateWithoutTasks(aJob);
  for (StoredOccurrence& stored : state.m_occurrences) {
    const Occurrence& occurrence = aJob.m_occurrences.at(stored.m_number);
    if (!WasPlaced(occurrence)) continue;
    for (const Task& task : occurrence.m_tasks) {
      stored.m_tasks.push_back(StoredOf(aCell, task));
    }
  }
  return state;
}

std::optional<JobWrite> TakeJobWrite(Cell& aCell, Job& aJob,
                                     CommitBudget& aBudget) {
  JobWrite write;
  write.m_job = aJob.m_spec.m_id;
  write.m_version = aJob.m_version;
  if (aJob.m_tasksPerBlock == 0) {
    StoredState state = StateOf(aCell, aJob);
    if (StoredBytesBound(state) <= aCell.m_settings.m_stateBytes &&
        TaskCount(state) <= kMaxTasksPerStateRow) {
      if (!TakeStateRow(aJob, std::move(state), aBudget, write)) return {};
      return write;
    }
    Divide(aCell, aJob);
  }
  StoredState state = StateWithoutTasks(aJob);
  state.m_tasksPerBlock = aJob.m_tasksPerBlock;
  if (!TakeStateRow(aJob, std::move(state), aBudget, write)) return {};
  for (const TaskBlockKey& key : UnstoredBlocks(aJob)) {
    StoredTaskBlock block = BlockOf(aCell, aJob, key);
    if (!TakeRows(aBudget, 1, StoredBytesBound(block), block.m_tasks.size())) {
      break;
    }
    write.m_blocks.push_back(std::move(block));
    Occurrence& occurrence = aJob.m_occurrences.at(key.m_occurrence);
    occurrence.m_unstoredSince[key.m_firstTask / aJob.m_tasksPerBlock] = 0;
  }
  write.m_version = TakenVersion(aJob);
  if (!aJob.m_dividedStored && HasUnstoredBlock(aJob)) {
    write.m_spec.reset();
    write.m_state.reset();
    write.m_version = aJob.m_storedVersion;
  }
  return write;
}

bool HasUnstoredBlock(const Job& aJob) {
  return std::any_of(aJob.m_occurrences.begin(), aJob.m_occurrences.end(),
                     [](const auto& aEntry) {
                       const auto& since = aEntry.second.m_unstoredSince;
                       return std::any_of(
                           since.begin(), since.end(),
                           [](uint64_t aSince) { return aSince > 0; });
                     });
}

void ApplyJobWrite(Job& aJob, const JobWrite& aWrite) {
  aJob.m_storedVersion = std::max(aJob.m_storedVersion, aWrite.m_version);
  if (aWrite.m_spec) aJob.m_specStored = true;
  // A write that was taken before the job came back from another cell is of its
  // earlier state, which may have been divided while this one is not.
  if (aWrite.m_state && aJob.m_tasksPerBlock > 0 &&
      aWrite.m_state->m_tasksPerBlock == aJob.m_tasksPerBlock) {
    aJob.m_dividedStored = true;
  }
}

void ReturnJobWrite(Job& aJob, const JobWrite& aWrite) {
  for (const StoredTaskBlock& block : aWrite.m_blocks) {
    MarkBlockUnstored(aJob, block.m_key);
  }
}

bool MarkBlockUnstored(Job& aJob, const TaskBlockKey& aBlock) {
  const auto found = aJob.m_occurrences.find(aBlock.m_occurrence);
  if (aJob.m_tasksPerBlock == 0 || found == aJob.m_occurrences.end()) {
    return false;
  }
  const size_t at = aBlock.m_firstTask / aJob.m_tasksPerBlock;
  if (aBlock.m_firstTask % aJob.m_tasksPerBlock != 0 ||
      at >= found->second.m_unstoredSince.size()) {
    return false;
  }
  found->second.m_unstoredSince[at] = aJob.m_storedVersion + 1;
  return true;
}

}  // namespace bronze::sched
