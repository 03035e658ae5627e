/**
 * @file interference_func.cpp Learns and applies the table of interference
 * between images.
 */

#include "core/sched/interference_func.h"

#include <algorithm>

#include "core/sched/stored_size_func.h"

namespace bronze::sched {

namespace {

/** Upper limit of a load; higher values mean no more than "far too high". */
constexpr double kMaxLoad = 0.97;
/** Weight of the initial assumption that a pair does not interfere, which
 *  holds for most pairs. It equals two changes of a tenth of the cores. */
constexpr double kPriorEvidence = 0.02;
/** Limit of the weight of past changes: older ones fade beyond it, as the
 *  interference of a pair may change. */
constexpr double kMaxEvidence = 0.5;
/** Lower values are measurement noise and count as 0. */
constexpr double kMinWeight = 0.35;

void GrowTable(ImageInterferenceTable& aTable, size_t aImages) {
  const size_t stride = std::max<size_t>(8, aImages * 2);
  for (auto* pairs : {&aTable.m_pairs, &aTable.m_sharedPairs}) {
    std::vector<InterferenceSums> grown(stride * stride);
    for (size_t bestEffort = 0; bestEffort < aTable.m_stride; ++bestEffort) {
      for (size_t latencyCritical = 0; latencyCritical < aTable.m_stride;
           ++latencyCritical) {
        grown[bestEffort * stride + latencyCritical] =
            (*pairs)[bestEffort * aTable.m_stride + latencyCritical];
      }
    }
    *pairs = std::move(grown);
  }
  aTable.m_lowestTailMs.resize(stride, 0.0);
  aTable.m_stride = stride;
}

InterferenceSums& Pair(ImageInterferenceTable& aTable, ImageIndex aBestEffort,
                       ImageIndex aLatencyCritical) {
  return aTable.m_pairs[aBestEffort.Value() * aTable.m_stride +
                        aLatencyCritical.Value()];
}

}  // namespace

ImageIndex FindOrAddImage(ImageInterferenceTable& aTable,
                          const std::string& aName) {
  const auto found = aTable.m_images.find(aName);
  if (found != aTable.m_images.end()) return found->second;
  const ImageIndex index(static_cast<uint32_t>(aTable.m_images.size()));
  aTable.m_images.emplace(aName, index);
  if (aTable.m_images.size() > aTable.m_stride) {
    GrowTable(aTable, aTable.m_images.size());
  }
  return index;
}

namespace {

double Weight(const ImageInterferenceTable& aTable, ImageIndex aBestEffort,
              ImageIndex aLatencyCritical) {
  const size_t at =
      aBestEffort.Value() * aTable.m_stride + aLatencyCritical.Value();
  const InterferenceSums& own = aTable.m_pairs[at];
  const InterferenceSums& shared = aTable.m_sharedPairs[at];
  return (own.m_cross + shared.m_cross) /
         (own.m_square + shared.m_square + kPriorEvidence);
}

}  // namespace

double InterferenceOf(const ImageInterferenceTable& aTable,
                      ImageIndex aBestEffort, ImageIndex aLatencyCritical) {
  const double weight = Weight(aTable, aBestEffort, aLatencyCritical);
  return weight < kMinWeight ? 0.0 : weight;
}

void RecordTail(ImageInterferenceTable& aTable, ImageIndex aLatencyCritical,
                double aTailMs) {
  double& lowest = aTable.m_lowestTailMs[aLatencyCritical.Value()];
  if (lowest <= 0.0 || aTailMs < lowest) lowest = aTailMs;
}

double LoadFromTail(const ImageInterferenceTable& aTable,
                    ImageIndex aLatencyCritical, double aTailMs) {
  const double lowest = aTable.m_lowestTailMs[aLatencyCritical.Value()];
  if (lowest <= 0.0 || aTailMs <= lowest) return 0.0;
  return std::min(kMaxLoad, 1.0 - lowest / aTailMs);
}

double AddedLoad(const ImageInterferenceTable& aTable,
                 const std::vector<UsedShare>& aUsed,
                 ImageIndex aLatencyCritical) {
  double sum = 0.0;
  for (const UsedShare& used : aUsed) {
    sum +=
        InterferenceOf(aTable, used.m_image, aLatencyCritical) * used.m_share;
  }
  return sum;
}

void LearnInterference(ImageInterferenceTable& aTable,
                       const std::vector<UsedShare>& aChanges,
                       ImageIndex aLatencyCritical, double aLoadChange) {
  double predicted = 0.0;
  for (const UsedShare& change : aChanges) {
    predicted +=
        Weight(aTable, change.m_image, aLatencyCritical) * change.m_share;
  }
  const double error = aLoadChange - predicted;
  if (!aChanges.empty()) ++aTable.m_changes;
  for (const UsedShare& change : aChanges) {
    InterferenceSums& pair = Pair(aTable, change.m_image, aLatencyCritical);
    // Attributes to this image what the others do not explain.
    const double part =
        error +
        Weight(aTable, change.m_image, aLatencyCritical) * change.m_share;
    pair.m_cross += change.m_share * part;
    pair.m_square += change.m_share * change.m_share;
    if (pair.m_square <= kMaxEvidence) continue;
    const double fade = kMaxEvidence / pair.m_square;
    pair.m_cross *= fade;
    pair.m_square *= fade;
  }
}

StoredInterference ToStored(const ImageInterferenceTable& aTable,
                            size_t aMaxBytes) {
  StoredInterference stored;
  for (const auto& [bestEffort, bestEffortImage] : aTable.m_images) {
    for (const auto& [latencyCritical, latencyCriticalImage] :
         aTable.m_images) {
      const InterferenceSums& pair =
          aTable.m_pairs[bestEffortImage.Value() * aTable.m_stride +
                         latencyCriticalImage.Value()];
      if (pair.m_square > 0.0)
        stored.m_pairs.push_back({bestEffort, latencyCritical, pair});
    }
  }
  for (const auto& [name, image] : aTable.m_images) {
    const double tail = aTable.m_lowestTailMs[image.Value()];
    if (tail > 0.0) stored.m_lowestTails.push_back({name, tail});
  }
  if (StoredBytesBound(stored) <= aMaxBytes) return stored;
  // Keeps what most measurements stand behind; the rest is learned again.
  std::stable_sort(stored.m_pairs.begin(), stored.m_pairs.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.m_sums.m_square > aRight.m_sums.m_square;
                   });
  while (StoredBytesBound(stored) > aMaxBytes) {
    auto& pairs = stored.m_pairs;
    auto& tails = stored.m_lowestTails;
    if (!pairs.empty()) pairs.resize(pairs.size() / 2);
    if (pairs.empty() && !tails.empty()) tails.resize(tails.size() / 2);
    if (pairs.empty() && tails.empty()) break;
  }
  return stored;
}

