/**
 * @file entry_metrics.cpp Metrics of one entry VM and of the cells it owns.
 */

#include <fmt/format.h>

#include <cmath>

#include "core/metrics/counter_func.h"
#include "core/metrics/histogram_func.h"
#include "core/sched/evacuation_cmd.h"
#include "core/sched/open_stop_func.h"
#include "core/sched/restart_cmd.h"
#include "core/sched/schedule_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/entry_node.h"

namespace bronze {

namespace {

/** Why the HTTP servers refuse a call or close a connection. */
struct RefusalName {
  CounterId m_id;
  std::string_view m_name;  ///< In metrics and the log.
};

constexpr RefusalName kRefusalNames[] = {
    {CounterId::RefusedBadRequest, "bad_request"},
    {CounterId::RefusedHeaderTooLarge, "header_too_large"},
    {CounterId::RefusedBodyTooLarge, "body_too_large"},
    {CounterId::RefusedSlowSender, "slow_sender"},
    {CounterId::RefusedTooManyConnections, "too_many_connections"},
    {CounterId::RefusedOverloaded, "overloaded"},
    {CounterId::ConnectionsClosedForMemory, "closed_for_memory"},
    {CounterId::ConnectionsClosedForRoom, "closed_for_room"},
    {CounterId::ConnectionsClosedUnread, "unread_reply"},
    {CounterId::AcceptsFailed, "accept_failed"},
};

void AppendCount(std::string& aText, std::string_view aName, uint64_t aCount) {
  aText += fmt::format("bronze_{} {}\n", aName, aCount);
}

uint64_t ToMillis(Duration aTime) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(aTime).count());
}

uint64_t ToPermille(double aShare) {
  return static_cast<uint64_t>(std::lround(aShare * 1000.0));
}

void AppendCell(std::string& aText, const std::string& aLabel,
                const sched::Cell& aCell) {
  const auto append = [&](std::string_view aName, uint64_t aCount) {
    AppendCount(aText, fmt::format("{}{{{}}}", aName, aLabel), aCount);
  };
  constexpr std::string_view kEndKinds[] = {"done",   "failed", "stopped",
                                            "lapsed", "broken", "alone"};
  const sched::CellCounts& counts = aCell.m_counts;
  append("jobs_accepted_total", counts.m_accepted);
  append("jobs_completed_total", counts.m_completed);
  append("jobs_failed_total", counts.m_failed);
  append("jobs_cancelled_total", counts.m_cancelled);
  append("jobs_oversized_total", counts.m_oversizedJobs);
  append("jobs_divided_total", counts.m_dividedJobs);
  append("checkpoints_oversized_total", counts.m_oversizedCheckpoints);
  append("task_starts_total", counts.m_starts);
  append("task_stops_total", counts.m_stops);
  const sched::OpenStops stops = sched::OpenStopsOf(aCell, BootNow());
  append("open_stops", stops.m_count);
  append("oldest_open_stop_ms", ToMillis(stops.m_longest));
  append("task_paces_total", counts.m_paces);
  append("runner_pauses_total", counts.m_runnerPauses);
  append("load_predictions_total", counts.m_loadPredictions);
  append("load_underestimate_permille_total",
         ToPermille(counts.m_loadUnderestimate));
  append("load_overestimate_permille_total",
         ToPermille(counts.m_loadOverestimate));
  append("starts_refused_total", counts.m_rejectedStarts);
  append("runners_lapsed_total", counts.m_lapsedRunners);
  append("tasks_stalled_total", counts.m_stalledTasks);
  append("quarantines_total", counts.m_quarantines);
  append("preemptions_total", counts.m_preemptions);
  append("restarts_in_quarantine_total", counts.m_restartsInQuarantine);
  append("longest_restart_wait_ms", ToMillis(counts.m_longestRestartWait));
  append("restart_wait_ms",
         ToMillis(sched::LongestRestartWait(aCell, BootNow())));
  append("advice_calls_total", counts.m_adviceAsked);
  append("advice_failures_total", counts.m_adviceFailed);
  append("jobs_routed_total", counts.m_jobsRouted);
  append("jobs_moved_total", counts.m_jobsMoved);
  append("jobs_adopted_total", counts.m_jobsAdopted);
  append("passes_ended_by_window_total", counts.m_windowFull);
  append("misdirected_orders_total", counts.m_misdirectedOrders);
  append("passes_without_listing_total", counts.m_staleListings);
  append("passes_without_requests_total", counts.m_staleRequests);
  append("starts_stopped_by_evacuation_total", counts.m_evacuatedStarts);
  for (const sched::EvacuationProgress& progress :
       sched::EvacuationsOf(aCell)) {
    const std::string label = fmt::format("{},data_centre=\"{}\"", aLabel,
                                          progress.m_dataCentre.Value());
    AppendCount(aText, fmt::format("evacuated_runners{{{}}}", label),
                progress.m_runners);
    AppendCount(aText, fmt::format("evacuated_tasks{{{}}}", label),
                progress.m_tasks);
  }
  append("queued_steps", aCell.m_queue.size());
  append("queue_round_ms", ToMillis(sched::QueueRoundTime(aCell, BootNow())));
  append("longest_queue_round_ms", ToMillis(counts.m_longestQueueRound));
  append("runners", aCell.m_runners.size());
  append("starts_in_flight", aCell.m_window.m_inFlight);
  append("start_window", static_cast<uint64_t>(aCell.m_window.m_limit));
  for (size_t kind = 0; kind < std::size(kEndKinds); ++kind) {
    AppendCount(aText,
                fmt::format("task_ends_total{{{},kind=\"{}\"}}", aLabel,
                            kEndKinds[kind]),
                counts.m_endsByKind[kind]);
  }
}

}  // namespace

