/**
 * @file wire_decode.cpp Decodes messages of callers, operators, runners and the
 * advice service.
 */

#include "platform/wire_decode.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include "net/address_func.h"
#include "platform/json_reader.h"
#include "platform/store_client.h"

namespace bronze {

namespace {

namespace json = boost::json;
using sched::EndKind;
using sched::JobSpec;
using sched::RunnerReport;
using sched::StepSpec;

constexpr int64_t kMaxCount = 1'000'000;
constexpr int64_t kMaxAmount = int64_t{1} << 40;
constexpr size_t kMaxPayloadBytes = 4000;
/** A job with more steps is larger than a row of the store. A step takes some
 *  20 times the memory of its text. */
constexpr size_t kMaxSteps = 16384;

Resources ReadResources(JsonReader& aReader) {
  return {Millicores(aReader.Integer("cpu", 0, 0, kMaxAmount)),
          Mebibytes(aReader.Integer("mem_mb", 0, 0, kMaxAmount)),
          Accelerators(aReader.Integer("gpu", 0, 0, kMaxAmount))};
}

Result<StepSpec> ReadStep(const json::value& aValue) {
  JsonReader reader(aValue);
  StepSpec step;
  step.m_count =
      static_cast<uint32_t>(reader.Integer("count", 0, 0, kMaxCount));
  step.m_need = ReadResources(reader);
  step.m_estimate =
      milliseconds(reader.Integer("estimate_ms", 0, 0, kMaxExact));
  step.m_requiredLabel = reader.Text("requires");
  step.m_affinityRack = reader.Text("affinity");
  step.m_image = reader.Text("image");
  step.m_antiAffinity =
      static_cast<uint32_t>(reader.Integer("anti_affinity", 0, 0, kMaxCount));
  step.m_mayMiss =
      static_cast<uint32_t>(reader.Integer("may_miss", 0, 0, kMaxCount));
  step.m_tailTarget =
      milliseconds(reader.Integer("target_ms", 0, 0, kMaxExact));
  step.m_savesProgress = reader.Flag("saves_progress");
  step.m_gang = reader.Flag("gang");
  step.m_sameRack = reader.Flag("same_rack");
  step.m_speculative = reader.Flag("speculative");
  step.m_longRunning = reader.Flag("long_running");
  step.m_bestEffort = reader.Flag("fills");
  if (const json::array* after = reader.List("after")) {
    for (const json::value& value : *after) {
      if (!value.is_int64() || value.get_int64() < 0) {
        reader.Fail("after contains something other than step numbers");
        break;
      }
      step.m_after.push_back(static_cast<uint32_t>(value.get_int64()));
    }
  }
  if (reader.Failed()) return MakeError(ErrorKind::BadJob, reader.Problem());
  return step;
}

}  // namespace

Result<JobSpec> DecodeJobBody(std::string_view aBody) {
  const auto body = ParseJson(aBody);
  if (!body) return body.error();
  JsonReader reader(body.value());
  JobSpec spec;
  spec.m_payload = reader.Text("spec");
  if (spec.m_payload.size() > kMaxPayloadBytes) reader.Fail("spec is too long");
  spec.m_maxRuns =
      static_cast<uint32_t>(reader.Integer("max_runs", 0, 0, kMaxCount));
  spec.m_startTime =
      sched::UnixMillis(reader.Integer("start_time_ms", 0, 0, kMaxExact));
  spec.m_intervalMs = reader.Integer("interval_ms", 0, 0, kMaxExact);
  reader.Require("steps");
  if (const json::array* steps = reader.List("steps")) {
    if (steps->size() > kMaxSteps) reader.Fail("too many steps");
    for (const json::value& value : *steps) {
      if (reader.Failed()) break;
      auto step = ReadStep(value);
      if (!step) return step.error();
      spec.m_steps.push_back(std::move(step.value()));
    }
  }
  if (reader.Failed()) return MakeError(ErrorKind::BadJob, reader.Problem());
  return spec;
}

namespace {

std::string LowerCase(std::string aText) {
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return aText;
}

Result<sched::QueueConfig> ReadQueue(const json::value& aValue) {
  JsonReader reader(aValue);
  sched::QueueConfig queue;
  for (const auto* name : {"name", "host", "path_prefix", "service"}) {
    reader.Require(name);
  }
  queue.m_id = sched::QueueId(reader.Text("name"));
  queue.m_host = LowerCase(reader.Text("host"));
  queue.m_pathPrefix = reader.Text("path_prefix");
  queue.m_policy.m_service = sched::ServiceId(reader.Text("service"));
  queue.m_policy.m_priority =
      static_cast<int>(reader.Integer("priority", 0, -1000, 1000));
  queue.m_policy.m_maxAttempts =
      static_cast<uint32_t>(reader.Integer("max_attempts", 1, 0, kMaxCount));
  queue.m_policy.m_maxAttempts = std::max(queue.m_policy.m_maxAttempts, 1U);
  queue.m_policy.m_stretch = reader.Number("stretch", 1.0);
  queue.m_policy.m_targetLatency =
      milliseconds(reader.Integer("target_latency_ms", 0, 0, kMaxExact));
  if (const json::value* advice = reader.Object("advice")) {
    JsonReader fields(*advice);
    sched::AdvicePolicy policy;
    policy.m_decision =
        milliseconds(fields.Integer("decision_ms", 0, 0, kMaxExact));
    policy.m_perRunner =
        milliseconds(fields.Integer("per_worker_ms", 0, 0, kMaxExact));
    policy.m_valid = milliseconds(fields.Integer("valid_ms", 0, 0, kMaxExact));
    if (fields.Failed()) reader.Fail(fields.Problem());
    queue.m_policy.m_advice = policy;
  }
  if (reader.Failed()) {
    return MakeError(ErrorKind::ConfigInvalid, reader.Problem());
  }
  return queue;
}

}  // namespace

Result<sched::LiveConfig> DecodeLiveConfig(
    std::string_view aBytes, std::vector<std::string>& aProblems) {
  const auto body = ParseJson(aBytes);
  if (!body) return body.error();
  JsonReader reader(body.value());
  sched::LiveConfig config;
  reader.Require("version");
  config.m_version = ConfigVersion(
      static_cast<uint64_t>(reader.Integer("version", 0, 0, kMaxExact)));
  const json::array* routes = reader.List("routes");
  const json::array* services = reader.List("services");
  if (reader.Failed()) {
    return MakeError(ErrorKind::ConfigInvalid, reader.Problem());
  }
  if (routes != nullptr) {
    for (const json::value& value : *routes) {
      auto queue = ReadQueue(value);
      if (queue) {
        queue.value().m_policy.m_configVersion = config.m_version;
        config.m_queues.push_back(std::move(queue.value()));
      } else {
        aProblems.push_back(queue.error().m_message);
      }
    }
  }
  if (services != nullptr) {
    for (const json::value& value : *services) {
      JsonReader service(value);
      sched::PoolConfig pool;
      pool.m_id = sched::ServiceId(service.Text("name"));
      pool.m_rejectsOverload = service.Flag("rejects_overload");
      if (service.Failed()) {
        aProblems.push_back(service.Problem());
      } else {
        config.m_pools.push_back(std::move(pool));
      }
    }
  }
  return config;
}

std::optional<DataCentreId> EvacuatedDataCentre(std::string_view aKey) {
  if (aKey.substr(0, kEvacuationPrefix.size()) != kEvacuationPrefix) return {};
  const std::string_view name = aKey.substr(kEvacuationPrefix.size());
  // Names become labels of metrics and parts of log lines.
  const bool isName =
      !name.empty() && std::all_of(name.begin(), name.end(), [](char aByte) {
        return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
               aByte == '-' || aByte == '_' || aByte == '.';
      });
  if (!isName) return {};
  return DataCentreId(std::string(name));
}

Result<sched::RunnerEntry> DecodeRunnerEntry(const std::string& aId,
                                             std::string_view aBytes) {
  const auto body = ParseJson(aBytes);
  if (!body) return body.error();
  JsonReader reader(body.value());
  // A runner writes all of these. An entry that lacks one is another writer's.
  for (const auto* name :
       {"service", "address", "zone", "version", "slots", "state",
        "cold_left_ms", "sequence", "capacity", "labels"}) {
    reader.Require(name);
  }
  // Not used, but of another type in another writer's entry.
  (void)reader.Text("version");
  (void)reader.Integer("slots", 0, 0, kMaxExact);
  (void)reader.Integer("sequence", 0, 0, kMaxExact);
  sched::RunnerEntry entry;
  entry.m_id = RunnerId(aId);
  entry.m_service = sched::ServiceId(reader.Text("service"));
  entry.m_address = reader.Text("address");
  const auto address = ParseAddress(entry.m_address);
  if (!address || address.value().port() == 0) {
    reader.Fail("address is not an IP:PORT address");
  }
  entry.m_dataCentre = DataCentreId(reader.Text("zone"));
  const std::string state = reader.Text("state");
  if (state != "ready" && state != "draining") reader.Fail("unknown state");
  entry.m_draining = state == "draining";
  entry.m_startedAt =
      sched::UnixMillis(reader.Integer("born", 0, 0, kMaxExact));
  entry.m_coldLeft =
      milliseconds(reader.Integer("cold_left_ms", 0, 0, kMaxExact));
  if (const json::value* capacity = reader.Object("capacity")) {
    JsonReader amounts(*capacity);
    entry.m_capacity = ReadResources(amounts);
    if (amounts.Failed()) reader.Fail(amounts.Problem());
  }
  if (const json::array* labels = reader.List("labels")) {
    for (const json::value& label : *labels) {
      if (!label.is_string()) {
        reader.Fail("a label is not a string");
        break;
      }
      entry.m_labels.emplace_back(label.get_string().c_str());
    }
  }
  if (reader.Failed()) {
    return MakeError(ErrorKind::PeerMalformed, reader.Problem());
  }
  return entry;
}

namespace {

/** @return the number at aAt; 0 if there is none or if it is not between 0 and
 *          kMaxExact. A conversion of a larger one would be undefined. */
int64_t RowInteger(const json::array& aRow, size_t aAt) {
  if (aAt >= aRow.size()) return 0;
  json::error_code error;
  const auto number = aRow[aAt].to_number<double>(error);
  const bool valid =
      !error && number >= 0.0 && number <= static_cast<double>(kMaxExact);
  return valid ? static_cast<int64_t>(number) : 0;
}

constexpr int64_t kMaxPercent = 100;

std::string RowText(const json::array& aRow, size_t aAt) {
  if (aAt >= aRow.size() || !aRow[aAt].is_string()) return {};
  const json::string& text = aRow[aAt].get_string();
  return {text.data(), text.size()};
}

Result<sched::RunningRow> ReadRunning(const json::value& aValue) {
  if (!aValue.is_array()) {
    return MakeError(ErrorKind::PeerMalformed,
                     "an element of running is not an array");
  }
  const json::array& row = aValue.get_array();
  auto task = DecodeTaskName(RowText(row, 0));
  if (!task) return task.error();
  sched::RunningRow running;
  running.m_task = task.value();
  running.m_run = sched::RunNumber(static_cast<uint64_t>(RowInteger(row, 1)));
  running.m_checkpoint = RowText(row, 2);
  running.m_percent =
      static_cast<int>(std::min(RowInteger(row, 3), kMaxPercent));
  running.m_measure = RowInteger(row, 4);
  return running;
}

/** Ends that a runner lists at most. */
constexpr size_t kMaxListedEnds = 500;

constexpr std::array<std::string_view, 6> kEndNames = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

Result<sched::EndRow> ReadEnd(const json::value& aValue) {
  if (!aValue.is_array()) {
    return MakeError(ErrorKind::PeerMalformed,
                     "an element of finished is not an array");
  }
  const json::array& row = aValue.get_array();
  auto task = DecodeTaskName(RowText(row, 1));
  if (!task) return task.error();
  const std::string kind = RowText(row, 3);
  const auto* found = std::find(kEndNames.begin(), kEndNames.end(), kind);
  if (found == kEndNames.end()) {
    return MakeError(ErrorKind::PeerMalformed, "unknown end kind " + kind);
  }
  sched::EndRow end;
  end.m_number = sched::EndNumber(static_cast<uint64_t>(RowInteger(row, 0)));
  end.m_task = task.value();
  end.m_run = sched::RunNumber(static_cast<uint64_t>(RowInteger(row, 2)));
  end.m_kind = static_cast<EndKind>(found - kEndNames.begin());
  end.m_checkpoint = RowText(row, 4);
  return end;
}

}  // namespace

Result<RunnerReport> DecodeRunnerReport(std::string_view aBytes) {
  const auto body = ParseJson(aBytes);
  if (!body) return body.error();
  JsonReader reader(body.value());
  RunnerReport report;
  reader.Require("clock_ms");
  report.m_clock =
      sched::RunnerMillis(reader.Integer("clock_ms", 0, 0, kMaxExact));
  report.m_startedAt =
      sched::UnixMillis(reader.Integer("born", 0, 0, kMaxExact));
  // Without a list, nothing is known of the runs that it would hold.
  reader.Require("running");
  reader.Require("finished");
  const json::array* running = reader.List("running");
  const json::array* ended = reader.List("finished");
  if (reader.Failed()) {
    return MakeError(ErrorKind::PeerMalformed, reader.Problem());
  }
  if (running != nullptr) {
    for (const json::value& value : *running) {
      auto row = ReadRunning(value);
      if (!row) return row.error();
      report.m_running.push_back(std::move(row.value()));
    }
  }
  if (ended != nullptr) {
    for (const json::value& value : *ended) {
      auto row = ReadEnd(value);
      if (!row) return row.error();
      report.m_ended.push_back(std::move(row.value()));
    }
  }
  report.m_allEndsListed = report.m_ended.size() < kMaxListedEnds;
  return report;
}

Result<JobId> DecodeJobId(std::string_view aText) {
  constexpr size_t kDigits = 16;
  uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [at, error] = std::from_chars(aText.data(), end, value, 16);
  if (aText.size() != kDigits || error != std::errc() || at != end) {
    return MakeError(ErrorKind::BadRequest,
                     "a job id must be 16 hexadecimal digits");
  }
  return JobId(value);
}

Result<sched::TaskKey> DecodeTaskName(std::string_view aName) {
  const size_t dot = aName.find('.');
  if (dot == std::string_view::npos) {
    return MakeError(ErrorKind::PeerMalformed, "malformed task name");
  }
  const auto job = DecodeJobId(aName.substr(0, dot));
  if (!job) return MakeError(ErrorKind::PeerMalformed, "malformed task name");
  sched::TaskKey key;
  key.m_job = job.value();
  const char* at = aName.data() + dot;
  const char* end = aName.data() + aName.size();
  for (uint32_t* part : {&key.m_occurrence, &key.m_step, &key.m_index}) {
    if (at == end || *at != '.') {
      return MakeError(ErrorKind::PeerMalformed, "malformed task name");
    }
    const auto [next, error] = std::from_chars(at + 1, end, *part);
    if (error != std::errc()) {
      return MakeError(ErrorKind::PeerMalformed, "malformed task name");
    }
    at = next;
  }
  if (at != end) {
    return MakeError(ErrorKind::PeerMalformed, "malformed task name");
  }
  return key;
}

Result<AdviceAnswer> DecodeAdviceAnswer(std::string_view aBytes) {
  const auto body = ParseJson(aBytes);
  if (!body) return body.error();
  JsonReader reader(body.value());
  AdviceAnswer answer;
  answer.m_valid = milliseconds(reader.Integer("valid_ms", 0, 0, kMaxExact));
  reader.Require("approved");
  if (const json::array* rows = reader.List("approved")) {
    for (const json::value& row : *rows) {
      const bool isPair = row.is_array() && row.get_array().size() == 2 &&
                          row.get_array()[0].is_string() &&
                          row.get_array()[1].is_string();
      if (!isPair) {
        reader.Fail(
            "an element of approved is not a pair of worker id and ticket");
        break;
      }
      answer.m_approved.push_back(
          {RunnerId(std::string(row.get_array()[0].get_string())),
           std::string(row.get_array()[1].get_string())});
    }
  }
  if (reader.Failed()) {
    return MakeError(ErrorKind::PeerMalformed, reader.Problem());
  }
  return answer;
}

namespace {

std::optional<ServerMillis> ReadClock(const HttpReply& aReply,
                                      std::string_view aName) {
  if (aReply.m_body.empty()) return {};
  const auto body = ParseJson(aReply.m_body);
  if (!body) return {};
  JsonReader reader(body.value());
  reader.Require(aName);
  const int64_t clock = reader.Integer(aName, 0, 0, kMaxExact);
  if (reader.Failed()) return {};
  return ServerMillis(clock);
}

}  // namespace

std::optional<ServerMillis> ReadRunnerClock(const HttpReply& aReply) {
  return ReadClock(aReply, "clock_ms");
}

std::optional<ServerMillis> ReadStoreClock(const HttpReply& aReply) {
  return ReadClock(aReply, "now_ms");
}

}  // namespace bronze
