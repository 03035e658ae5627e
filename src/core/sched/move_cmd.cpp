/**
 * @file move_cmd.cpp Moves jobs that wait in a full cell to one that has room.
 */

#include "core/sched/move_cmd.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/job_write_cmd.h"
#include "core/sched/route_cmd.h"
#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

/** Time that a task waits before its job may move. A move takes some 30 ms, and
 *  short tasks make room every few hundred milliseconds. */
constexpr Duration kMoveAfter = milliseconds(250);
/** Limit per call: published loads do not contain what has moved since. */
constexpr size_t kMaxMoves = 6;
/** Queued steps per call for which another cell is sought. Those of jobs that
 *  cannot move do not count, so that they hide no others. */
constexpr size_t kMaxExamined = 64;
/** Least difference of loads, in thousandths, that is worth a move. */
constexpr uint32_t kMinGain = 120;
/** Moves of one job, so that it does not wander between full cells. */
constexpr uint32_t kMaxMovesPerJob = 4;
constexpr Duration kSendAgainAfter = milliseconds(400);

/** Whether no run of a task that is not done has existed. */
bool MayMove(const Job& aJob) {
  if (!aJob.m_specStored || aJob.m_movingTo || aJob.m_spec.m_maxRuns != 0 ||
      aJob.m_moveCount >= kMaxMovesPerJob) {
    return false;
  }
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (const Task& task : occurrence.m_tasks) {
      const bool untouched = !HasPlace(task.m_phase) && task.m_run.Value() == 0;
      if (task.m_phase != TaskPhase::Done && !untouched) return false;
    }
  }
  return true;
}

bool HasWaited(const Job& aJob, const QueueKey& aKey, TimePoint aNow) {
  const Occurrence& occurrence = aJob.m_occurrences.at(aKey.m_occurrence);
  const Task& first = occurrence.m_tasks[aJob.m_stepOffset[aKey.m_step]];
  return first.m_phase == TaskPhase::Ready &&
         aNow - first.m_phaseSince > kMoveAfter;
}

void BeginMove(Cell& aCell, Job& aJob, CellId aTarget, TimePoint aNow) {
  DropFromQueue(aCell, aJob);
  aJob.m_movingTo = aTarget;
  ++aJob.m_moveCount;
  MarkChanged(aCell, aJob);
  aJob.m_moveVersion = aJob.m_version;
  aJob.m_moveTryAt = aNow;
  aCell.m_moving.insert(aJob.m_spec.m_id);
  ++aCell.m_counts.m_jobsMoved;
  LogDecision(aCell, fmt::format("moves waiting job={:016x} to={}",
                                 aJob.m_spec.m_id.Value(), aTarget.Value()));
}

}  // namespace

size_t BeginMoves(Cell& aCell, CellId aOwn, std::vector<CellLoad>& aLoads,
                  TimePoint aNow) {
  if (aLoads.size() < 2) return 0;
  size_t moved = 0;
  size_t examined = 0;
  const std::vector<QueueKey> keys(aCell.m_queue.begin(), aCell.m_queue.end());
  for (const QueueKey& key : keys) {
    if (moved >= kMaxMoves || examined >= kMaxExamined) break;
    Job& job = aCell.m_jobs.at(key.m_job);
    if (!HasWaited(job, key, aNow) || !MayMove(job)) continue;
    ++examined;
    const auto target = LeastLoadedCell(aOwn, aLoads, job.m_spec, kMinGain);
    if (!target) continue;
    AddJob(aLoads[target->Value()], job.m_spec);
    SubtractJob(aLoads[aOwn.Value()], job.m_spec);
    BeginMove(aCell, job, *target, aNow);
    ++moved;
  }
  return moved;
}

std::vector<MovingJob> TakeMovesToSend(Cell& aCell, TimePoint aNow) {
  std::vector<MovingJob> moves;
  for (const JobId id : aCell.m_moving) {
    const auto found = aCell.m_jobs.find(id);
    if (found == aCell.m_jobs.end()) continue;
    Job& job = found->second;
    if (job.m_storedVersion < job.m_moveVersion || aNow < job.m_moveTryAt) {
      continue;
    }
    job.m_moveTryAt = aNow + kSendAgainAfter;
    moves.push_back({id, *job.m_movingTo, job.m_moveCount});
  }
  return moves;
}

StoredState MovingStateOf(const Cell& aCell, const Job& aJob) {
  StoredState state = StateOf(aCell, aJob);
  state.m_movingTo.reset();
  return state;
}

void CompleteMove(Cell& aCell, const MovingJob& aMove, TimePoint aNow) {
  const auto found = aCell.m_jobs.find(aMove.m_job);
  if (found == aCell.m_jobs.end() ||
      found->second.m_movingTo != aMove.m_target ||
      found->second.m_moveCount != aMove.m_moveCount) {
    return;
  }
  RemoveRows(aCell, found->second);
  ForgetJob(aCell, found->second);
  RouteJob(aCell, aMove.m_job, aMove.m_target, aNow);
  aCell.m_routes.at(aMove.m_job).m_moveCount = aMove.m_moveCount;
}

Result<DurableVersion> AdoptJob(Cell& aCell, JobSpec aSpec,
                                const StoredState& aState, TimePoint aNow,
                                UnixMillis aUnixNow) {
  const JobId id = aSpec.m_id;
  const auto known = aCell.m_jobs.find(id);
  // It has come back before this cell learned that it had arrived elsewhere.
  const bool hasComeBack = known != aCell.m_jobs.end() &&
                           known->second.m_moveCount < aState.m_moveCount;
  uint64_t versionBefore = 0;
  if (hasComeBack) {
    versionBefore = known->second.m_version;
    ForgetJob(aCell, known->second);
  } else if (known != aCell.m_jobs.end()) {
    return DurableVersion{id, known->second.m_specStored
                                  ? known->second.m_storedVersion
                                  : known->second.m_version};
  }
  const auto route = aCell.m_routes.find(id);
  if (route != aCell.m_routes.end()) {
    // It was here and has been moved on since.
    if (route->second.m_moveCount >= aState.m_moveCount) {
      return MakeError(ErrorKind::JobAlreadyEnded,
                       "the job has arrived before and was moved on");
    }
    RemoveRoute(aCell, id);
  }
  RestoreJob(aCell, std::move(aSpec), aState, aNow, aUnixNow);
  Job& job = aCell.m_jobs.at(id);
  job.m_specStored = false;
  job.m_storedVersion = 0;
  // A commit under way may have rows of the job as it was here before. What it
  // makes durable must not count as a version of the job as it is now.
  job.m_version = std::max(job.m_version, versionBefore + 1);
  MarkChanged(aCell, job);
  AddNewJob(aCell, job);
  aCell.m_capacityChanged = true;
  ++aCell.m_counts.m_jobsAdopted;
  return DurableVersion{id, job.m_version};
}

}  // namespace bronze::sched
