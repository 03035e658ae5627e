/**
 * @file interference_func.h Interference: how much tasks of a batch kind slow
 *                           down services on the same worker.
 *
 * An exponentially decaying estimate of the slowdown is kept for each
 * combination of service kind, batch kind and load level. A report gives only
 * the slowdown of a service by all tasks of the worker together. Its difference
 * from the expected value is therefore divided among the batch kinds on the
 * worker in proportion to their number of tasks (normalized least mean
 * squares).
 */

#ifndef BRONZE_CORE_BATCH_INTERFERENCE_FUNC_H_
#define BRONZE_CORE_BATCH_INTERFERENCE_FUNC_H_

#include <cstdint>
#include <map>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** Share of a worker's cores in use, in quarters: 0 is less than 25 %. */
struct LoadLevel {
  uint8_t m_value = 0;
  friend auto operator<=>(const LoadLevel&, const LoadLevel&) = default;
};

struct InterferenceEstimate {
  /** Slowdown factor that one task causes, minus 1.0; not negative. */
  double m_extraSlowdown = 0.0;
  TimePoint m_updated;
};

struct InterferenceTable {
  std::map<std::tuple<KindId, KindId, LoadLevel>, InterferenceEstimate>
      m_estimates;
};

/** Slowdown factor of each service kind, as reported by one worker. */
using Slowdowns = std::span<const std::pair<KindId, double>>;

/** Number of tasks of each batch kind on one worker. */
using KindCounts = std::map<KindId, int>;

[[nodiscard]] LoadLevel LoadLevelOf(const Resources& aUsed,
                                    const Resources& aTotal);

/** Updates the estimates with one report. */
void LearnSlowdowns(InterferenceTable& aTable, Slowdowns aSlowdowns,
                    const KindCounts& aTasks, LoadLevel aLoad, TimePoint aNow);

/** @return the expected slowdown of a service by all tasks, minus 1.0. */
[[nodiscard]] double ExpectedTotalSlowdown(const InterferenceTable& aTable,
                                           const KindId& aService,
                                           const KindCounts& aTasks,
                                           LoadLevel aLoad, TimePoint aNow);

/**
 * @return the expected slowdown, minus 1.0, that one task of kind aBatch causes
 *         to the service it slows down most. Without an estimate for this load
 *         level, the one of the nearest level is used.
 */
[[nodiscard]] double ExpectedTaskSlowdown(const InterferenceTable& aTable,
                                          Slowdowns aServices,
                                          const KindId& aBatch, LoadLevel aLoad,
                                          TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_INTERFERENCE_FUNC_H_
