/**
 * @file platform_type.h Data exchanged with the platform, as plain structs.
 */

#ifndef BRONZE_CORE_MESSAGE_PLATFORM_TYPE_H_
#define BRONZE_CORE_MESSAGE_PLATFORM_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze {

enum class VmRole : uint8_t { Entry, Worker, Runner };

/** Leaving: gets no new work. Gone: never returns under the same id. */
enum class VmState : uint8_t { Live, Leaving, Gone };

/** One row of the platform's list of VMs. */
struct VmInfo {
  std::string m_id;
  VmRole m_role = VmRole::Worker;
  VmState m_state = VmState::Live;
  std::string m_address;      ///< IP:PORT; the peer address of an entry VM.
  std::string m_httpAddress;  ///< IP:PORT for operators; entry VMs only.
  DataCentreId m_dataCentre;
  RackId m_rack;          ///< Workers only.
  Resources m_resources;  ///< Workers only.
  Slots m_slots;          ///< Runners only.
};

/** One row of the table service. */
struct TableRow {
  std::string m_key;
  std::string m_value;
  RowVersion m_version;
};

/** A condition of a transaction. Version 0: the row must not exist. */
struct TableCheck {
  std::string m_key;
  RowVersion m_version;
};

/** A write of a transaction. No value: the row is deleted. */
struct TableWrite {
  std::string m_key;
  std::optional<std::string> m_value;
};

/** Takes effect as a whole if all checks pass, or not at all. */
struct TableTransaction {
  std::vector<TableCheck> m_checks;
  std::vector<TableWrite> m_writes;
};

/** The table service's answer to a transaction. */
struct TableCommitResult {
  bool m_committed = false;
  RowVersion m_version;  ///< Version of all written rows, when committed.
  std::vector<std::string> m_conflicts;  ///< Keys whose check failed.
};

/** Command to a worker to start a task or to resume it from a checkpoint. */
struct WorkerStart {
  TaskId m_task;
  FencingToken m_token;
  KindId m_kind;
  Resources m_resources;
  Duration m_lease = Duration::zero();
  ObjectName m_input;
  ObjectName m_checkpoint;  ///< Invalid: the task starts from the beginning.
};

enum class WorkerTaskState : uint8_t {
  Running,
  Finished,
  Failed,
  Stopped,       ///< By command, or because the lease expired.
  Checkpointed,  ///< Stopped after a checkpoint.
};

/** One task in a worker's report. */
struct WorkerTaskReport {
  TaskId m_task;
  FencingToken m_token;
  WorkerTaskState m_state = WorkerTaskState::Running;
  Resources m_usage;        ///< Measured; may be out of date.
  ObjectName m_checkpoint;  ///< The last complete one, if any.
  std::string m_message;    ///< Why it failed.
};

/** A worker's report of its tasks. It may be out of date when it arrives. */
struct WorkerReport {
  WorkerId m_worker;
  std::vector<WorkerTaskReport> m_tasks;
  /** Slowdown factor of each kind of service on the worker; 1.0: none. */
  std::vector<std::pair<KindId, double>> m_slowdowns;
};

}  // namespace bronze

#endif  // BRONZE_CORE_MESSAGE_PLATFORM_TYPE_H_
