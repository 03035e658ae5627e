/**
 * @file slot_demand_func.cpp Computes how many slots an entry VM asks for.
 */

#include "core/request/slot_demand_func.h"

#include <algorithm>
#include <cmath>

#include "core/request/queue_func.h"

namespace bronze {

namespace {

/** Target time for serving all queued short requests. */
constexpr double kQueueDrainMicros = 50'000.0;
/** Demand factor, for requests that arrive before the next grant. */
constexpr double kHeadroomFactor = 1.1;
constexpr Duration kSampleInterval = milliseconds(50);
/** Best of the three in the benchmark with an uneven demand peak. */
constexpr ForecastPolicy kForecastPolicy = ForecastPolicy::WeightedMean;
/** Rises of at most an eighth wait for the renewal each second. */
constexpr int64_t kLargeRisePart = 8;

double ShortNeed(const ClassQueue& aQueue) {
  if (aQueue.m_size == 0) return 0.0;
  const double byWork =
      std::ceil(static_cast<double>(aQueue.m_work.count()) / kQueueDrainMicros);
  return std::clamp(byWork, 1.0, static_cast<double>(aQueue.m_size));
}

bool IsLargeRise(Slots aOld, Slots aNew) {
  return (aNew - aOld).Value() * kLargeRisePart > aOld.Value();
}

}  // namespace

SlotNeed CurrentNeed(const RequestState& aState) {
  const auto& queue = aState.m_queue;
  const ClassQueue& longQueue = QueueOf(queue, KindClass::Long);
  return {static_cast<double>(aState.m_running.m_short.Value()) +
              ShortNeed(QueueOf(queue, KindClass::Short)),
          static_cast<double>(aState.m_running.m_long.Value()) +
              static_cast<double>(longQueue.m_size)};
}

SlotNeed ExpectedNeed(RequestState& aState, TimePoint aNow) {
  SlotHolderState& slots = aState.m_slots;
  if (aNow - slots.m_lastSample >= kSampleInterval) {
    const SlotNeed now = CurrentNeed(aState);
    slots.m_lastSample = aNow;
    AddSample(slots.m_shortNeed, now.m_short);
    AddSample(slots.m_longNeed, now.m_long);
  }
  return {Forecast(slots.m_shortNeed, kForecastPolicy),
          Forecast(slots.m_longNeed, kForecastPolicy)};
}

void MeasureCapacity(RequestState& aState, TimePoint aNow) {
  for (auto& [owner, link] : aState.m_slots.m_owners) {
    link.m_capacity = Slots(0);
    for (const RunnerIndex index : link.m_rows) {
      const RunnerState& runner = aState.m_runners.m_rows[index];
      if (runner.m_leaving || runner.m_excludedUntil > aNow) continue;
      link.m_capacity += runner.m_capacity;
    }
  }
}

Slots TotalCapacity(const SlotHolderState& aSlots) {
  Slots total;
  for (const auto& [owner, link] : aSlots.m_owners) total += link.m_capacity;
  return total;
}

SlotDemand TotalDemand(const RequestState& aState, const SlotNeed& aNeed) {
  // Long requests may not use the slots reserved for short ones, so those are
  // asked for in addition.
  const double reserve =
      static_cast<double>(aState.m_settings.m_shortReservePercent) / 100.0;
  const double reserved =
      aNeed.m_long * reserve / std::max(0.01, 1.0 - reserve);
  const double wantShort = std::max(aNeed.m_short * kHeadroomFactor, reserved);
  return {Slots(static_cast<int64_t>(std::ceil(wantShort))),
          Slots(static_cast<int64_t>(std::ceil(aNeed.m_long)))};
}

double SplitStart(const VmId& aSelf) {
  // Makes different entry VMs round up at different owners.
  const size_t hash = std::hash<VmId>()(aSelf);
  return static_cast<double>(hash % 1024) / 1024.0;
}

SlotDemand DemandPart(const SlotDemand& aTotal, double aFrom, double aTo,
                      double aStart) {
  const auto part = [&](Slots aSlots) {
    const auto slots = static_cast<double>(aSlots.Value());
    return Slots(static_cast<int64_t>(std::floor(slots * aTo + aStart)) -
                 static_cast<int64_t>(std::floor(slots * aFrom + aStart)));
  };
  return {part(aTotal.m_short), part(aTotal.m_long)};
}

bool HasDemandRisen(const SlotDemand& aOld, const SlotDemand& aNew) {
  return IsLargeRise(aOld.m_short, aNew.m_short) ||
         IsLargeRise(aOld.m_long, aNew.m_long);
}

}  // namespace bronze
