/**
 * @file counter_func.cpp Access to the counters, and their Prometheus output.
 */

#include "core/metrics/counter_func.h"

#include <fmt/format.h>

#include <iterator>

#include "core/metrics/table/counter_name.h"

namespace bronze {

namespace {

consteval bool IsTableInOrder() {
  for (size_t i = 0; i < kCounterNames.size(); ++i) {
    if (static_cast<size_t>(kCounterNames[i].m_id) != i) return false;
  }
  return true;
}
static_assert(IsTableInOrder(), "one row per counter, in the enum's order");
static_assert(kCounterCount -
                      static_cast<size_t>(CounterId::RefusedBadRequest) ==
                  kErrorKindCount,
              "one refusal counter per error kind");

}  // namespace

CounterId RefusalCounter(ErrorKind aKind) {
  return static_cast<CounterId>(
      static_cast<size_t>(CounterId::RefusedBadRequest) +
      static_cast<size_t>(aKind));
}

void AppendPrometheus(const Counters& aCounters, std::string& aText) {
  auto out = std::back_inserter(aText);
  std::string_view previous;
  for (const auto& row : kCounterNames) {
    if (row.m_name != previous) {
      fmt::format_to(out, "# HELP {0} {1}\n# TYPE {0} counter\n", row.m_name,
                     row.m_help);
      previous = row.m_name;
    }
    const uint64_t value = ValueOf(aCounters, row.m_id);
    if (row.m_label.empty()) {
      fmt::format_to(out, "{} {}\n", row.m_name, value);
    } else {
      fmt::format_to(out, "{}{{{}}} {}\n", row.m_name, row.m_label, value);
    }
  }
}

}  // namespace bronze
