/**
 * @file worker_json.h JSON of the commands to a simulated worker and of its
 *                     report.
 */

#ifndef BRONZE_STANDIN_WORKER_JSON_H_
#define BRONZE_STANDIN_WORKER_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "standin/worker_func.h"

namespace bronze {

struct LeaseRenewal {
  std::vector<TaskRef> m_tasks;
  std::vector<TaskRef> m_forget;  ///< Ended tasks to drop from reports.
  Duration m_lease = Duration::zero();
};

struct ThrottleCommand {
  TaskRef m_task;
  Millicores m_cores;
};

[[nodiscard]] Result<WorkerStart> DecodeStart(std::string_view aText);
[[nodiscard]] Result<TaskRef> DecodeTaskRef(std::string_view aText);
[[nodiscard]] Result<ThrottleCommand> DecodeThrottle(std::string_view aText);
[[nodiscard]] Result<LeaseRenewal> DecodeLease(std::string_view aText);
[[nodiscard]] std::string EncodeState(std::optional<WorkerTaskState> aState);
[[nodiscard]] std::string EncodeCheckpointed(const WorkerRun& aRun);
[[nodiscard]] std::string EncodeUnknown(const std::vector<TaskId>& aTasks);
[[nodiscard]] std::string EncodeReport(const WorkerReport& aReport);

}  // namespace bronze

#endif  // BRONZE_STANDIN_WORKER_JSON_H_
