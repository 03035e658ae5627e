/**
 * @file slot_split_func.cpp Splits the slots of an owner among the entry VMs.
 */

#include "core/request/slot_split_func.h"

#include <algorithm>
#include <numeric>

namespace bronze {

namespace {

/** Of the slots that nobody needs, 1 / this is granted ahead of demand. */
constexpr int64_t kSpareDivisor = 2;

/** Adds max-min fair parts of aTotal to aShares. @return the rest. */
int64_t SplitMaxMin(int64_t aTotal, const std::vector<int64_t>& aDemands,
                    std::vector<int64_t>& aShares) {
  std::vector<size_t> order(aDemands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t aLeft, size_t aRight) {
                     return aDemands[aLeft] < aDemands[aRight];
                   });
  int64_t left = std::max<int64_t>(0, aTotal);
  for (size_t i = 0; i < order.size(); ++i) {
    const auto others = static_cast<int64_t>(order.size() - i);
    const int64_t given = std::min(aDemands[order[i]], left / others);
    aShares[order[i]] += given;
    left -= given;
  }
  return left;
}

std::vector<SlotShare> SplitEqually(int64_t aTotal, size_t aCount) {
  std::vector<int64_t> shares(aCount);
  SplitMaxMin(aTotal, std::vector<int64_t>(aCount, aTotal), shares);
  std::vector<SlotShare> result;
  result.reserve(aCount);
  for (const int64_t share : shares) {
    result.push_back({Slots(share), Slots(share)});
  }
  return result;
}

}  // namespace

std::vector<SlotShare> SplitSlots(Slots aTotal,
                                  const std::vector<SlotDemand>& aDemands,
                                  const RequestSettings& aSettings) {
  const size_t count = aDemands.size();
  if (count == 0) return {};
  const int64_t total = aTotal.Value();
  if (aSettings.m_slotPolicy == SlotPolicy::Fixed) {
    return SplitEqually(total, count);
  }
  std::vector<int64_t> demands(count);
  std::vector<int64_t> shares(count);
  for (size_t i = 0; i < count; ++i) demands[i] = aDemands[i].m_short.Value();
  const int64_t afterShort = SplitMaxMin(total, demands, shares);
  for (size_t i = 0; i < count; ++i) demands[i] = aDemands[i].m_long.Value();
  const int64_t longLimit =
      total - (total * aSettings.m_shortReservePercent + 99) / 100;
  const int64_t forLong = std::min(afterShort, longLimit);
  const int64_t left =
      afterShort - forLong + SplitMaxMin(forLong, demands, shares);
  int64_t spare = left / kSpareDivisor;
  std::vector<SlotShare> result;
  result.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    const int64_t more = spare / static_cast<int64_t>(count - i);
    spare -= more;
    result.push_back({Slots(shares[i]), Slots(shares[i] + more)});
  }
  return result;
}

}  // namespace bronze