void RestoreInterference(ImageInterferenceTable& aTable,
                         const StoredInterference& aStored) {
  for (const StoredInterference::LowestTail& entry : aStored.m_lowestTails) {
    const ImageIndex image = FindOrAddImage(aTable, entry.m_image);
    aTable.m_lowestTailMs[image.Value()] = entry.m_tailMs;
  }
  for (const StoredInterference::Pair& pair : aStored.m_pairs) {
    const ImageIndex bestEffort =
        FindOrAddImage(aTable, pair.m_bestEffortImage);
    const ImageIndex latencyCritical =
        FindOrAddImage(aTable, pair.m_latencyCriticalImage);
    Pair(aTable, bestEffort, latencyCritical) = pair.m_sums;
  }
}

void ShareInterference(ImageInterferenceTable& aTable,
                       const std::map<CellId, StoredInterference>& aOthers) {
  std::fill(aTable.m_sharedPairs.begin(), aTable.m_sharedPairs.end(),
            InterferenceSums());
  for (const auto& [cell, stored] : aOthers) {
    for (const StoredInterference::LowestTail& entry : stored.m_lowestTails) {
      RecordTail(aTable, FindOrAddImage(aTable, entry.m_image), entry.m_tailMs);
    }
    for (const StoredInterference::Pair& pair : stored.m_pairs) {
      const ImageIndex bestEffort =
          FindOrAddImage(aTable, pair.m_bestEffortImage);
      const ImageIndex latencyCritical =
          FindOrAddImage(aTable, pair.m_latencyCriticalImage);
      InterferenceSums& sums =
          aTable.m_sharedPairs[bestEffort.Value() * aTable.m_stride +
                               latencyCritical.Value()];
      sums.m_cross += pair.m_sums.m_cross;
      sums.m_square += pair.m_sums.m_square;
    }
  }
}

}  // namespace bronze::sched