void EntryNode::LogRefusals() {
  std::string refusals;
  for (const RefusalName& refusal : kRefusalNames) {
    const uint64_t count = m_counters ? ValueOf(*m_counters, refusal.m_id) : 0;
    if (count > 0) refusals += fmt::format(" {}={}", refusal.m_name, count);
  }
  const uint64_t replies = m_replyBudget->m_refused;
  if (replies > 0) refusals += fmt::format(" replies_over_limit={}", replies);
  if (refusals == m_loggedRefusals) return;
  m_loggedRefusals = refusals;
  m_log.Write("[callers]", "connections refused or closed, since the start:{}",
              refusals);
}

std::string EntryNode::Metrics() {
  std::string text;
  if (m_counters) {
    for (const RefusalName& refusal : kRefusalNames) {
      AppendCount(text,
                  fmt::format("connection_refusals_total{{reason=\"{}\"}}",
                              refusal.m_name),
                  ValueOf(*m_counters, refusal.m_id));
    }
  }
  AppendCount(text, "replies_over_limit_total", m_replyBudget->m_refused);
  for (const auto& [name, count] : m_answers) {
    AppendCount(text,
                fmt::format("caller_answers_total{{result=\"{}\"}}", name),
                count);
  }
  for (const auto& [result, count] : m_reloads) {
    AppendCount(text,
                fmt::format("settings_reloads_total{{result=\"{}\"}}", result),
                count);
  }
  AppendCount(text, "settings_corrected", m_correctedSettings);
  const auto appendByLabel = [&text](std::string_view aName,
                                     std::string_view aLabel,
                                     const auto& aCounts) {
    for (const auto& [value, count] : aCounts) {
      AppendCount(text, fmt::format("{}{{{}=\"{}\"}}", aName, aLabel, value),
                  count);
    }
  };
  appendByLabel("claims_deferred_total", "reason",
                m_ownershipCounts.m_deferredClaims);
  AppendCount(text, "claims_left_total", m_ownershipCounts.m_leftClaims);
  appendByLabel("handovers_total", "result", m_ownershipCounts.m_handovers);
  appendByLabel("handover_requests_total", "result",
                m_ownershipCounts.m_requests);
  AppendCount(text, "store_calls_total",
              m_store.Calls() + m_configStore.Calls());
  AppendCount(text, "store_failures_total",
              m_store.Failures() + m_configStore.Failures());
  AppendCount(text, "runner_connections_total", m_runners.Connections());
  const auto appendMismatched = [&text](std::string_view aServer,
                                        uint64_t aCount) {
    AppendCount(
        text, fmt::format("replies_mismatched_total{{server=\"{}\"}}", aServer),
        aCount);
  };
  appendMismatched("runner", m_runners.MismatchedReplies());
  appendMismatched(
      "store", m_store.MismatchedReplies() + m_configStore.MismatchedReplies());
  appendMismatched("peer", m_peers.MismatchedReplies());
  AppendCount(text, "log_dropped_total", m_log.Dropped());
  AppendCount(text, "config_version", Config()->m_version.Value());
  AppendCount(text, "cells", m_layout.m_cells);
  if (m_requests) {
    for (const DataCentreId& dataCentre : m_requests->m_evacuations) {
      AppendCount(
          text,
          fmt::format("evacuation{{data_centre=\"{}\"}}", dataCentre.Value()),
          1);
    }
  }
  AppendPrometheus(m_answerTimes, "bronze_caller_answer_seconds", "", text);
  for (const auto& election : m_elections) {
    const auto owner = election->LocalOwner();
    if (!owner) continue;
    const std::string label = fmt::format("cell=\"{}\"", owner->Cell().Value());
    AppendCell(text, label, owner->State());
    AppendCount(text, fmt::format("control_loop_lag_us{{{}}}", label),
                static_cast<uint64_t>(owner->LoopLag().count()));
    AppendCount(text, fmt::format("commits_rejected_total{{{}}}", label),
                owner->RejectedCommits());
    const auto& admissions = owner->Admissions();
    for (size_t verdict = 0; verdict < admissions.size(); ++verdict) {
      const auto name =
          sched::VerdictName(static_cast<sched::AdmissionVerdict>(verdict));
      AppendCount(
          text,
          fmt::format("admissions_total{{{},verdict=\"{}\"}}", label, name),
          admissions[verdict]);
    }
    AppendPrometheus(owner->CommitTimes(), "bronze_commit_seconds", label,
                     text);
  }
  return text;
}

}  // namespace bronze
