/**
 * @file authority_func.cpp How long a daemon has authority to act.
 */

#include <algorithm>

#include "core/membership/quorum_func.h"
#include "core/ownership/ownership_func.h"

namespace bronze {

namespace {

/** The table is considered unreachable after this time without an answer. */
constexpr Duration kStoreUnreachableAfter = seconds(2);

/** The time up to which a majority, including this daemon, confirms the epoch.
 */
TimePoint PeerAuthorityUntil(const OwnershipState& aState, TimePoint aNow) {
  const size_t others = MajorityOf(aState.m_row.m_members.size()) - 1;
  if (others == 0) return aNow + aState.m_row.m_times.m_confirmation;
  std::vector<TimePoint> ends;
  for (const auto& [vm, until] : aState.m_authority.m_confirmedUntil) {
    ends.push_back(until);
  }
  if (ends.size() < others) return TimePoint::min();
  const auto nth = ends.begin() + static_cast<std::ptrdiff_t>(others - 1);
  std::nth_element(ends.begin(), nth, ends.end(), std::greater<>());
  return *nth;
}

}  // namespace

Duration WithMargin(const CoordinationSettings& aSettings, Duration aDuration) {
  return aDuration + aDuration * aSettings.m_clockDriftPercent / 100 +
         aSettings.m_clockMargin;
}

bool IsStoreUnreachable(const OwnershipState& aState, TimePoint aNow) {
  const auto& contact = aState.m_authority.m_storeContact;
  return !contact || aNow - *contact >= kStoreUnreachableAfter;
}

TimePoint AuthorityUntil(const OwnershipState& aState, TimePoint aNow) {
  if (!aState.m_isMember) return TimePoint::min();
  const TimePoint byStore = aState.m_authority.m_storeUntil;
  if (!IsStoreUnreachable(aState, aNow)) return byStore;
  return std::max(byStore, PeerAuthorityUntil(aState, aNow));
}

AuthoritySource SourceOfAuthority(const OwnershipState& aState,
                                  TimePoint aNow) {
  if (AuthorityUntil(aState, aNow) <= aNow) return AuthoritySource::None;
  return aState.m_authority.m_storeUntil > aNow ? AuthoritySource::Store
                                                : AuthoritySource::Peers;
}

}  // namespace bronze
