/**
 * @file load_result.cpp Counts and latencies of a run of the load generator.
 */

#include "load/load_result.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "core/metrics/histogram_func.h"

namespace bronze {

namespace {

uint64_t OutcomesOf(const KindResult& aKind, RequestOutcome aOutcome) {
  return aKind.m_outcomes[static_cast<size_t>(aOutcome)];
}

double ToMs(Duration aTime) {
  return std::chrono::duration<double, std::milli>(aTime).count();
}

uint64_t RefusedOf(const KindResult& aKind) {
  return OutcomesOf(aKind, RequestOutcome::Refused) +
         OutcomesOf(aKind, RequestOutcome::NotConnected);
}

/** Unlike lost ones, the callers of these know that the outcome is unknown. */
uint64_t UnknownOf(const KindResult& aKind) {
  return OutcomesOf(aKind, RequestOutcome::Unknown) +
         OutcomesOf(aKind, RequestOutcome::Broken);
}

}  // namespace

void RecordOutcome(LoadResult& aResult, const LoadRequest& aRequest,
                   RequestOutcome aOutcome, const std::string& aError,
                   TimePoint aNow) {
  // For an idempotent request it does not matter whether it has run; what
  // counts is that the caller got no answer from any target.
  if (aOutcome == RequestOutcome::Broken && IsIdempotent(aRequest.m_kind)) {
    aOutcome = RequestOutcome::Lost;
  }
  KindResult& kind = aResult.m_kinds[aRequest.m_kind];
  ++kind.m_outcomes[static_cast<size_t>(aOutcome)];
  if (!aError.empty()) ++aResult.m_refusals[aError];
  if (aOutcome != RequestOutcome::Answered) return;
  const Duration latency = aNow - aRequest.m_scheduled;
  Record(kind.m_latency, latency);
  kind.m_longest = std::max(kind.m_longest, latency);
  if (aNow > aRequest.m_deadline) {
    ++kind.m_late;
    return;
  }
  ++aResult.m_inWindow;
  if (aRequest.m_inSwing) ++aResult.m_inWindowSwing;
}

uint64_t CountOf(const LoadResult& aResult, RequestOutcome aOutcome) {
  uint64_t sum = 0;
  for (const auto& [kind, counts] : aResult.m_kinds) {
    sum += OutcomesOf(counts, aOutcome);
  }
  return sum;
}

uint64_t LostOf(const LoadResult& aResult) {
  return CountOf(aResult, RequestOutcome::Lost) +
         CountOf(aResult, RequestOutcome::Malformed);
}

bool IsClean(const LoadResult& aResult) {
  return LostOf(aResult) == 0 &&
         CountOf(aResult, RequestOutcome::Duplicate) == 0 &&
         CountOf(aResult, RequestOutcome::Misdelivered) == 0 &&
         aResult.m_batch.m_open == 0;
}

double GoodputAtPeakRate(const LoadResult& aResult,
                         const LoadOptions& aOptions) {
  const bool swings = aOptions.m_swing.m_length > Duration::zero();
  const std::chrono::duration<double> time =
      swings ? aOptions.m_swing.m_length : aOptions.m_duration;
  const uint64_t answers =
      swings ? aResult.m_inWindowSwing : aResult.m_inWindow;
  return static_cast<double>(answers) / time.count();
}

std::string ResultTable(const LoadResult& aResult,
                        const LoadOptions& aOptions) {
  std::string text;
  auto out = std::back_inserter(text);
  fmt::format_to(out,
                 "{:<10}{:>8}{:>9}{:>6}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}"
                 "{:>9}\n",
                 "kind", "sent", "answered", "late", "refused", "unknown",
                 "retries", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms");
  for (const auto& [id, kind] : aResult.m_kinds) {
    const auto at = [&kind = kind](double aShare) {
      return ToMs(Quantile(kind.m_latency, aShare));
    };
    fmt::format_to(out,
                   "{:<10}{:>8}{:>9}{:>6}{:>8}{:>8}{:>8}{:>9.1f}{:>9.1f}"
                   "{:>9.1f}{:>9.1f}{:>9.1f}\n",
                   id.Value(), kind.m_sent,
                   OutcomesOf(kind, RequestOutcome::Answered), kind.m_late,
                   RefusedOf(kind), UnknownOf(kind), kind.m_retries, at(0.5),
                   at(0.9), at(0.99), at(0.999), ToMs(kind.m_longest));
  }
  for (const auto& [error, count] : aResult.m_refusals) {
    fmt::format_to(out, "error {:<24} {}\n", error, count);
  }
  if (aOptions.m_jobs > 0) {
    const BatchResult& batch = aResult.m_batch;
    fmt::format_to(out,
                   "jobs: {} submitted, {} refused, {} finished, {} failed, "
                   "{} open; tasks: {} finished, {} open; longest {:.0f} ms\n",
                   batch.m_submitted, batch.m_refused, batch.m_finished,
                   batch.m_failed, batch.m_open, batch.m_tasksFinished,
                   batch.m_tasksOpen, ToMs(batch.m_longest));
  }
  fmt::format_to(out, "goodput at peak rate: {:.1f}/s\n",
                 GoodputAtPeakRate(aResult, aOptions));
  fmt::format_to(out, "requests delayed by the connection limit: {}\n",
                 aResult.m_delayed);
  fmt::format_to(out, "answered {}, lost {}, doubled {}, foreign {}\n",
                 CountOf(aResult, RequestOutcome::Answered), LostOf(aResult),
                 CountOf(aResult, RequestOutcome::Duplicate),
                 CountOf(aResult, RequestOutcome::Misdelivered));
  return text;
}

std::string ResultJson(const LoadResult& aResult, const LoadOptions& aOptions) {
  using nlohmann::json;
  json kinds = json::object();
  for (const auto& [id, kind] : aResult.m_kinds) {
    const auto at = [&kind = kind](double aShare) {
      return ToMs(Quantile(kind.m_latency, aShare));
    };
    kinds[id.Value()] = {
        {"sent", kind.m_sent},
        {"answered", OutcomesOf(kind, RequestOutcome::Answered)},
        {"late", kind.m_late},
        {"refused", RefusedOf(kind)},
        {"unknown", UnknownOf(kind)},
        {"retries", kind.m_retries},
        {"p50_ms", at(0.5)},
        {"p90_ms", at(0.9)},
        {"p99_ms", at(0.99)},
        {"p999_ms", at(0.999)},
        {"max_ms", ToMs(kind.m_longest)}};
  }
  const BatchResult& batch = aResult.m_batch;
  return json{{"kinds", std::move(kinds)},
              {"errors", aResult.m_refusals},
              {"answered", CountOf(aResult, RequestOutcome::Answered)},
              {"in_window", aResult.m_inWindow},
              {"sent_in_swing", aResult.m_sentSwing},
              {"goodput_at_crest", GoodputAtPeakRate(aResult, aOptions)},
              {"lost", LostOf(aResult)},
              {"cut", CountOf(aResult, RequestOutcome::Malformed)},
              {"doubled", CountOf(aResult, RequestOutcome::Duplicate)},
              {"foreign", CountOf(aResult, RequestOutcome::Misdelivered)},
              {"held_back", aResult.m_delayed},
              {"jobs",
               {{"submitted", batch.m_submitted},
                {"refused", batch.m_refused},
                {"finished", batch.m_finished},
                {"failed", batch.m_failed},
                {"open", batch.m_open},
                {"tasks_finished", batch.m_tasksFinished},
                {"tasks_open", batch.m_tasksOpen},
                {"longest_ms", ToMs(batch.m_longest)}}}}
             .dump(2) +
         "\n";
}

}  // namespace bronze
