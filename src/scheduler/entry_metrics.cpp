/**
 * @file entry_metrics.cpp Metrics of one entry VM and of the cells it owns.
 */

#include <fmt/format.h>

#include "core/metrics/histogram_func.h"
#include "core/sched/restart_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/entry_node.h"

namespace bronze {

namespace {

void AppendCount(std::string& aText, std::string_view aName, uint64_t aCount) {
  aText += fmt::format("bronze_{} {}\n", aName, aCount);
}

uint64_t ToMillis(Duration aTime) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(aTime).count());
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
  append("task_paces_total", counts.m_paces);
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
  append("passes_without_listing_total", counts.m_staleListings);
  append("queued_steps", aCell.m_queue.size());
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

std::string EntryNode::Metrics() {
  std::string text;
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
