/**
 * @file ownership_cmd.cpp Commands on authority and units.
 */

#include "core/ownership/ownership_cmd.h"

#include <algorithm>

#include "core/membership/quorum_func.h"
#include "core/ownership/ownership_func.h"
#include "core/ownership/ownership_internal.h"

namespace bronze {

namespace {

/** Whether the member is known to have stopped confirming the epoch. */
bool HasDeparted(const OwnershipState& aState, const Member& aMember,
                 Epoch aEpoch) {
  if (aState.m_gone.contains(aMember.m_vm)) return true;
  if (aMember.m_vm == aState.m_self) return aState.m_row.m_epoch > aEpoch;
  const auto found = aState.m_peers.find(aMember.m_vm);
  if (found == aState.m_peers.end()) return false;
  const PeerEpoch& peer = found->second;
  // A later incarnation of a VM means that the earlier one has ended.
  if (peer.m_incarnation > aMember.m_incarnation) return true;
  return peer.m_incarnation == aMember.m_incarnation && peer.m_epoch > aEpoch;
}

void UpdateDeparted(const OwnershipState& aState, EarlierEpochState& aEarlier,
                    TimePoint aNow) {
  const auto& members = aEarlier.m_row.m_members;
  for (const Member& member : members) {
    if (HasDeparted(aState, member, aEarlier.m_row.m_epoch)) {
      aEarlier.m_departed.insert(member.m_vm);
    }
  }
  if (!aEarlier.m_majorityLostAt &&
      aEarlier.m_departed.size() >= BlockingCountOf(members.size())) {
    aEarlier.m_majorityLostAt = aNow;
  }
}

void UpdateAllDeparted(OwnershipState& aState, TimePoint aNow) {
  for (EarlierEpochState& earlier : aState.m_earlier) {
    UpdateDeparted(aState, earlier, aNow);
  }
}

void RecordPeerEpoch(OwnershipState& aState, const VmId& aVm,
                     Incarnation aIncarnation, Epoch aEpoch, TimePoint aNow) {
  PeerEpoch& peer = aState.m_peers[aVm];
  if (aIncarnation < peer.m_incarnation) return;
  if (aIncarnation == peer.m_incarnation && aEpoch <= peer.m_epoch) return;
  peer = {aIncarnation, aEpoch};
  UpdateAllDeparted(aState, aNow);
}

std::vector<EarlierEpochState> MakeEarlier(const OwnershipState& aState,
                                           const EpochRow& aRow,
                                           TimePoint aNow) {
  std::vector<EarlierEpochState> result;
  for (const EarlierEpoch& row : aRow.m_unsettled) {
    const auto known =
        std::find_if(aState.m_earlier.begin(), aState.m_earlier.end(),
                     [&](const auto& aKnown) {
                       return aKnown.m_row.m_epoch == row.m_epoch;
                     });
    if (known != aState.m_earlier.end()) {
      result.push_back(*known);
    } else {
      result.push_back({row, AssignUnits(row.m_members), aNow, {}, {}});
    }
  }
  return result;
}

std::set<UnitId> OwnedUnits(const OwnershipState& aState) {
  std::set<UnitId> owned;
  if (!aState.m_isMember) return owned;
  const auto addIfOwned = [&](const UnitId& aUnit) {
    if (OwnerOf(aState, aUnit) == aState.m_self) owned.insert(aUnit);
  };
  for (const UnitId& unit : aState.m_listed) addIfOwned(unit);
  for (uint16_t shard = 0; shard < kShardCount; ++shard) {
    addIfOwned(ShardUnit(UnitKind::Team, ShardId(shard)));
    addIfOwned(ShardUnit(UnitKind::Key, ShardId(shard)));
  }
  return owned;
}

/** Drops the units that self no longer owns and adds the new ones. */
void RefreshUnits(OwnershipState& aState, OwnershipEffects& aEffects) {
  const std::set<UnitId> owned = OwnedUnits(aState);
  std::erase_if(aState.m_units, [&](const auto& aItem) {
    const auto& [unit, unitState] = aItem;
    if (owned.contains(unit)) return false;
    if (unitState == UnitState::Acting) aEffects.emplace_back(UnitLost{unit});
    const VmId successor = OwnerOf(aState, unit);
    if (successor.IsValid() && successor != aState.m_self) {
      aState.m_pendingReleases[successor].insert(unit);
    }
    return true;
  });
  for (const UnitId& unit : owned) {
    aState.m_units.try_emplace(
        unit, aState.m_allReleased ? UnitState::Released : UnitState::Waiting);
  }
}

/** Drops releases of epochs that are older than all unsettled ones. Releases of
 * epochs after the adopted one stay: a message may arrive before the epoch row
 * that it refers to. */
void PruneReleases(OwnershipState& aState) {
  const auto& unsettled = aState.m_row.m_unsettled;
  const Epoch first =
      unsettled.empty() ? aState.m_row.m_epoch : unsettled.front().m_epoch;
  for (auto& [vm, releases] : aState.m_releasedByMessage) {
    std::erase_if(releases,
                  [&](const auto& aItem) { return aItem.second < first; });
  }
  std::erase_if(aState.m_releasedByMessage,
                [](const auto& aItem) { return aItem.second.empty(); });
}

/** Sends the releases that are still being repeated to the owners in the new
 * epoch. A unit that self owns again must not be released with the new epoch's
 * number. */
void RedirectReleases(OwnershipState& aState) {
  std::map<VmId, std::set<UnitId>> redirected;
  for (const auto& [to, units] : aState.m_pendingReleases) {
    for (const UnitId& unit : units) {
      const VmId successor = OwnerOf(aState, unit);
      if (successor.IsValid() && successor != aState.m_self) {
        redirected[successor].insert(unit);
      }
    }
  }
  aState.m_pendingReleases = std::move(redirected);
}

void EmitReleases(OwnershipState& aState, TimePoint aNow,
                  OwnershipEffects& aEffects) {
  for (const auto& [to, units] : aState.m_pendingReleases) {
    aEffects.emplace_back(SendRelease{to, {units.begin(), units.end()}});
  }
  aState.m_nextRelease = aNow + aState.m_settings.m_heartbeatInterval;
}

/** Starts to send the pending releases. They are repeated for one lease
 * duration: after that the new owners act without a release. */
void StartReleases(OwnershipState& aState, TimePoint aNow, Counters& aCounters,
                   OwnershipEffects& aEffects) {
  for (const auto& [to, units] : aState.m_pendingReleases) {
    Count(aCounters, CounterId::UnitsReleased, units.size());
  }
  aState.m_repeatReleasesUntil =
      aNow + WithMargin(aState.m_settings, aState.m_row.m_times.m_lease);
  EmitReleases(aState, aNow, aEffects);
}

void StartActing(OwnershipState& aState, TimePoint aNow, Counters& aCounters,
                 OwnershipEffects& aEffects) {
  for (auto& [unit, unitState] : aState.m_units) {
    if (unitState != UnitState::Waiting) continue;
    if (IsBlocked(aState, unit, aNow)) continue;
    unitState = UnitState::Acting;
    const bool fromOther = std::any_of(
        aState.m_earlier.begin(), aState.m_earlier.end(),
        [&, &owned = unit](const EarlierEpochState& aEarlier) {
          return OwnerIn(aEarlier.m_assignment, owned) != aState.m_self;
        });
    if (fromOther) Count(aCounters, CounterId::UnitsTakenOver);
    aEffects.emplace_back(UnitAcquired{unit});
  }
}

void ReportAuthority(OwnershipState& aState, TimePoint aNow,
                     Counters& aCounters, OwnershipEffects& aEffects) {
  Authority& authority = aState.m_authority;
  const AuthoritySource source = SourceOfAuthority(aState, aNow);
  const bool valid = source != AuthoritySource::None;
  const bool byPeers = source == AuthoritySource::Peers;
  if (byPeers && !authority.m_wasByPeers) {
    Count(aCounters, CounterId::AuthorityByPeers);
  }
  authority.m_wasByPeers = byPeers;
  if (valid == authority.m_wasValid) return;
  authority.m_wasValid = valid;
  if (!valid) Count(aCounters, CounterId::AuthorityLapsed);
  aEffects.emplace_back(AuthorityChanged{valid});
}

/** Sets units that self keeps back to Waiting if another member may have owned
 * them in an epoch in between that self did not adopt. Their state must then be
 * read from the table again. */
void RecheckKeptUnits(OwnershipState& aState, TimePoint aNow,
                      OwnershipEffects& aEffects) {
  for (auto& [unit, unitState] : aState.m_units) {
    if (unitState != UnitState::Acting || !IsBlocked(aState, unit, aNow)) {
      continue;
    }
    unitState = UnitState::Waiting;
    aEffects.emplace_back(UnitLost{unit});
  }
}

}  // namespace

void SetListedUnits(OwnershipState& aState,
                    const std::vector<RunnerId>& aRunners,
                    const std::vector<RackId>& aRacks,
                    OwnershipEffects& aEffects) {
  aState.m_listed.clear();
  for (const RunnerId& id : aRunners) aState.m_listed.insert(RunnerUnit(id));
  for (const RackId& id : aRacks) aState.m_listed.insert(RackUnit(id));
  RefreshUnits(aState, aEffects);
}

void AdoptEpoch(OwnershipState& aState, const EpochRow& aRow, TimePoint aNow,
                Counters& aCounters, OwnershipEffects& aEffects) {
  if (aRow.m_epoch <= aState.m_row.m_epoch) return;
  for (const auto& [unit, unitState] : aState.m_units) {
    if (unitState != UnitState::Waiting) {
      aState.m_actedThrough[unit] = aState.m_row.m_epoch;
    }
  }
  aState.m_earlier = MakeEarlier(aState, aRow, aNow);
  aState.m_row = aRow;
  aState.m_assignment = AssignUnits(aRow.m_members);
  const Member* own = FindMember(aRow.m_members, aState.m_self);
  aState.m_isMember =
      own != nullptr && own->m_incarnation == aState.m_incarnation;
  aState.m_authority.m_confirmedUntil.clear();
  if (!aState.m_isMember) aState.m_authority.m_storeUntil = TimePoint::min();
  UpdateAllDeparted(aState, aNow);
  PruneReleases(aState);
  RedirectReleases(aState);
  RefreshUnits(aState, aEffects);
  RecheckKeptUnits(aState, aNow, aEffects);
  StartReleases(aState, aNow, aCounters, aEffects);
  StartActing(aState, aNow, aCounters, aEffects);
}

void CommitAcknowledged(OwnershipState& aState, Epoch aEpoch, TimePoint aSent,
                        TimePoint aNow) {
  StoreAnswered(aState, aNow);
  if (aEpoch != aState.m_row.m_epoch || !aState.m_isMember) return;
  TimePoint& until = aState.m_authority.m_storeUntil;
  until = std::max(until, aSent + aState.m_row.m_times.m_lease);
}

void StoreAnswered(OwnershipState& aState, TimePoint aNow) {
  aState.m_authority.m_storeContact = aNow;
}

void HeartbeatsSent(OwnershipState& aState, HeartbeatSequence aSequence,
                    TimePoint aNow) {
  auto& sent = aState.m_authority.m_sent;
  sent.push_back({aSequence, aNow});
  while (sent.front().m_sent + aState.m_row.m_times.m_confirmation < aNow) {
    sent.pop_front();
  }
}

void HeartbeatReceived(OwnershipState& aState, const PeerMessage& aMessage,
                       TimePoint aNow) {
  RecordPeerEpoch(aState, aMessage.m_from, aMessage.m_incarnation,
                  aMessage.m_epoch, aNow);
  const auto& heartbeat = std::get<Heartbeat>(aMessage.m_body);
  const Member* sender = FindMember(aState.m_row.m_members, aMessage.m_from);
  if (sender == nullptr || sender->m_incarnation != aMessage.m_incarnation ||
      aMessage.m_epoch != aState.m_row.m_epoch ||
      heartbeat.m_echoIncarnation != aState.m_incarnation) {
    return;
  }
  Authority& authority = aState.m_authority;
  for (const SentHeartbeat& sent : authority.m_sent) {
    if (sent.m_sequence != heartbeat.m_echo) continue;
    TimePoint& until = authority.m_confirmedUntil[aMessage.m_from];
    until = std::max(until, sent.m_sent + aState.m_row.m_times.m_confirmation);
  }
}

void VmGone(OwnershipState& aState, const VmId& aVm, TimePoint aNow) {
  if (!aState.m_gone.insert(aVm).second) return;
  UpdateAllDeparted(aState, aNow);
}

void ReleaseReceived(OwnershipState& aState, const PeerMessage& aMessage) {
  const auto known = aState.m_peers.find(aMessage.m_from);
  if (known != aState.m_peers.end() &&
      aMessage.m_incarnation < known->second.m_incarnation) {
    return;
  }
  auto& releases = aState.m_releasedByMessage[aMessage.m_from];
  for (const std::string& name : std::get<Release>(aMessage.m_body).m_units) {
    const auto unit = ParseUnit(name);
    if (!unit) continue;
    Epoch& through = releases[*unit];
    through = std::max(through, aMessage.m_epoch);
  }
}

void LeaseRowRead(OwnershipState& aState, const LeaseRow& aRow,
                  TimePoint aNow) {
  RecordPeerEpoch(aState, aRow.m_vm, aRow.m_incarnation, aRow.m_epoch, aNow);
  Epoch& through = aState.m_releasedByRow[aRow.m_vm];
  through = std::max(through, aRow.m_releasedThrough);
}

void ReleaseAll(OwnershipState& aState, TimePoint aNow, Counters& aCounters,
                OwnershipEffects& aEffects) {
  aState.m_allReleased = true;
  for (auto& [unit, unitState] : aState.m_units) {
    if (unitState == UnitState::Acting) aEffects.emplace_back(UnitLost{unit});
    unitState = UnitState::Released;
    // All members are told, because only the next epoch decides the new owner.
    for (const Member& member : aState.m_row.m_members) {
      if (member.m_vm != aState.m_self) {
        aState.m_pendingReleases[member.m_vm].insert(unit);
      }
    }
  }
  StartReleases(aState, aNow, aCounters, aEffects);
}

void TickOwnership(OwnershipState& aState, TimePoint aNow, Counters& aCounters,
                   OwnershipEffects& aEffects) {
  StartActing(aState, aNow, aCounters, aEffects);
  if (!aState.m_pendingReleases.empty() && aNow >= aState.m_nextRelease) {
    if (aNow < aState.m_repeatReleasesUntil) {
      EmitReleases(aState, aNow, aEffects);
    } else {
      aState.m_pendingReleases.clear();
    }
  }
  ReportAuthority(aState, aNow, aCounters, aEffects);
}

}  // namespace bronze
