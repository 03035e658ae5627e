/**
 * @file kind_func.cpp Measured run time and class of each request kind.
 */

#include "core/request/kind_func.h"

#include <algorithm>

namespace bronze {

namespace {

/** A kind is short up to this mean run time and long from twice as much. */
constexpr double kShortRunMicros = 250'000.0;
/** Samples after which the measured mean replaces the configured run time. */
constexpr int64_t kEnoughSamples = 20;
/** Smoothing factor; the mean follows a 100-fold change in some 20 samples. */
constexpr double kMeanWeight = 0.1;
constexpr Duration kFirstProbeInterval = seconds(1);
/** Consecutive attempts closed at the deadline until a kind counts as slow. */
constexpr int kCutOffsForSlow = 3;
/** A rise closes half of the gap to the mean in about 70,000 samples. */
constexpr double kFloorRiseWeight = 1e-5;

KindClass MeasuredClass(const KindState& aKind) {
  // The hysteresis keeps a kind near the bound from changing its class with
  // each sample.
  const double bound = aKind.m_class == KindClass::Short ? 2.0 * kShortRunMicros
                                                         : kShortRunMicros;
  return aKind.m_meanRun > bound ? KindClass::Long : KindClass::Short;
}

}  // namespace

KindClass ClassOf(const RequestState& aState, const KindId& aKind) {
  const auto declared = aState.m_settings.m_kinds.find(aKind);
  if (declared == aState.m_settings.m_kinds.end()) return KindClass::Short;
  // A standing request holds its connection open, so its run time says nothing
  // about its class.
  if (declared->second.m_class == KindClass::Standing) {
    return KindClass::Standing;
  }
  const auto found = aState.m_kinds.find(aKind);
  if (found != aState.m_kinds.end()) return found->second.m_class;
  return declared->second.m_class;
}

Duration ExpectedRun(const RequestState& aState, const KindId& aKind) {
  const auto found = aState.m_kinds.find(aKind);
  if (found != aState.m_kinds.end() &&
      found->second.m_samples >= kEnoughSamples) {
    return Duration(static_cast<Duration::rep>(found->second.m_meanRun));
  }
  const auto declared = aState.m_settings.m_kinds.find(aKind);
  return declared == aState.m_settings.m_kinds.end()
             ? Duration::zero()
             : declared->second.m_expectedRunTime;
}

void NoteRunTime(RequestState& aState, const KindId& aKind, Duration aRunTime,
                 bool aCompleted) {
  const KindClass declared = ClassOf(aState, aKind);
  const auto [entry, isNew] = aState.m_kinds.try_emplace(aKind);
  KindState& kind = entry->second;
  if (isNew) kind.m_class = declared;
  const double run =
      static_cast<double>(std::max<int64_t>(1, aRunTime.count()));
  if (aCompleted) {
    kind.m_cutOffInRow = 0;
    kind.m_probeInterval = kFirstProbeInterval;
  } else if (++kind.m_cutOffInRow >= kCutOffsForSlow) {
    // The true run time is unknown but longer. Assume twice as much, since each
    // further attempt closed at its deadline would keep a slot busy for the
    // longest window.
    kind.m_meanRun = std::max(kind.m_meanRun, 2.0 * run);
    kind.m_samples = std::max(kind.m_samples, kEnoughSamples);
  }
  if (!aCompleted && run <= kind.m_meanRun) {
    if (kind.m_samples >= kEnoughSamples) kind.m_class = MeasuredClass(kind);
    return;
  }
  ++kind.m_samples;
  if (kind.m_samples == 1) {
    kind.m_meanRun = run;
    kind.m_floorRun = run;
  }
  // Plain mean of the first samples, exponentially weighted mean afterwards.
  const double share =
      std::max(kMeanWeight, 1.0 / static_cast<double>(kind.m_samples));
  kind.m_meanRun += share * (run - kind.m_meanRun);
  const double rise = kind.m_meanRun > kind.m_floorRun ? kFloorRiseWeight : 1.0;
  kind.m_floorRun += rise * (kind.m_meanRun - kind.m_floorRun);
  if (kind.m_samples >= kEnoughSamples) kind.m_class = MeasuredClass(kind);
}

}  // namespace bronze
