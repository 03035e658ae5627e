/**
 * @file counter_func.h Access to the counters, and their Prometheus output.
 */

#ifndef BRONZE_CORE_METRICS_COUNTER_FUNC_H_
#define BRONZE_CORE_METRICS_COUNTER_FUNC_H_

#include <string>

#include "core/error/error_type.h"
#include "core/metrics/counter_type.h"

namespace bronze {

inline void Count(Counters& aCounters, CounterId aId, uint64_t aBy = 1) {
  aCounters.m_values[static_cast<size_t>(aId)].fetch_add(
      aBy, std::memory_order_relaxed);
}

[[nodiscard]] inline uint64_t ValueOf(const Counters& aCounters,
                                      CounterId aId) {
  return aCounters.m_values[static_cast<size_t>(aId)].load(
      std::memory_order_relaxed);
}

/** @return the counter of calls that were refused with aKind. */
[[nodiscard]] CounterId RefusalCounter(ErrorKind aKind);

/** Appends all counters in the Prometheus text format to aText. */
void AppendPrometheus(const Counters& aCounters, std::string& aText);

}  // namespace bronze

#endif  // BRONZE_CORE_METRICS_COUNTER_FUNC_H_
