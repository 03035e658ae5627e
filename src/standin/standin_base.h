/**
 * @file standin_base.h State of the stand-in, used only by its control thread.
 */

#ifndef BRONZE_STANDIN_STANDIN_BASE_H_
#define BRONZE_STANDIN_STANDIN_BASE_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/message/platform_type.h"
#include "standin/fault_type.h"
#include "standin/invariant_type.h"
#include "standin/settings_type.h"
#include "standin/table_func.h"
#include "standin/vm_registry.h"

namespace bronze {

/** A run of a task on a worker; kept after its end until a caller drops it. */
struct WorkerRun {
  FencingToken m_token;
  KindId m_kind;
  Resources m_declared;
  Resources m_unthrottledUse;  ///< Use of the task without a throttle.
  Millicores m_coreLimit;      ///< Cores that the throttle allows.
  TimePoint m_startedAt;
  TimePoint m_leaseEnd;
  Duration m_totalWork = Duration::zero();  ///< Run time at full speed.
  Duration m_workDone = Duration::zero();   ///< Part of m_totalWork done.
  TimePoint m_workDoneAt;  ///< Time up to which m_workDone is counted.
  Duration m_checkpointInterval = Duration::zero();
  TimePoint m_nextCheckpoint;
  ObjectName m_checkpoint;  ///< The latest one; not valid if there is none.
  bool m_willFail = false;  ///< Ends as failed once its work is done.
  WorkerTaskState m_state = WorkerTaskState::Running;
  TimePoint m_endedAt;
  std::string m_message;  ///< Reason of the end, for the report.
};

struct WorkerState {
  WorkerId m_id;
  Resources m_total;
  bool m_crashed = false;  ///< Does not accept connections.
  std::map<TaskId, WorkerRun> m_runs;
  std::map<TaskId, FencingToken> m_highestTokens;  ///< In any command seen.
  std::map<TaskId, FencingToken> m_stoppedTokens;  ///< No start up to these.
};

struct RunnerState {
  RunnerId m_id;
  Slots m_slots;
  Slots m_busy;
  bool m_crashed = false;
  WorkerId m_colocatedWorker;  ///< On the same machine, if any.
};

struct StandinState {
  StandinSettings m_settings;
  FaultState m_faults;
  Invariants m_invariants;
  TableStore m_table;
  std::map<std::string, std::string> m_objects;
  VmRegistry m_vms;
  std::map<WorkerId, WorkerState> m_workers;
  std::map<RunnerId, RunnerState> m_runners;
  uint64_t m_seed = 1;
  std::mt19937_64 m_random;
};

/** Decides at random whether the active fault affects the current call. */
[[nodiscard]] inline bool Occurs(StandinState& aState, const Fault& aFault) {
  return std::bernoulli_distribution(aFault.m_probability)(aState.m_random);
}

/** @return since when the VM list has shown the VM as leaving, if it does. */
[[nodiscard]] std::optional<TimePoint> ListedLeavingSince(
    const StandinState& aState, const std::string& aVm);

/** @return how old the VM list that callers get is at present. */
[[nodiscard]] Duration VmListLag(const StandinState& aState);

}  // namespace bronze

#endif  // BRONZE_STANDIN_STANDIN_BASE_H_
