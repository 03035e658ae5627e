/**
 * @file worker_run.cpp Progress of tasks over time on a simulated worker.
 */

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "standin/fault_func.h"
#include "standin/invariant_func.h"
#include "standin/worker_internal.h"

namespace bronze {

namespace {

const TaskKind& KindOf(const StandinState& aState, const KindId& aKind) {
  static const TaskKind kDefault;
  const auto found = aState.m_settings.m_taskKinds.find(aKind);
  return found == aState.m_settings.m_taskKinds.end() ? kDefault
                                                      : found->second;
}

double SpeedOf(const WorkerRun& aRun) {
  if (aRun.m_coreLimit >= aRun.m_unthrottledUse.m_cores) return 1.0;
  return static_cast<double>(aRun.m_coreLimit.Value()) /
         static_cast<double>(aRun.m_unthrottledUse.m_cores.Value());
}

TimePoint FinishTime(const WorkerRun& aRun) {
  const auto left =
      std::max(aRun.m_totalWork - aRun.m_workDone, Duration::zero());
  return aRun.m_workDoneAt +
         Duration(static_cast<int64_t>(static_cast<double>(left.count()) /
                                       SpeedOf(aRun)));
}

template <class Unit>
Unit Scaled(Unit aAmount, double aFactor) {
  return Unit(
      static_cast<int64_t>(static_cast<double>(aAmount.Value()) * aFactor));
}

Duration ReadProgress(const StandinState& aState, const ObjectName& aName) {
  const auto found = aState.m_objects.find(aName.Value());
  if (found == aState.m_objects.end()) return Duration::zero();
  int64_t done = 0;
  const std::string& text = found->second;
  std::from_chars(text.data(), text.data() + text.size(), done);
  return Duration(done);
}

}  // namespace

WorkerRun MakeRun(StandinState& aState, const WorkerState& aWorker,
                  const WorkerStart& aStart, TimePoint aNow) {
  const TaskKind& kind = KindOf(aState, aStart.m_kind);
  const std::string& vm = aWorker.m_id.Value();
  // Seeded by task, so that a resumed task keeps its run time.
  std::seed_seq seed{aState.m_seed, aStart.m_task.m_job.Value(),
                     uint64_t{aStart.m_task.m_index}};
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<Duration::rep> between(
      kind.m_minRunTime.count(), kind.m_maxRunTime.count());
  WorkerRun run;
  run.m_token = aStart.m_token;
  run.m_kind = aStart.m_kind;
  run.m_declared = aStart.m_resources;
  run.m_totalWork = Duration(between(random));
  if (std::bernoulli_distribution(kind.m_stragglerShare)(random)) {
    run.m_totalWork = Duration(static_cast<int64_t>(
        static_cast<double>(run.m_totalWork.count()) * kind.m_stragglerFactor));
  }
  double use = kind.m_useFactor;
  const Fault* const wrong =
      FindFault(aState.m_faults, FaultKind::WrongSizes, vm);
  if (wrong != nullptr && Occurs(aState, *wrong)) use *= wrong->m_factor;
  run.m_unthrottledUse = {Scaled(aStart.m_resources.m_cores, use),
                          Scaled(aStart.m_resources.m_memory, use),
                          aStart.m_resources.m_accelerators};
  run.m_coreLimit = run.m_unthrottledUse.m_cores;
  run.m_startedAt = aNow;
  run.m_leaseEnd = aNow + aStart.m_lease;
  run.m_workDoneAt = aNow;
  run.m_checkpoint = aStart.m_checkpoint;
  run.m_workDone = ReadProgress(aState, aStart.m_checkpoint);
  run.m_checkpointInterval = kind.m_checkpointInterval;
  run.m_nextCheckpoint = aNow + kind.m_checkpointInterval;
  const Fault* const failing =
      FindFault(aState.m_faults, FaultKind::WorkerFailing, vm);
  if (failing != nullptr && Occurs(aState, *failing)) {
    run.m_willFail = true;
    run.m_workDone = Duration::zero();
    run.m_totalWork = aState.m_settings.m_failAfter;
  }
  return run;
}

void UpdateWorkDone(WorkerRun& aRun, TimePoint aNow) {
  const auto elapsed = static_cast<double>((aNow - aRun.m_workDoneAt).count());
  aRun.m_workDone += Duration(static_cast<int64_t>(elapsed * SpeedOf(aRun)));
  aRun.m_workDoneAt = aNow;
}

void EndRun(StandinState& aState, WorkerState& aWorker, const TaskId& aTask,
            WorkerTaskState aEnd, TimePoint aNow) {
  WorkerRun& run = aWorker.m_runs.at(aTask);
  if (run.m_state != WorkerTaskState::Running) return;
  run.m_state = aEnd;
  run.m_endedAt = aNow;
  if (aEnd == WorkerTaskState::Failed) ++aState.m_invariants.m_tasksFailed;
  NoteTaskEnd(aState.m_invariants, aTask, aWorker.m_id,
              aEnd == WorkerTaskState::Finished);
}

bool WriteCheckpoint(StandinState& aState, const WorkerState& aWorker,
                     const TaskId& aTask, WorkerRun& aRun, TimePoint aNow) {
  if (IsFaulty(aState.m_faults, FaultKind::ObjectsDown, aWorker.m_id.Value())) {
    return false;
  }
  UpdateWorkDone(aRun, aNow);
  // The token in the name keeps a run whose lease has ended from overwriting
  // the checkpoint of its successor.
  const std::string name =
      fmt::format("checkpoint/{:016x}/{}/{}", aTask.m_job.Value(),
                  aTask.m_index, aRun.m_token.Value());
  aState.m_objects[name] = fmt::format("{}", aRun.m_workDone.count());
  ++aState.m_invariants.m_objectWrites;
  aRun.m_checkpoint = ObjectName(name);
  return true;
}

void AdvanceWorker(StandinState& aState, WorkerState& aWorker, TimePoint aNow) {
  for (auto& [task, run] : aWorker.m_runs) {
    while (run.m_state == WorkerTaskState::Running) {
      const TimePoint finish = FinishTime(run);
      const TimePoint next =
          std::min({finish, run.m_leaseEnd, run.m_nextCheckpoint});
      if (next > aNow) break;
      if (next == run.m_leaseEnd) {
        run.m_message = "lease lapsed";
        ++aState.m_invariants.m_leasesLapsed;
        EndRun(aState, aWorker, task, WorkerTaskState::Stopped, next);
      } else if (next == finish) {
        if (run.m_willFail) run.m_message = "injected fault worker_failing";
        EndRun(aState, aWorker, task,
               run.m_willFail ? WorkerTaskState::Failed
                              : WorkerTaskState::Finished,
               next);
      } else {
        // If the object store is down, the task keeps its last checkpoint.
        (void)WriteCheckpoint(aState, aWorker, task, run, next);
        run.m_nextCheckpoint = next + run.m_checkpointInterval;
      }
    }
  }
}

std::optional<TimePoint> NextWorkerEvent(const WorkerState& aWorker) {
  std::optional<TimePoint> next;
  for (const auto& [task, run] : aWorker.m_runs) {
    if (run.m_state != WorkerTaskState::Running) continue;
    const TimePoint event =
        std::min({FinishTime(run), run.m_leaseEnd, run.m_nextCheckpoint});
    next = next ? std::min(*next, event) : event;
  }
  return next;
}

void CrashWorker(StandinState& aState, WorkerState& aWorker, TimePoint aNow) {
  AdvanceWorker(aState, aWorker, aNow);
  for (auto& [task, run] : aWorker.m_runs) {
    if (run.m_state == WorkerTaskState::Finished) {
      NoteResultLost(aState.m_invariants, task);
    }
    EndRun(aState, aWorker, task, WorkerTaskState::Stopped, aNow);
  }
  aWorker.m_runs.clear();
  aWorker.m_highestTokens.clear();
  aWorker.m_stoppedTokens.clear();
  aWorker.m_crashed = true;
}

void LapseLeases(StandinState& aState, WorkerState& aWorker, TimePoint aNow) {
  for (auto& [task, run] : aWorker.m_runs) {
    run.m_leaseEnd = std::min(run.m_leaseEnd, aNow);
  }
  AdvanceWorker(aState, aWorker, aNow);
}

}  // namespace bronze
