/**
 * @file ownership_func.cpp Queries on units.
 */

#include "core/ownership/ownership_func.h"

#include <algorithm>

#include "core/ownership/ownership_internal.h"

namespace bronze {

namespace {

bool IsReleased(const OwnershipState& aState, const VmId& aOwner,
                const UnitId& aUnit, Epoch aEpoch) {
  const auto row = aState.m_releasedByRow.find(aOwner);
  if (row != aState.m_releasedByRow.end() && row->second >= aEpoch) return true;
  const auto owner = aState.m_releasedByMessage.find(aOwner);
  if (owner == aState.m_releasedByMessage.end()) return false;
  const auto unit = owner->second.find(aUnit);
  return unit != owner->second.end() && unit->second >= aEpoch;
}

}  // namespace

bool IsBlockedBy(const OwnershipState& aState,
                 const EarlierEpochState& aEarlier, const UnitId& aUnit,
                 TimePoint aNow) {
  const auto acted = aState.m_actedThrough.find(aUnit);
  if (acted != aState.m_actedThrough.end() &&
      acted->second >= aEarlier.m_row.m_epoch) {
    return false;
  }
  const VmId owner = OwnerIn(aEarlier.m_assignment, aUnit);
  // An earlier process of this VM has ended, so it no longer acts.
  if (!owner.IsValid() || owner == aState.m_self) return false;
  return !IsReleased(aState, owner, aUnit, aEarlier.m_row.m_epoch) &&
         !IsSettled(aState, aEarlier, aNow);
}

bool IsBlocked(const OwnershipState& aState, const UnitId& aUnit,
               TimePoint aNow) {
  return std::any_of(aState.m_earlier.begin(), aState.m_earlier.end(),
                     [&](const EarlierEpochState& aEarlier) {
                       return IsBlockedBy(aState, aEarlier, aUnit, aNow);
                     });
}

bool MayAct(const OwnershipState& aState, const UnitId& aUnit, TimePoint aNow) {
  const auto found = aState.m_units.find(aUnit);
  return found != aState.m_units.end() && found->second == UnitState::Acting &&
         AuthorityUntil(aState, aNow) > aNow;
}

VmId OwnerOf(const OwnershipState& aState, const UnitId& aUnit) {
  return OwnerIn(aState.m_assignment, aUnit);
}

bool IsSettled(const OwnershipState& aState, const EarlierEpochState& aEarlier,
               TimePoint aNow) {
  const EpochTimes& times = aEarlier.m_row.m_times;
  return aNow >= aEarlier.m_supersededAt +
                     WithMargin(aState.m_settings, times.m_lease) &&
         aEarlier.m_majorityLostAt &&
         aNow >= *aEarlier.m_majorityLostAt +
                     WithMargin(aState.m_settings, times.m_confirmation);
}

std::vector<EarlierEpoch> UnsettledForProposal(const OwnershipState& aState,
                                               TimePoint aNow) {
  std::vector<EarlierEpoch> unsettled;
  for (const EarlierEpochState& earlier : aState.m_earlier) {
    if (!IsSettled(aState, earlier, aNow)) unsettled.push_back(earlier.m_row);
  }
  const EpochRow& row = aState.m_row;
  if (row.m_epoch > Epoch()) {
    unsettled.push_back({row.m_epoch, row.m_members, row.m_times});
  }
  return unsettled;
}

LeaseRow MakeLeaseRow(const OwnershipState& aState, CommitSequence aSequence,
                      ConfigVersion aConfigHeld) {
  LeaseRow row;
  row.m_vm = aState.m_self;
  row.m_incarnation = aState.m_incarnation;
  row.m_epoch = aState.m_row.m_epoch;
  row.m_sequence = aSequence;
  row.m_configHeld = aConfigHeld;
  // A daemon that has adopted an epoch no longer acts in earlier ones.
  const uint64_t epoch = aState.m_row.m_epoch.Value();
  row.m_releasedThrough =
      aState.m_allReleased ? Epoch(epoch) : Epoch(epoch == 0 ? 0 : epoch - 1);
  return row;
}

std::vector<VmId> LeaseRowsToRead(const OwnershipState& aState,
                                  TimePoint aNow) {
  std::set<VmId> owners;
  for (const auto& [unit, unitState] : aState.m_units) {
    if (unitState != UnitState::Waiting) continue;
    for (const EarlierEpochState& earlier : aState.m_earlier) {
      if (IsBlockedBy(aState, earlier, unit, aNow)) {
        owners.insert(OwnerIn(earlier.m_assignment, unit));
      }
    }
  }
  return {owners.begin(), owners.end()};
}

}  // namespace bronze
