/**
 * @file forecast_func.h Forecasts of demand, one step ahead.
 *
 * A step is the interval between two samples of demand. The benchmarks compare
 * the policies on traces, and in the dispatch path with an uneven demand peak.
 */

#ifndef BRONZE_CORE_REQUEST_FORECAST_FUNC_H_
#define BRONZE_CORE_REQUEST_FORECAST_FUNC_H_

#include <cstdint>

namespace bronze {

enum class ForecastPolicy : uint8_t { LastValue, WeightedMean, Linear };

/** Summary of the samples so far. */
struct ForecastState {
  double m_last = 0.0;
  double m_beforeLast = 0.0;
  double m_mean = 0.0;  ///< Exponentially weighted mean.
  int64_t m_samples = 0;
};

/** Adds the demand of the next step. */
void AddSample(ForecastState& aState, double aDemand);

/** @return the demand expected in the next step, never negative. */
[[nodiscard]] double Forecast(const ForecastState& aState,
                              ForecastPolicy aPolicy);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_FORECAST_FUNC_H_
