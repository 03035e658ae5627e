/**
 * @file interference_func.cpp Learned interference of batch kinds with
 *                             services.
 */

#include "core/batch/interference_func.h"

#include <algorithm>
#include <cmath>

namespace bronze {

namespace {

// Part of the estimate's error that one report corrects.
constexpr double kLearningRate = 0.2;
// Time in which an estimate without new reports halves, so that an outdated
// estimate does not keep a kind away from a service forever.
constexpr Duration kHalfLife = std::chrono::minutes(30);
constexpr int kLoadLevels = 4;

double DecayedExtra(const InterferenceEstimate& aEstimate, TimePoint aNow) {
  const Duration age = std::max(aNow - aEstimate.m_updated, Duration::zero());
  return aEstimate.m_extraSlowdown *
         std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(kHalfLife.count()));
}

/** Estimate for the load level, or else for the nearest level with one. */
double EstimateNear(const InterferenceTable& aTable, const KindId& aService,
                    const KindId& aBatch, LoadLevel aLoad, TimePoint aNow) {
  for (int distance = 0; distance < kLoadLevels; ++distance) {
    for (const int level :
         {aLoad.m_value - distance, aLoad.m_value + distance}) {
      if (level < 0 || level >= kLoadLevels) continue;
      const auto found = aTable.m_estimates.find(
          {aService, aBatch, LoadLevel{static_cast<uint8_t>(level)}});
      if (found != aTable.m_estimates.end())
        return DecayedExtra(found->second, aNow);
    }
  }
  return 0.0;
}

}  // namespace

LoadLevel LoadLevelOf(const Resources& aUsed, const Resources& aTotal) {
  if (aTotal.m_cores <= Millicores(0)) return {};
  const int64_t level =
      aUsed.m_cores.Value() * kLoadLevels / aTotal.m_cores.Value();
  return {static_cast<uint8_t>(std::clamp<int64_t>(level, 0, kLoadLevels - 1))};
}

void LearnSlowdowns(InterferenceTable& aTable, Slowdowns aSlowdowns,
                    const KindCounts& aTasks, LoadLevel aLoad, TimePoint aNow) {
  double squares = 0.0;
  for (const auto& [kind, count] : aTasks) squares += count * count;
  if (squares <= 0.0) return;
  for (const auto& [service, slowdown] : aSlowdowns) {
    if (!std::isfinite(slowdown)) continue;
    const double expected =
        ExpectedTotalSlowdown(aTable, service, aTasks, aLoad, aNow);
    const double error = std::max(slowdown - 1.0, 0.0) - expected;
    for (const auto& [kind, count] : aTasks) {
      const double before = EstimateNear(aTable, service, kind, aLoad, aNow);
      InterferenceEstimate& estimate =
          aTable.m_estimates[{service, kind, aLoad}];
      estimate.m_extraSlowdown =
          std::max(before + kLearningRate * error * count / squares, 0.0);
      estimate.m_updated = aNow;
    }
  }
}

double ExpectedTotalSlowdown(const InterferenceTable& aTable,
                             const KindId& aService, const KindCounts& aTasks,
                             LoadLevel aLoad, TimePoint aNow) {
  double total = 0.0;
  for (const auto& [kind, count] : aTasks) {
    total += count * EstimateNear(aTable, aService, kind, aLoad, aNow);
  }
  return total;
}

double ExpectedTaskSlowdown(const InterferenceTable& aTable,
                            Slowdowns aServices, const KindId& aBatch,
                            LoadLevel aLoad, TimePoint aNow) {
  double worst = 0.0;
  for (const auto& [service, slowdown] : aServices) {
    worst = std::max(worst, EstimateNear(aTable, service, aBatch, aLoad, aNow));
  }
  return worst;
}

}  // namespace bronze
