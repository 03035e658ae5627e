/**
 * @file histogram_func.h Recording into latency histograms and reading them.
 */

#ifndef BRONZE_CORE_METRICS_HISTOGRAM_FUNC_H_
#define BRONZE_CORE_METRICS_HISTOGRAM_FUNC_H_

#include <string>
#include <string_view>

#include "core/base/time_type.h"
#include "core/metrics/histogram_type.h"

namespace bronze {

void Record(LatencyHistogram& aHistogram, Duration aValue);

/**
 * @param aShare in (0, 1], for example 0.99.
 * @return the upper bound of the bucket that holds this quantile; zero when the
 *         histogram is empty.
 */
[[nodiscard]] Duration Quantile(const LatencyHistogram& aHistogram,
                                double aShare);

/**
 * Appends the histogram in the Prometheus text format. Only every tenth bucket
 * bound is written, which keeps a scrape small.
 */
void AppendPrometheus(const LatencyHistogram& aHistogram,
                      std::string_view aName, std::string_view aLabel,
                      std::string& aText);

}  // namespace bronze

#endif  // BRONZE_CORE_METRICS_HISTOGRAM_FUNC_H_
