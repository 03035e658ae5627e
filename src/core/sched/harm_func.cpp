/**
 * @file harm_func.cpp Learning and using the table of harm between images.
 */

#include "core/sched/harm_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** A load above this says no more than "much too high". */
constexpr double kMaxLoad = 0.97;
/** Evidence against harm that each pair starts with: most pairs do none. It
 *  equals two changes of a tenth of the cores. */
constexpr double kPrior = 0.02;
/** Evidence that is kept; older changes fade beyond it, as harm may change. */
constexpr double kMaxEvidence = 0.5;
/** Weights below this are noise of the measurements. */
constexpr double kNoise = 0.35;

void Grow(HarmTable& aTable, size_t aImages) {
  const size_t stride = std::max<size_t>(8, aImages * 2);
  std::vector<HarmPair> pairs(stride * stride);
  for (size_t fill = 0; fill < aTable.m_stride; ++fill) {
    for (size_t serving = 0; serving < aTable.m_stride; ++serving) {
      pairs[fill * stride + serving] =
          aTable.m_pairs[fill * aTable.m_stride + serving];
    }
  }
  aTable.m_pairs = std::move(pairs);
  aTable.m_floor.resize(stride, 0.0);
  aTable.m_stride = stride;
}

HarmPair& Pair(HarmTable& aTable, ImageIndex aFill, ImageIndex aServing) {
  return aTable.m_pairs[aFill.Value() * aTable.m_stride + aServing.Value()];
}

}  // namespace

ImageIndex ImageByName(HarmTable& aTable, const std::string& aName) {
  const auto found = aTable.m_images.find(aName);
  if (found != aTable.m_images.end()) return found->second;
  const ImageIndex index(static_cast<uint32_t>(aTable.m_images.size()));
  aTable.m_images.emplace(aName, index);
  if (aTable.m_images.size() > aTable.m_stride) {
    Grow(aTable, aTable.m_images.size());
  }
  return index;
}

namespace {

double Weight(const HarmPair& aPair) {
  return aPair.m_cross / (aPair.m_square + kPrior);
}

}  // namespace

double Harm(const HarmTable& aTable, ImageIndex aFill, ImageIndex aServing) {
  const double weight = Weight(
      aTable.m_pairs[aFill.Value() * aTable.m_stride + aServing.Value()]);
  return weight < kNoise ? 0.0 : weight;
}

void NoteTail(HarmTable& aTable, ImageIndex aServing, double aTailMs) {
  double& lowest = aTable.m_floor[aServing.Value()];
  if (lowest <= 0.0 || aTailMs < lowest) lowest = aTailMs;
}

double LoadOfTail(const HarmTable& aTable, ImageIndex aServing,
                  double aTailMs) {
  const double lowest = aTable.m_floor[aServing.Value()];
  if (lowest <= 0.0 || aTailMs <= lowest) return 0.0;
  return std::min(kMaxLoad, 1.0 - lowest / aTailMs);
}

double AddedLoad(const HarmTable& aTable, const std::vector<UsedShare>& aUsed,
                 ImageIndex aServing) {
  double sum = 0.0;
  for (const UsedShare& used : aUsed) {
    sum += Harm(aTable, used.m_image, aServing) * used.m_share;
  }
  return sum;
}

void LearnHarm(HarmTable& aTable, const std::vector<UsedShare>& aChanges,
               ImageIndex aServing, double aLoadChange) {
  double predicted = 0.0;
  for (const UsedShare& change : aChanges) {
    predicted +=
        Weight(Pair(aTable, change.m_image, aServing)) * change.m_share;
  }
  const double error = aLoadChange - predicted;
  if (!aChanges.empty()) ++aTable.m_changes;
  for (const UsedShare& change : aChanges) {
    HarmPair& pair = Pair(aTable, change.m_image, aServing);
    // What the other images do not explain is this one's.
    const double part = error + Weight(pair) * change.m_share;
    pair.m_cross += change.m_share * part;
    pair.m_square += change.m_share * change.m_share;
    if (pair.m_square <= kMaxEvidence) continue;
    const double fade = kMaxEvidence / pair.m_square;
    pair.m_cross *= fade;
    pair.m_square *= fade;
  }
}

StoredHarm ToStored(const HarmTable& aTable) {
  StoredHarm stored;
  for (const auto& [name, image] : aTable.m_images) {
    const double tail = aTable.m_floor[image.Value()];
    if (tail > 0.0) stored.m_floors.push_back({name, tail});
  }
  for (const auto& [fill, fillImage] : aTable.m_images) {
    for (const auto& [serving, servingImage] : aTable.m_images) {
      const HarmPair& pair =
          aTable.m_pairs[fillImage.Value() * aTable.m_stride +
                         servingImage.Value()];
      if (pair.m_square > 0.0) stored.m_pairs.push_back({fill, serving, pair});
    }
  }
  return stored;
}

void RestoreHarm(HarmTable& aTable, const StoredHarm& aStored) {
  for (const StoredHarm::Floor& floor : aStored.m_floors) {
    const ImageIndex image = ImageByName(aTable, floor.m_image);
    aTable.m_floor[image.Value()] = floor.m_tailMs;
  }
  for (const StoredHarm::Pair& pair : aStored.m_pairs) {
    const ImageIndex fill = ImageByName(aTable, pair.m_fill);
    const ImageIndex serving = ImageByName(aTable, pair.m_serving);
    Pair(aTable, fill, serving) = pair.m_sums;
  }
}

}  // namespace bronze::sched
