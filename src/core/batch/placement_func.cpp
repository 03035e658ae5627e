/**
 * @file placement_func.cpp Choice of a rack and of a worker for a task.
 */

#include "core/batch/placement_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bronze {

namespace {

// Weights of PlacementScore(), relative to the free share of a worker (0 to 1).
constexpr double kImbalanceWeight = 0.25;  // Free cores against free memory.
constexpr double kIdleAcceleratorPenalty = 1.0;
constexpr double kSlowdownWeight = 4.0;
constexpr double kFailurePenalty = 0.5;  // Per recent failure of the worker.
constexpr double kAvoidPenalty = 3.0;    // The task has failed there before.
constexpr int kPercent = 100;

double Fraction(int64_t aPart, int64_t aWhole) {
  return aWhole <= 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

bool FitsRack(const RackSummary& aRack, const Resources& aNeed) {
  return Fits(aNeed, aRack.m_largestFree);
}

std::optional<size_t> SampleRack(std::span<const RackSummary> aRacks,
                                 const Resources& aNeed,
                                 std::minstd_rand& aRandom) {
  // If neither choice fits, the others are tried from a random start, so that
  // the last rack with room in a nearly full cluster is found.
  std::uniform_int_distribution<size_t> any(0, aRacks.size() - 1);
  const size_t first = any(aRandom);
  const size_t second = any(aRandom);
  const bool firstFits = FitsRack(aRacks[first], aNeed);
  const bool secondFits = FitsRack(aRacks[second], aNeed);
  if (firstFits && secondFits) {
    return RackHeadroom(aRacks[first], aNeed) >=
                   RackHeadroom(aRacks[second], aNeed)
               ? first
               : second;
  }
  if (firstFits) return first;
  if (secondFits) return second;
  for (size_t step = 1; step < aRacks.size(); ++step) {
    const size_t index = (first + step) % aRacks.size();
    if (FitsRack(aRacks[index], aNeed)) return index;
  }
  return std::nullopt;
}

std::optional<size_t> BestRack(std::span<const RackSummary> aRacks,
                               const Resources& aNeed) {
  std::optional<size_t> best;
  for (size_t i = 0; i < aRacks.size(); ++i) {
    if (!FitsRack(aRacks[i], aNeed)) continue;
    if (!best ||
        RackHeadroom(aRacks[i], aNeed) > RackHeadroom(aRacks[*best], aNeed)) {
      best = i;
    }
  }
  return best;
}

}  // namespace

Resources BatchLimit(const Resources& aTotal, int64_t aSharePercent) {
  // Services use no accelerators, so batch tasks may reserve all of them.
  return {Millicores(aTotal.m_cores.Value() * aSharePercent / kPercent),
          Mebibytes(aTotal.m_memory.Value() * aSharePercent / kPercent),
          aTotal.m_accelerators};
}

bool CanPlace(const Worker& aWorker, const PlacementRequest& aRequest) {
  return aWorker.m_state == VmState::Live && !aWorker.m_draining &&
         !aWorker.m_health.m_quarantined && aWorker.m_reachable &&
         Fits(aRequest.m_need, aWorker.m_limit - aWorker.m_reserved);
}

double PlacementScore(const Worker& aWorker, const PlacementRequest& aRequest,
                      double aSlowdown) {
  const Resources left = aWorker.m_limit - aWorker.m_reserved - aRequest.m_need;
  const double cores =
      Fraction(left.m_cores.Value(), aWorker.m_limit.m_cores.Value());
  const double memory =
      Fraction(left.m_memory.Value(), aWorker.m_limit.m_memory.Value());
  double score =
      std::min(cores, memory) + kImbalanceWeight * std::abs(cores - memory);
  const bool needsAccelerator =
      aRequest.m_need.m_accelerators > Accelerators(0);
  if (!needsAccelerator && aWorker.m_limit.m_accelerators > Accelerators(0)) {
    score += kIdleAcceleratorPenalty;
  }
  score += kSlowdownWeight * (aSlowdown - 1.0);
  score += kFailurePenalty * std::min(aWorker.m_health.m_failuresInRow, 4);
  if (aRequest.m_avoid == aWorker.m_id) score += kAvoidPenalty;
  return score;
}

double RackHeadroom(const RackSummary& aRack, const Resources& aNeed) {
  const auto times = [](int64_t aFree, int64_t aOne) {
    return aOne <= 0 ? HUGE_VAL
                     : static_cast<double>(aFree) / static_cast<double>(aOne);
  };
  const double fit =
      std::min({times(aRack.m_free.m_cores.Value(), aNeed.m_cores.Value()),
                times(aRack.m_free.m_memory.Value(), aNeed.m_memory.Value()),
                times(aRack.m_free.m_accelerators.Value(),
                      aNeed.m_accelerators.Value())});
  // Tasks without accelerators prefer racks without free ones.
  const bool wastes = aNeed.m_accelerators == Accelerators(0) &&
                      aRack.m_free.m_accelerators > Accelerators(0);
  return wastes ? fit / 4 : fit;
}

std::optional<size_t> ChooseRack(std::span<const RackSummary> aRacks,
                                 const Resources& aNeed, PlacePolicy aPolicy,
                                 std::minstd_rand& aRandom) {
  if (aRacks.empty()) return std::nullopt;
  switch (aPolicy) {
    case PlacePolicy::Sampled:
      return SampleRack(aRacks, aNeed, aRandom);
    case PlacePolicy::FullScan:
      return BestRack(aRacks, aNeed);
    case PlacePolicy::FirstFit: {
      const auto found = std::find_if(
          aRacks.begin(), aRacks.end(),
          [&](const RackSummary& aRack) { return FitsRack(aRack, aNeed); });
      if (found == aRacks.end()) return std::nullopt;
      return static_cast<size_t>(found - aRacks.begin());
    }
  }
  return std::nullopt;
}

NearestSize FindNearestSize(std::span<const Resources> aLimits,
                            const Resources& aNeed) {
  NearestSize nearest;
  double best = -1.0;
  for (const Resources& limit : aLimits) {
    if (Fits(aNeed, limit)) return {true, aNeed};
    const Resources size{std::min(aNeed.m_cores, limit.m_cores),
                         std::min(aNeed.m_memory, limit.m_memory),
                         std::min(aNeed.m_accelerators, limit.m_accelerators)};
    const auto kept = [](int64_t aPart, int64_t aWhole) {
      return aWhole <= 0 ? 1.0 : Fraction(aPart, aWhole);
    };
    const double covers =
        kept(size.m_cores.Value(), aNeed.m_cores.Value()) *
        kept(size.m_memory.Value(), aNeed.m_memory.Value()) *
        kept(size.m_accelerators.Value(), aNeed.m_accelerators.Value());
    // A size with none of a needed resource covers 0 and does not help the
    // caller, but it is still returned if there is no better one.
    if (covers > best) {
      best = covers;
      nearest.m_size = size;
    }
  }
  return nearest;
}

}  // namespace bronze
