/**
 * @file admin_json.cpp JSON of faults, settings and counts.
 */

#include "standin/admin_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standin/fault_func.h"
#include "standin/table/fault_name.h"

namespace bronze {

using nlohmann::json;

namespace {

int64_t ToMs(Duration aTime) {
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

Duration MsOf(const json& aJson, const char* aMember, Duration aDefault,
              Duration aMinimum = Duration::zero()) {
  if (!aJson.contains(aMember)) return aDefault;
  return std::max<Duration>(milliseconds(aJson.at(aMember).get<int64_t>()),
                            aMinimum);
}

Error Malformed(const json::exception& aError) {
  return MakeError(ErrorKind::BadRequest,
                   std::string("malformed body: ") + aError.what());
}

void ApplyRequestKind(const json& aJson, RequestKind& aKind) {
  aKind.m_minRunTime = MsOf(aJson, "min_ms", aKind.m_minRunTime);
  aKind.m_maxRunTime =
      std::max(aKind.m_minRunTime, MsOf(aJson, "max_ms", aKind.m_maxRunTime));
  aKind.m_idempotent = aJson.value("idempotent", aKind.m_idempotent);
  aKind.m_standing = aJson.value("standing", aKind.m_standing);
}

void ApplyTaskKind(const json& aJson, TaskKind& aKind) {
  aKind.m_minRunTime = MsOf(aJson, "min_ms", aKind.m_minRunTime);
  aKind.m_maxRunTime =
      std::max(aKind.m_minRunTime, MsOf(aJson, "max_ms", aKind.m_maxRunTime));
  aKind.m_stragglerShare = std::clamp(
      aJson.value("straggler_share", aKind.m_stragglerShare), 0.0, 1.0);
  aKind.m_stragglerFactor =
      aJson.value("straggler_factor", aKind.m_stragglerFactor);
  aKind.m_useFactor = aJson.value("use_factor", aKind.m_useFactor);
  aKind.m_checkpointInterval =
      MsOf(aJson, "checkpoint_ms", aKind.m_checkpointInterval, milliseconds(1));
}

}  // namespace

Result<FaultSwitch> DecodeFault(std::string_view aText) {
  try {
    const json parsed = json::parse(aText);
    const auto kind = FaultFromName(parsed.at("name").get<std::string>());
    if (!kind) return MakeError(ErrorKind::BadRequest, "unknown fault name");
    FaultSwitch result;
    result.m_kind = *kind;
    result.m_on = parsed.at("on").get<bool>();
    result.m_vm = parsed.value("vm", std::string());
    Fault& fault = result.m_fault;
    fault.m_probability =
        std::clamp(parsed.value("probability", fault.m_probability), 0.0, 1.0);
    if (parsed.contains("seconds")) {
      fault.m_delay = seconds(parsed.at("seconds").get<int64_t>());
    }
    fault.m_delay = MsOf(parsed, "delay_ms", fault.m_delay);
    fault.m_factor = parsed.value("factor", fault.m_factor);
    fault.m_echo = parsed.value("echo", fault.m_echo);
    return result;
  } catch (const json::exception& error) {
    return Malformed(error);
  }
}

std::string EncodeFaults(const FaultState& aFaults) {
  json on = json::array();
  for (const auto& [key, fault] : aFaults.m_active) {
    on.push_back({{"name", kFaultNames[static_cast<size_t>(key.first)]},
                  {"vm", key.second},
                  {"on", true},
                  {"probability", fault.m_probability},
                  {"delay_ms", ToMs(fault.m_delay)},
                  {"factor", fault.m_factor},
                  {"echo", fault.m_echo}});
  }
  return json{{"faults", std::move(on)}, {"names", kFaultNames}}.dump();
}

Result<StandinSettings> DecodeSettings(const StandinSettings& aSettings,
                                       std::string_view aText) {
  try {
    const json parsed = json::parse(aText);
    StandinSettings settings = aSettings;
    settings.m_vmListLag = MsOf(parsed, "vm_list_lag_ms", settings.m_vmListLag);
    settings.m_reportLag = MsOf(parsed, "report_lag_ms", settings.m_reportLag);
    settings.m_failAfter = MsOf(parsed, "fail_after_ms", settings.m_failAfter);
    const json requestKinds = parsed.value("request_kinds", json::object());
    for (const auto& [name, kind] : requestKinds.items()) {
      ApplyRequestKind(kind, settings.m_requestKinds[KindId(name)]);
    }
    const json taskKinds = parsed.value("task_kinds", json::object());
    for (const auto& [name, kind] : taskKinds.items()) {
      ApplyTaskKind(kind, settings.m_taskKinds[KindId(name)]);
    }
    for (const json& item : parsed.value("interference", json::array())) {
      settings.m_interference[{KindId(item.at("request").get<std::string>()),
                               KindId(item.at("task").get<std::string>())}] =
          item.at("factor").get<double>();
    }
    return settings;
  } catch (const json::exception& error) {
    return Malformed(error);
  }
}

std::string EncodeSettings(const StandinSettings& aSettings) {
  json requestKinds = json::object();
  for (const auto& [name, kind] : aSettings.m_requestKinds) {
    requestKinds[name.Value()] = {{"min_ms", ToMs(kind.m_minRunTime)},
                                  {"max_ms", ToMs(kind.m_maxRunTime)},
                                  {"idempotent", kind.m_idempotent},
                                  {"standing", kind.m_standing}};
  }
  json taskKinds = json::object();
  for (const auto& [name, kind] : aSettings.m_taskKinds) {
    taskKinds[name.Value()] = {
        {"min_ms", ToMs(kind.m_minRunTime)},
        {"max_ms", ToMs(kind.m_maxRunTime)},
        {"straggler_share", kind.m_stragglerShare},
        {"straggler_factor", kind.m_stragglerFactor},
        {"use_factor", kind.m_useFactor},
        {"checkpoint_ms", ToMs(kind.m_checkpointInterval)}};
  }
  json interference = json::array();
  for (const auto& [kinds, factor] : aSettings.m_interference) {
    interference.push_back({{"request", kinds.first.Value()},
                            {"task", kinds.second.Value()},
                            {"factor", factor}});
  }
  return json{{"vm_list_lag_ms", ToMs(aSettings.m_vmListLag)},
              {"report_lag_ms", ToMs(aSettings.m_reportLag)},
              {"fail_after_ms", ToMs(aSettings.m_failAfter)},
              {"request_kinds", std::move(requestKinds)},
              {"task_kinds", std::move(taskKinds)},
              {"interference", std::move(interference)}}
      .dump();
}

std::string EncodeCounts(const Invariants& aInvariants) {
  const auto peak = [](const RatePeak& aRate) { return aRate.m_peak; };
  size_t running = 0;
  for (const auto& [task, history] : aInvariants.m_tasks) {
    running += history.m_runningOn.size();
  }
  return json{{"over_capacity", aInvariants.m_overCapacity},
              {"task_in_two_places", aInvariants.m_taskInTwoPlaces},
              {"slot_over_commitments", aInvariants.m_slotOverCommitments},
              {"non_idempotent_twice", aInvariants.m_nonIdempotentTwice},
              {"resumed_twice", aInvariants.m_resumedTwice},
              {"work_after_leaving", aInvariants.m_workAfterLeaving},
              {"slots_total", aInvariants.m_slots.m_total.Value()},
              {"slots_in_use", aInvariants.m_slots.m_used.Value()},
              {"slots_in_use_peak", aInvariants.m_slots.m_peak.Value()},
              {"slots_in_use_share", aInvariants.m_slots.m_shareSeries},
              {"tasks_started", aInvariants.m_tasksStarted},
              {"tasks_running", running},
              {"tasks_finished", aInvariants.m_tasksFinished},
              {"tasks_failed", aInvariants.m_tasksFailed},
              {"tasks_resumed", aInvariants.m_tasksResumed},
              {"leases_lapsed", aInvariants.m_leasesLapsed},
              {"stale_tokens", aInvariants.m_staleTokens},
              {"requests_run", aInvariants.m_requestsRun},
              {"object_reads", aInvariants.m_objectReads},
              {"object_writes", aInvariants.m_objectWrites},
              {"table_reads", aInvariants.m_tableReads.m_total},
              {"table_reads_peak", peak(aInvariants.m_tableReads)},
              {"table_writes", aInvariants.m_tableWrites.m_total},
              {"table_writes_peak", peak(aInvariants.m_tableWrites)},
              {"transactions", aInvariants.m_transactions.m_total},
              {"transactions_peak", peak(aInvariants.m_transactions)},
              {"rows_written", aInvariants.m_rowsWritten},
              {"violations", aInvariants.m_violations}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace bronze
