/**
 * @file harm_func.cpp Learning and using the table of harm between images.
 */

#include "core/sched/harm_func.h"

#include <algorithm>
#include <cmath>

namespace bronze::sched {

namespace {

/** Share of a prediction's error that one measurement corrects. Half a second
 *  lies between measurements, and tails are rough. */
constexpr double kLearningRate = 0.35;
/** Bounds the correction when the shares are tiny. */
constexpr double kShareFloor = 0.004;
/** log(tail / baseline) above this says no more than "much too high". */
constexpr double kMaxLogRatio = 3.0;
constexpr double kMaxWeight = 60.0;

void Grow(HarmTable& aTable, size_t aImages) {
  const size_t stride = std::max<size_t>(8, aImages * 2);
  std::vector<double> weights(stride * stride, 0.0);
  for (size_t fill = 0; fill < aTable.m_stride; ++fill) {
    for (size_t serving = 0; serving < aTable.m_stride; ++serving) {
      weights[fill * stride + serving] =
          aTable.m_weights[fill * aTable.m_stride + serving];
    }
  }
  aTable.m_weights = std::move(weights);
  aTable.m_stride = stride;
}

double& Weight(HarmTable& aTable, ImageIndex aFill, ImageIndex aServing) {
  return aTable.m_weights[aFill.Value() * aTable.m_stride + aServing.Value()];
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

double Harm(const HarmTable& aTable, ImageIndex aFill, ImageIndex aServing) {
  return aTable.m_weights[aFill.Value() * aTable.m_stride + aServing.Value()];
}

double LogFactor(const HarmTable& aTable, const std::vector<UsedShare>& aUsed,
                 ImageIndex aServing) {
  double sum = 0.0;
  for (const UsedShare& used : aUsed) {
    sum += Harm(aTable, used.m_image, aServing) * used.m_share;
  }
  return sum;
}

void LearnHarm(HarmTable& aTable, const std::vector<UsedShare>& aUsed,
               ImageIndex aServing, double aLogRatio) {
  double squares = 0.0;
  for (const UsedShare& used : aUsed) squares += used.m_share * used.m_share;
  if (squares <= 0.0) return;
  const double measured = std::clamp(aLogRatio, -kMaxLogRatio, kMaxLogRatio);
  const double error = measured - LogFactor(aTable, aUsed, aServing);
  for (const UsedShare& used : aUsed) {
    double& weight = Weight(aTable, used.m_image, aServing);
    weight += kLearningRate * error * used.m_share / (squares + kShareFloor);
    weight = std::clamp(weight, 0.0, kMaxWeight);
  }
}

}  // namespace bronze::sched
