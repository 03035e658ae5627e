/**
 * @file worker_json.cpp JSON of the commands to a simulated worker and of its
 *                       report.
 */

#include "standin/worker_json.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace bronze {

using nlohmann::json;

namespace {

std::string TaskText(const TaskId& aTask) {
  return fmt::format("{:016x}/{}", aTask.m_job.Value(), aTask.m_index);
}

/** @return nothing unless the text is JOB/INDEX, JOB with 16 hex digits. */
std::optional<TaskId> ParseTask(std::string_view aText) {
  constexpr size_t kJobDigits = 16;
  if (aText.size() < kJobDigits + 2 || aText[kJobDigits] != '/') {
    return std::nullopt;
  }
  uint64_t job = 0;
  uint32_t index = 0;
  const char* const slash = aText.data() + kJobDigits;
  const char* const end = aText.data() + aText.size();
  if (std::from_chars(aText.data(), slash, job, 16).ptr != slash ||
      std::from_chars(slash + 1, end, index).ptr != end) {
    return std::nullopt;
  }
  return TaskId{JobId(job), index};
}

/** Thrown for a malformed task id; caught in this file. */
struct MalformedTaskId {};

TaskRef TaskRefOf(const json& aJson) {
  const auto task = ParseTask(aJson.at("task").get_ref<const std::string&>());
  if (!task) throw MalformedTaskId();
  return {*task, FencingToken(aJson.at("token").get<uint64_t>())};
}

std::vector<TaskRef> TaskRefsOf(const json& aJson, const char* aMember) {
  std::vector<TaskRef> tasks;
  for (const json& item : aJson.value(aMember, json::array())) {
    tasks.push_back(TaskRefOf(item));
  }
  return tasks;
}

/** @return the result of aDecode for the parsed text, or a BadRequest error. */
template <class T, class Decode>
Result<T> DecodeWith(std::string_view aText, Decode aDecode) {
  try {
    const json parsed = json::parse(aText);
    return aDecode(parsed);
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadRequest,
                     std::string("malformed body: ") + error.what());
  } catch (const MalformedTaskId&) {
    return MakeError(
        ErrorKind::BadRequest,
        "a task id must be JOB/INDEX, where JOB has 16 hexadecimal "
        "digits");
  }
}

std::string TextOf(const json& aJson, const char* aMember) {
  const auto found = aJson.find(aMember);
  return found == aJson.end() || found->is_null() ? std::string()
                                                  : found->get<std::string>();
}

const char* StateName(WorkerTaskState aState) {
  switch (aState) {
    case WorkerTaskState::Running:
      return "running";
    case WorkerTaskState::Finished:
      return "finished";
    case WorkerTaskState::Failed:
      return "failed";
    case WorkerTaskState::Stopped:
      return "stopped";
    case WorkerTaskState::Checkpointed:
      return "checkpointed";
  }
  return "running";
}

}  // namespace

Result<WorkerStart> DecodeStart(std::string_view aText) {
  return DecodeWith<WorkerStart>(aText, [](const json& aJson) {
    const TaskRef task = TaskRefOf(aJson);
    WorkerStart start;
    start.m_task = task.m_task;
    start.m_token = task.m_token;
    start.m_kind = KindId(aJson.at("kind").get<std::string>());
    start.m_resources = {Millicores(aJson.at("cores").get<int64_t>()),
                         Mebibytes(aJson.at("memory").get<int64_t>()),
                         Accelerators(aJson.value("accelerators", int64_t{0}))};
    start.m_lease = milliseconds(aJson.at("lease_ms").get<int64_t>());
    start.m_input = ObjectName(TextOf(aJson, "input"));
    start.m_checkpoint = ObjectName(TextOf(aJson, "checkpoint"));
    return start;
  });
}

Result<TaskRef> DecodeTaskRef(std::string_view aText) {
  return DecodeWith<TaskRef>(aText, TaskRefOf);
}

Result<ThrottleCommand> DecodeThrottle(std::string_view aText) {
  return DecodeWith<ThrottleCommand>(aText, [](const json& aJson) {
    return ThrottleCommand{TaskRefOf(aJson),
                           Millicores(aJson.at("cores").get<int64_t>())};
  });
}

Result<LeaseRenewal> DecodeLease(std::string_view aText) {
  return DecodeWith<LeaseRenewal>(aText, [](const json& aJson) {
    return LeaseRenewal{TaskRefsOf(aJson, "tasks"), TaskRefsOf(aJson, "forget"),
                        milliseconds(aJson.at("lease_ms").get<int64_t>())};
  });
}

std::string EncodeState(std::optional<WorkerTaskState> aState) {
  if (!aState) return json{{"state", "unknown"}}.dump();
  const bool ended = *aState == WorkerTaskState::Finished ||
                     *aState == WorkerTaskState::Failed;
  return json{{"state", ended ? StateName(*aState) : "stopped"}}.dump();
}

std::string EncodeCheckpointed(const WorkerRun& aRun) {
  if (aRun.m_state == WorkerTaskState::Finished ||
      aRun.m_state == WorkerTaskState::Failed) {
    return EncodeState(aRun.m_state);
  }
  return json{{"checkpoint", aRun.m_checkpoint.Value()}}.dump();
}

std::string EncodeUnknown(const std::vector<TaskId>& aTasks) {
  json list = json::array();
  for (const TaskId& task : aTasks) list.push_back(TaskText(task));
  return json{{"unknown", std::move(list)}}.dump();
}

std::string EncodeReport(const WorkerReport& aReport) {
  json tasks = json::array();
  for (const WorkerTaskReport& task : aReport.m_tasks) {
    tasks.push_back({{"task", TaskText(task.m_task)},
                     {"token", task.m_token.Value()},
                     {"state", StateName(task.m_state)},
                     {"cores", task.m_usage.m_cores.Value()},
                     {"memory", task.m_usage.m_memory.Value()},
                     {"accelerators", task.m_usage.m_accelerators.Value()},
                     {"checkpoint", task.m_checkpoint.Value()},
                     {"message", task.m_message}});
  }
  json slowdowns = json::object();
  for (const auto& [kind, factor] : aReport.m_slowdowns) {
    slowdowns[kind.Value()] = factor;
  }
  return json{{"worker", aReport.m_worker.Value()},
              {"tasks", std::move(tasks)},
              {"slowdowns", std::move(slowdowns)}}
      .dump();
}

}  // namespace bronze
