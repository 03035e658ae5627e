/**
 * @file batch_json.cpp JSON form of the stored rows of batch jobs and tasks,
 * and of the calls on jobs.
 */

#include "codec/batch_json.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "core/batch/row_key_func.h"

namespace bronze {

using nlohmann::json;

// A text that is not in the list decodes to the first entry. Encoders write
// only texts of the list; DecodeJobFilter() rejects others.
NLOHMANN_JSON_SERIALIZE_ENUM(TaskState, {{TaskState::Queued, "queued"},
                                         {TaskState::Starting, "starting"},
                                         {TaskState::Running, "running"},
                                         {TaskState::Evicting, "evicting"},
                                         {TaskState::Finished, "finished"},
                                         {TaskState::Failed, "failed"},
                                         {TaskState::Cancelled, "cancelled"}})
NLOHMANN_JSON_SERIALIZE_ENUM(JobState, {{JobState::Queued, "queued"},
                                        {JobState::Running, "running"},
                                        {JobState::Finished, "finished"},
                                        {JobState::Failed, "failed"},
                                        {JobState::Cancelled, "cancelled"}})

namespace {

constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxListedJobs = 10000;

template <class Id>
void PutName(json& aJson, const char* aKey, const Id& aId) {
  if (aId.IsValid()) aJson[aKey] = aId.Value();
}

void PutText(json& aJson, const char* aKey, const std::string& aText) {
  if (!aText.empty()) aJson[aKey] = aText;
}

template <class Number>
void PutNumber(json& aJson, const char* aKey, Number aNumber) {
  if (aNumber != 0) aJson[aKey] = aNumber;
}

/** [cores, memory, accelerators] */
void PutResources(json& aJson, const char* aKey, const Resources& aAmount) {
  if (aAmount == Resources{}) return;
  aJson[aKey] = {aAmount.m_cores.Value(), aAmount.m_memory.Value(),
                 aAmount.m_accelerators.Value()};
}

template <class Id>
Id GetName(const json& aJson, const char* aKey) {
  return Id(aJson.value(aKey, std::string()));
}

Resources GetResources(const json& aJson, const char* aKey) {
  const auto found = aJson.find(aKey);
  if (found == aJson.end()) return {};
  return {Millicores(found->at(0).get<int64_t>()),
          Mebibytes(found->at(1).get<int64_t>()),
          Accelerators(found->at(2).get<int64_t>())};
}

void PutSpec(json& aJson, const TaskSpec& aSpec) {
  PutName(aJson, "t", aSpec.m_team);
  PutName(aJson, "k", aSpec.m_kind);
  PutResources(aJson, "r", aSpec.m_resources);
  PutNumber(aJson, "p", aSpec.m_priority);
  if (aSpec.m_urgent) aJson["u"] = true;
  PutName(aJson, "i", aSpec.m_input);
}

TaskSpec GetSpec(const json& aJson) {
  TaskSpec spec;
  spec.m_team = GetName<TeamId>(aJson, "t");
  spec.m_kind = GetName<KindId>(aJson, "k");
  spec.m_resources = GetResources(aJson, "r");
  spec.m_priority = aJson.value("p", int32_t{0});
  spec.m_urgent = aJson.value("u", false);
  spec.m_input = GetName<ObjectName>(aJson, "i");
  return spec;
}

json PutTask(const TaskRow& aRow) {
  json out = {{"s", static_cast<int>(aRow.m_state)},
              {"n", aRow.m_token.Value()}};
  PutName(out, "w", aRow.m_worker);
  PutName(out, "q", aRow.m_rack);
  PutResources(out, "h", aRow.m_reserved);
  PutNumber(out, "a", aRow.m_attempts);
  PutName(out, "f", aRow.m_failedOn);
  PutName(out, "c", aRow.m_checkpoint);
  PutResources(out, "x", aRow.m_measured);
  PutText(out, "m", aRow.m_message);
  return out;
}

TaskRow GetTask(const json& aJson) {
  TaskRow row;
  const int state = aJson.at("s").get<int>();
  if (state < 0 || state > static_cast<int>(TaskState::Cancelled)) {
    throw json::other_error::create(501, "unknown task state", &aJson);
  }
  row.m_state = static_cast<TaskState>(state);
  row.m_token = FencingToken(aJson.at("n").get<uint64_t>());
  row.m_worker = GetName<WorkerId>(aJson, "w");
  row.m_rack = GetName<RackId>(aJson, "q");
  row.m_reserved = GetResources(aJson, "h");
  row.m_attempts = aJson.value("a", int32_t{0});
  row.m_failedOn = GetName<WorkerId>(aJson, "f");
  row.m_checkpoint = GetName<ObjectName>(aJson, "c");
  row.m_measured = GetResources(aJson, "x");
  row.m_message = aJson.value("m", std::string());
  return row;
}

Error Malformed(std::string_view aWhat, const json::exception& aError) {
  return MakeError(ErrorKind::BadRequest,
                   "malformed " + std::string(aWhat) + ": " + aError.what());
}

Error BadKey(const std::string& aKey) {
  return MakeError(ErrorKind::BadRequest, "row has an unexpected key: " + aKey);
}

/** Replaces invalid UTF-8, as the message of a task may hold any bytes. */
std::string Dump(const json& aJson) {
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

json PutView(const JobView& aView) {
  return {{"job", JobText(aView.m_job)},      {"team", aView.m_team.Value()},
          {"kind", aView.m_kind.Value()},     {"state", aView.m_state},
          {"tasks", aView.m_tasks},           {"queued", aView.m_queued},
          {"running", aView.m_running},       {"finished", aView.m_finished},
          {"failed", aView.m_failed},         {"cancelled", aView.m_cancelled},
          {"waiting_for", aView.m_waitingFor}};
}

template <class Id>
Id BoundedName(const json& aJson, const char* aKey, bool aRequired) {
  const std::string text = aRequired ? aJson.at(aKey).get<std::string>()
                                     : aJson.value(aKey, std::string());
  if (text.size() > kMaxNameBytes) {
    throw json::other_error::create(501, "a name is longer than 256 bytes",
                                    &aJson);
  }
  return Id(text);
}

}  // namespace

std::string EncodeJobRow(const JobRow& aRow) {
  json out = json::object();
  PutSpec(out, aRow.m_spec);
  out["n"] = aRow.m_tasks;
  PutText(out, "d", aRow.m_submissionId);
  if (aRow.m_cancelled) out["c"] = true;
  return Dump(out);
}

Result<JobRow> DecodeJobRow(std::string_view aText) {
  try {
    const json parsed = json::parse(aText);
    JobRow row;
    row.m_spec = GetSpec(parsed);
    row.m_tasks = parsed.at("n").get<uint32_t>();
    row.m_submissionId = parsed.value("d", std::string());
    row.m_cancelled = parsed.value("c", false);
    return row;
  } catch (const json::exception& error) {
    return Malformed("job row", error);
  }
}

std::string EncodeTaskRow(const TaskRow& aRow) { return Dump(PutTask(aRow)); }

Result<TaskRow> DecodeTaskRow(std::string_view aText) {
  try {
    return GetTask(json::parse(aText));
  } catch (const json::exception& error) {
    return Malformed("task row", error);
  }
}

std::string EncodeRackRow(const TaskRow& aRow, const TaskSpec& aSpec) {
  json out = PutTask(aRow);
  json spec = json::object();
  PutSpec(spec, aSpec);
  out["j"] = std::move(spec);
  return Dump(out);
}

Result<JobRecord> DecodeJobRecord(const TableRow& aRow) {
  const auto job = JobOfKey(aRow.m_key);
  if (!job) return BadKey(aRow.m_key);
  auto row = DecodeJobRow(aRow.m_value);
  if (!row) return row.error();
  return JobRecord{*job, std::move(row.value()), aRow.m_version};
}

Result<TaskRecord> DecodeTaskRecord(const TableRow& aRow) {
  const auto task = TaskOfKey(aRow.m_key);
  if (!task) return BadKey(aRow.m_key);
  auto row = DecodeTaskRow(aRow.m_value);
  if (!row) return row.error();
  return TaskRecord{*task, std::move(row.value()), aRow.m_version};
}

Result<RackRecord> DecodeRackRecord(const TableRow& aRow) {
  const auto task = TaskOfKey(aRow.m_key);
  if (!task) return BadKey(aRow.m_key);
  try {
    const json parsed = json::parse(aRow.m_value);
    return RackRecord{*task, GetTask(parsed), GetSpec(parsed.at("j")),
                      aRow.m_version};
  } catch (const json::exception& error) {
    return Malformed("rack row of a task", error);
  }
}

TableChange EncodeChange(const SubmitChange& aChange) {
  TableChange change;
  change.m_id = aChange.m_id;
  change.m_priority = aChange.m_priority;
  change.m_unit = aChange.m_unit;
  for (const JobWrite& write : aChange.m_jobs) {
    const std::string key = JobKey(write.m_job);
    change.m_checks.push_back({key, write.m_check});
    change.m_writes.push_back(
        {key, write.m_row ? std::optional(EncodeJobRow(*write.m_row))
                          : std::nullopt});
  }
  for (const TaskWrite& write : aChange.m_tasks) {
    const std::string key = TaskKey(write.m_task);
    change.m_checks.push_back({key, write.m_check});
    if (write.m_leavesRack.IsValid()) {
      change.m_writes.push_back(
          {RackTaskKey(write.m_leavesRack, write.m_task), std::nullopt});
    }
    if (!write.m_row) {
      change.m_writes.push_back({key, std::nullopt});
      continue;
    }
    change.m_writes.push_back({key, EncodeTaskRow(*write.m_row)});
    if (write.m_row->m_rack.IsValid()) {
      change.m_writes.push_back({RackTaskKey(write.m_row->m_rack, write.m_task),
                                 EncodeRackRow(*write.m_row, write.m_spec)});
    }
  }
  return change;
}

Result<JobRow> DecodeSubmission(std::string_view aText) {
  try {
    const json parsed = json::parse(aText);
    JobRow row;
    TaskSpec& spec = row.m_spec;
    spec.m_team = BoundedName<TeamId>(parsed, "team", true);
    spec.m_kind = BoundedName<KindId>(parsed, "kind", true);
    spec.m_resources = {Millicores(parsed.at("cores").get<int64_t>()),
                        Mebibytes(parsed.at("memory").get<int64_t>()),
                        Accelerators(parsed.value("accelerators", int64_t{0}))};
    spec.m_priority = parsed.value("priority", int32_t{0});
    spec.m_urgent = parsed.value("urgent", false);
    spec.m_input = BoundedName<ObjectName>(parsed, "input", false);
    row.m_submissionId =
        BoundedName<ObjectName>(parsed, "submission_id", false).Value();
    const int64_t tasks = parsed.value("tasks", int64_t{1});
    if (tasks < 1 || tasks > std::numeric_limits<uint32_t>::max()) {
      return MakeError(ErrorKind::BadJob, "tasks must be from 1 to 4294967295");
    }
    row.m_tasks = static_cast<uint32_t>(tasks);
    return row;
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadJob,
                     std::string("malformed job: ") + error.what());
  }
}

Result<JobFilter> DecodeJobFilter(std::string_view aTeam,
                                  std::string_view aState,
                                  std::string_view aLimit) {
  JobFilter filter;
  filter.m_team = TeamId(std::string(aTeam));
  if (!aState.empty()) {
    const json text = std::string(aState);
    const auto state = text.get<JobState>();
    if (json(state) != text) {
      return MakeError(ErrorKind::BadRequest, "state is not a known job state");
    }
    filter.m_state = state;
  }
  if (!aLimit.empty()) {
    const char* end = aLimit.data() + aLimit.size();
    const auto parsed = std::from_chars(aLimit.data(), end, filter.m_limit);
    if (parsed.ec != std::errc() || parsed.ptr != end ||
        filter.m_limit > kMaxListedJobs) {
      return MakeError(ErrorKind::BadRequest,
                       "limit must be a whole number of at most 10000");
    }
  }
  return filter;
}

std::string EncodeJobState(const JobView& aView) {
  return Dump({{"job", JobText(aView.m_job)}, {"state", aView.m_state}});
}

std::string EncodeJob(const JobView& aView) {
  json out = PutView(aView);
  json list = json::array();
  for (const TaskView& task : aView.m_taskList) {
    list.push_back(
        {{"index", task.m_index},
         {"state", task.m_state},
         {"worker", task.m_worker.Value()},
         {"token", task.m_token.Value()},
         {"attempts", task.m_attempts},
         {"message", task.m_message},
         {"waiting_for", task.m_waitingFor},
         {"waiting_ms",
          std::chrono::duration_cast<milliseconds>(task.m_waiting).count()}});
  }
  out["task_list"] = std::move(list);
  return Dump(out);
}

std::string EncodeJobList(const std::vector<JobView>& aViews) {
  json list = json::array();
  for (const JobView& view : aViews) list.push_back(PutView(view));
  return Dump({{"jobs", std::move(list)}});
}

}  // namespace bronze
