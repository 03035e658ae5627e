/**
 * @file worker_json.cpp JSON form of calls to workers and of their answers.
 */

#include "codec/worker_json.h"

#include <nlohmann/json.hpp>

#include "core/batch/row_key_func.h"

namespace bronze {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(WorkerTaskState,
                             {{WorkerTaskState::Running, "running"},
                              {WorkerTaskState::Finished, "finished"},
                              {WorkerTaskState::Failed, "failed"},
                              {WorkerTaskState::Stopped, "stopped"},
                              {WorkerTaskState::Checkpointed, "checkpointed"}})
NLOHMANN_JSON_SERIALIZE_ENUM(WorkerStopState,
                             {{WorkerStopState::Unknown, "unknown"},
                              {WorkerStopState::Stopped, "stopped"},
                              {WorkerStopState::Finished, "finished"},
                              {WorkerStopState::Failed, "failed"}})

namespace {

int64_t ToMilliseconds(Duration aTime) {
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

TaskId GetTaskId(const json& aJson) {
  const auto id = ParseTaskId(aJson.get<std::string>());
  if (!id) throw json::other_error::create(501, "invalid task id", &aJson);
  return *id;
}

/** Rejects a text that the library would decode to the first enumerator. */
template <class Enum>
Enum GetEnum(const json& aJson) {
  const auto value = aJson.get<Enum>();
  if (json(value) != aJson) {
    throw json::other_error::create(501, "unknown state", &aJson);
  }
  return value;
}

json PutTask(const TaskWithToken& aTask) {
  return {{"task", TaskText(aTask.first)}, {"token", aTask.second.Value()}};
}

TaskWithToken GetTask(const json& aJson) {
  return {GetTaskId(aJson.at("task")),
          FencingToken(aJson.at("token").get<uint64_t>())};
}

void PutResources(json& aJson, const Resources& aAmount) {
  aJson["cores"] = aAmount.m_cores.Value();
  aJson["memory"] = aAmount.m_memory.Value();
  aJson["accelerators"] = aAmount.m_accelerators.Value();
}

Resources GetResources(const json& aJson) {
  return {Millicores(aJson.value("cores", int64_t{0})),
          Mebibytes(aJson.value("memory", int64_t{0})),
          Accelerators(aJson.value("accelerators", int64_t{0}))};
}

template <class Decoder>
auto Decode(std::string_view aText, const char* aWhat, Decoder aDecoder)
    -> Result<decltype(aDecoder(json()))> {
  try {
    return aDecoder(json::parse(aText));
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadRequest,
                     std::string("malformed ") + aWhat + ": " + error.what());
  }
}

/** Replaces invalid UTF-8, as the message of a task may hold any bytes. */
std::string Dump(const json& aJson) {
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string EncodeWorkerStart(const WorkerStart& aCall) {
  json out = PutTask({aCall.m_task, aCall.m_token});
  out["kind"] = aCall.m_kind.Value();
  PutResources(out, aCall.m_resources);
  out["lease_ms"] = ToMilliseconds(aCall.m_lease);
  out["input"] = aCall.m_input.Value();
  out["checkpoint"] = aCall.m_checkpoint.Value();
  return Dump(out);
}

Result<WorkerStart> DecodeWorkerStart(std::string_view aText) {
  return Decode(aText, "start call", [](const json& aJson) {
    WorkerStart call;
    std::tie(call.m_task, call.m_token) = GetTask(aJson);
    call.m_kind = KindId(aJson.at("kind").get<std::string>());
    call.m_resources = GetResources(aJson);
    call.m_lease = milliseconds(aJson.at("lease_ms").get<int64_t>());
    call.m_input = ObjectName(aJson.value("input", std::string()));
    call.m_checkpoint = ObjectName(aJson.value("checkpoint", std::string()));
    return call;
  });
}

std::string EncodeTaskWithToken(const TaskWithToken& aCall) {
  return Dump(PutTask(aCall));
}

Result<TaskWithToken> DecodeTaskWithToken(std::string_view aText) {
  return Decode(aText, "task and token", GetTask);
}

std::string EncodeWorkerThrottle(const WorkerThrottle& aCall) {
  json out = PutTask(aCall.m_task);
  out["cores"] = aCall.m_cores.Value();
  return Dump(out);
}

Result<WorkerThrottle> DecodeWorkerThrottle(std::string_view aText) {
  return Decode(aText, "throttle call", [](const json& aJson) {
    return WorkerThrottle{GetTask(aJson),
                          Millicores(aJson.at("cores").get<int64_t>())};
  });
}

std::string EncodeWorkerLease(const WorkerLeaseCall& aCall) {
  json out = {{"holder", aCall.m_holder.Value()},
              {"epoch", aCall.m_epoch.Value()},
              {"lease_ms", ToMilliseconds(aCall.m_lease)},
              {"tasks", json::array()},
              {"forget", json::array()}};
  for (const auto& task : aCall.m_tasks) out["tasks"].push_back(PutTask(task));
  for (const auto& task : aCall.m_forget) {
    out["forget"].push_back(PutTask(task));
  }
  return Dump(out);
}

Result<WorkerLeaseCall> DecodeWorkerLease(std::string_view aText) {
  return Decode(aText, "lease call", [](const json& aJson) {
    WorkerLeaseCall call;
    call.m_holder = VmId(aJson.at("holder").get<std::string>());
    call.m_epoch = Epoch(aJson.at("epoch").get<uint64_t>());
    call.m_lease = milliseconds(aJson.at("lease_ms").get<int64_t>());
    for (const json& task : aJson.at("tasks")) {
      call.m_tasks.push_back(GetTask(task));
    }
    for (const json& task : aJson.value("forget", json::array())) {
      call.m_forget.push_back(GetTask(task));
    }
    return call;
  });
}

std::string EncodeStopAnswer(const WorkerStopAnswer& aAnswer) {
  if (aAnswer.m_checkpoint.IsValid()) {
    return Dump({{"checkpoint", aAnswer.m_checkpoint.Value()}});
  }
  return Dump({{"state", aAnswer.m_state}});
}

Result<WorkerStopAnswer> DecodeStopAnswer(std::string_view aText) {
  return Decode(aText, "answer to a stop call", [](const json& aJson) {
    WorkerStopAnswer answer;
    answer.m_checkpoint = ObjectName(aJson.value("checkpoint", std::string()));
    answer.m_state = answer.m_checkpoint.IsValid()
                         ? WorkerStopState::Stopped
                         : GetEnum<WorkerStopState>(aJson.at("state"));
    return answer;
  });
}

std::string EncodeLeaseAnswer(const std::vector<TaskId>& aUnknown) {
  json list = json::array();
  for (const TaskId& task : aUnknown) list.push_back(TaskText(task));
  return Dump({{"unknown", std::move(list)}});
}

Result<std::vector<TaskId>> DecodeLeaseAnswer(std::string_view aText) {
  return Decode(aText, "answer to a lease call", [](const json& aJson) {
    std::vector<TaskId> unknown;
    for (const json& task : aJson.at("unknown")) {
      unknown.push_back(GetTaskId(task));
    }
    return unknown;
  });
}

std::string EncodeWorkerReport(const WorkerReport& aReport) {
  json out = {{"worker", aReport.m_worker.Value()},
              {"tasks", json::array()},
              {"slowdowns", json::object()}};
  for (const WorkerTaskReport& task : aReport.m_tasks) {
    json item = PutTask({task.m_task, task.m_token});
    item["state"] = task.m_state;
    PutResources(item, task.m_usage);
    item["checkpoint"] = task.m_checkpoint.Value();
    item["message"] = task.m_message;
    out["tasks"].push_back(std::move(item));
  }
  for (const auto& [kind, factor] : aReport.m_slowdowns) {
    out["slowdowns"][kind.Value()] = factor;
  }
  return Dump(out);
}

Result<WorkerReport> DecodeWorkerReport(std::string_view aText) {
  return Decode(aText, "worker report", [](const json& aJson) {
    WorkerReport report;
    report.m_worker = WorkerId(aJson.at("worker").get<std::string>());
    for (const json& item : aJson.at("tasks")) {
      WorkerTaskReport task;
      std::tie(task.m_task, task.m_token) = GetTask(item);
      task.m_state = GetEnum<WorkerTaskState>(item.at("state"));
      task.m_usage = GetResources(item);
      task.m_checkpoint = ObjectName(item.value("checkpoint", std::string()));
      task.m_message = item.value("message", std::string());
      report.m_tasks.push_back(std::move(task));
    }
    const json slowdowns = aJson.value("slowdowns", json::object());
    for (const auto& [kind, factor] : slowdowns.items()) {
      report.m_slowdowns.emplace_back(KindId(kind), factor.get<double>());
    }
    return report;
  });
}

}  // namespace bronze
