/**
 * @file usage_func.cpp Measured resource use of each kind of task.
 */

#include "core/batch/usage_func.h"

#include <algorithm>
#include <cmath>

namespace bronze {

namespace {

constexpr double kQuantile = 0.9;
// With fewer samples the declared size is used.
constexpr int64_t kMinSamples = 20;
// Lower bound of the relative step, so that the estimate follows changes.
constexpr double kSmallestStep = 0.02;

void AddSample(QuantileEstimate& aEstimate, double aSample) {
  ++aEstimate.m_samples;
  if (aEstimate.m_samples == 1) {
    aEstimate.m_value = aSample;
    return;
  }
  const double relative = std::max(
      kSmallestStep, 1.0 / std::sqrt(static_cast<double>(aEstimate.m_samples)));
  const double step = relative * std::max(aEstimate.m_value, 1.0);
  aEstimate.m_value +=
      aSample > aEstimate.m_value ? step * kQuantile : -step * (1 - kQuantile);
}

int64_t RaiseToLearned(const QuantileEstimate& aEstimate, int64_t aDeclared,
                       int64_t aLimit) {
  if (aEstimate.m_samples < kMinSamples) return aDeclared;
  const auto learned = static_cast<int64_t>(std::ceil(aEstimate.m_value));
  return std::max(aDeclared, std::min(learned, aLimit));
}

}  // namespace

Resources AtLeast(const Resources& aDeclared, const Resources& aMeasured) {
  return {std::max(aDeclared.m_cores, aMeasured.m_cores),
          std::max(aDeclared.m_memory, aMeasured.m_memory),
          aDeclared.m_accelerators};
}

void LearnUsage(UsageTable& aTable, const KindId& aKind,
                const Resources& aUsed) {
  KindUsage& usage = aTable.m_kinds[aKind];
  AddSample(usage.m_cores, static_cast<double>(aUsed.m_cores.Value()));
  AddSample(usage.m_memory, static_cast<double>(aUsed.m_memory.Value()));
}

Resources SizeToReserve(const UsageTable& aTable, const KindId& aKind,
                        const Resources& aDeclared, const Resources& aLimit) {
  const auto found = aTable.m_kinds.find(aKind);
  if (found == aTable.m_kinds.end()) return aDeclared;
  Resources size = aDeclared;
  size.m_cores = Millicores(RaiseToLearned(found->second.m_cores,
                                           aDeclared.m_cores.Value(),
                                           aLimit.m_cores.Value()));
  size.m_memory = Mebibytes(RaiseToLearned(found->second.m_memory,
                                           aDeclared.m_memory.Value(),
                                           aLimit.m_memory.Value()));
  return size;
}

}  // namespace bronze
