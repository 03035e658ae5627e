/**
 * @file usage_func.h Measured resource use of each kind of task.
 *
 * Declared sizes may be too small or too large. A quantile of the measured use
 * is estimated per kind by stochastic approximation with a shrinking step,
 * which needs a few numbers per kind instead of a histogram.
 */

#ifndef BRONZE_CORE_BATCH_USAGE_FUNC_H_
#define BRONZE_CORE_BATCH_USAGE_FUNC_H_

#include <cstdint>
#include <map>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"

namespace bronze {

/** Running estimate of a quantile. */
struct QuantileEstimate {
  double m_value = 0.0;
  int64_t m_samples = 0;
};

struct KindUsage {
  QuantileEstimate m_cores;
  QuantileEstimate m_memory;
};

struct UsageTable {
  std::map<KindId, KindUsage> m_kinds;
};

/** @return the larger of both sizes; accelerators as declared. */
[[nodiscard]] Resources AtLeast(const Resources& aDeclared,
                                const Resources& aMeasured);

/** Updates the estimates with the use of one task in a report. */
void LearnUsage(UsageTable& aTable, const KindId& aKind,
                const Resources& aUsed);

/**
 * @return the size to reserve: the declared cores and memory, raised to the
 *         estimated quantile, but to no more than aLimit.
 */
[[nodiscard]] Resources SizeToReserve(const UsageTable& aTable,
                                      const KindId& aKind,
                                      const Resources& aDeclared,
                                      const Resources& aLimit);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_USAGE_FUNC_H_
