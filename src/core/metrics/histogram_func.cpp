/**
 * @file histogram_func.cpp Recording into latency histograms and reading them.
 */

#include "core/metrics/histogram_func.h"

#include <fmt/format.h>

#include <cmath>
#include <iterator>

namespace bronze {

namespace {

double ToSeconds(Duration aValue) {
  return std::chrono::duration<double>(aValue).count();
}

}  // namespace

void Record(LatencyHistogram& aHistogram, Duration aValue) {
  const double value = ToSeconds(aValue);
  aHistogram.m_counts(value);
  aHistogram.m_sum += value;
  ++aHistogram.m_count;
}

Duration Quantile(const LatencyHistogram& aHistogram, double aShare) {
  if (aHistogram.m_count == 0) return Duration::zero();
  const double wanted =
      std::ceil(aShare * static_cast<double>(aHistogram.m_count));
  const auto& axis = aHistogram.m_counts.axis();
  double seen = 0.0;
  for (int i = -1; i < axis.size(); ++i) {
    seen += aHistogram.m_counts.at(i);
    if (seen >= wanted) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(axis.value(i + 1)));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(LatencyHistogram::kHighest));
}

void AppendPrometheus(const LatencyHistogram& aHistogram,
                      std::string_view aName, std::string_view aLabel,
                      std::string& aText) {
  constexpr int kBoundStep = 10;
  auto out = std::back_inserter(aText);
  const auto& axis = aHistogram.m_counts.axis();
  const std::string_view comma = aLabel.empty() ? "" : ",";
  double seen = aHistogram.m_counts.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    seen += aHistogram.m_counts.at(i);
    if ((i + 1) % kBoundStep != 0) continue;
    fmt::format_to(out, "{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", aName, aLabel,
                   comma, axis.value(i + 1), static_cast<uint64_t>(seen));
  }
  fmt::format_to(out, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", aName, aLabel, comma,
                 aHistogram.m_count);
  const std::string labels =
      aLabel.empty() ? std::string() : fmt::format("{{{}}}", aLabel);
  fmt::format_to(out, "{}_sum{} {:.6f}\n", aName, labels, aHistogram.m_sum);
  fmt::format_to(out, "{}_count{} {}\n", aName, labels, aHistogram.m_count);
}

}  // namespace bronze
