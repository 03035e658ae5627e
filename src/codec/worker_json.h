/**
 * @file worker_json.h JSON form of calls to workers and of their answers.
 *
 * docs/API.md describes the calls. Their decoders are for programs that stand
 * in for a worker.
 */

#ifndef BRONZE_CODEC_WORKER_JSON_H_
#define BRONZE_CODEC_WORKER_JSON_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/error/error_type.h"
#include "core/message/platform_type.h"

namespace bronze {

/** A task and its fencing token: the body of /tasks/stop, /tasks/checkpoint. */
using TaskWithToken = std::pair<TaskId, FencingToken>;

struct WorkerThrottle {
  TaskWithToken m_task;
  Millicores m_cores;
};

struct WorkerLeaseCall {
  VmId m_holder;
  Epoch m_epoch;
  Duration m_lease = Duration::zero();
  std::vector<TaskWithToken> m_tasks;
  std::vector<TaskWithToken> m_forget;
};

/** Answer to /tasks/stop and /tasks/checkpoint. */
enum class WorkerStopState : uint8_t { Unknown, Stopped, Finished, Failed };

struct WorkerStopAnswer {
  WorkerStopState m_state = WorkerStopState::Unknown;
  ObjectName m_checkpoint;  ///< Valid if a checkpoint was written.
};

[[nodiscard]] std::string EncodeWorkerStart(const WorkerStart& aCall);
[[nodiscard]] Result<WorkerStart> DecodeWorkerStart(std::string_view aText);

[[nodiscard]] std::string EncodeTaskWithToken(const TaskWithToken& aCall);
[[nodiscard]] Result<TaskWithToken> DecodeTaskWithToken(std::string_view aText);

[[nodiscard]] std::string EncodeWorkerThrottle(const WorkerThrottle& aCall);
[[nodiscard]] Result<WorkerThrottle> DecodeWorkerThrottle(
    std::string_view aText);

[[nodiscard]] std::string EncodeWorkerLease(const WorkerLeaseCall& aCall);
[[nodiscard]] Result<WorkerLeaseCall> DecodeWorkerLease(std::string_view aText);

[[nodiscard]] std::string EncodeStopAnswer(const WorkerStopAnswer& aAnswer);
[[nodiscard]] Result<WorkerStopAnswer> DecodeStopAnswer(std::string_view aText);

/** @param aUnknown tasks of the lease call that the worker does not run. */
[[nodiscard]] std::string EncodeLeaseAnswer(
    const std::vector<TaskId>& aUnknown);
[[nodiscard]] Result<std::vector<TaskId>> DecodeLeaseAnswer(
    std::string_view aText);

[[nodiscard]] std::string EncodeWorkerReport(const WorkerReport& aReport);
[[nodiscard]] Result<WorkerReport> DecodeWorkerReport(std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_CODEC_WORKER_JSON_H_
