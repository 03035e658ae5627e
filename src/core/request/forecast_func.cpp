/**
 * @file forecast_func.cpp Forecasts of demand, one step ahead.
 */

#include "core/request/forecast_func.h"

#include <algorithm>

namespace bronze {

namespace {

constexpr double kMeanWeight = 0.3;

}  // namespace

void AddSample(ForecastState& aState, double aDemand) {
  const bool first = aState.m_samples++ == 0;
  aState.m_beforeLast = first ? aDemand : aState.m_last;
  aState.m_last = aDemand;
  aState.m_mean =
      first ? aDemand : aState.m_mean + kMeanWeight * (aDemand - aState.m_mean);
}

double Forecast(const ForecastState& aState, ForecastPolicy aPolicy) {
  switch (aPolicy) {
    case ForecastPolicy::LastValue:
      return aState.m_last;
    case ForecastPolicy::WeightedMean:
      return aState.m_mean;
    case ForecastPolicy::Linear:
      return std::max(0.0, 2.0 * aState.m_last - aState.m_beforeLast);
  }
  return aState.m_last;
}

}  // namespace bronze
