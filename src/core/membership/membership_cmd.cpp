/**
 * @file membership_cmd.cpp Commands on what a daemon knows about the other VMs.
 */

#include "core/membership/membership_cmd.h"

#include <algorithm>

#include "core/membership/membership_func.h"

namespace bronze {

namespace {

/** Changes that only add members wait while more earlier epochs than this are
 * unsettled, so that the row stays small while many VMs start. */
constexpr size_t kMaxUnsettledForJoins = 4;

/** Detects a gap between ticks. Missing heartbeats mean nothing then, because
 * this daemon could not receive any. */
void DetectOwnPause(MembershipState& aState, TimePoint aNow) {
  if (aNow - aState.m_lastTick > 2 * aState.m_settings.m_heartbeatInterval) {
    aState.m_listeningSince = aNow;
  }
  aState.m_lastTick = aNow;
}

void ApplyListedPeer(MembershipState& aState, const VmInfo& aVm, TimePoint aNow,
                     MembershipEffects& aEffects) {
  const VmId id(aVm.m_id);
  const auto [found, added] = aState.m_peers.try_emplace(id);
  PeerState& peer = found->second;
  if (added) peer.m_listedSince = aNow;
  if (peer.m_listed == VmState::Gone) return;
  peer.m_dataCentre = aVm.m_dataCentre;
  peer.m_listed = aVm.m_state;
  if (aVm.m_state == VmState::Gone) {
    aEffects.emplace_back(DisconnectPeer{id});
    return;
  }
  if (peer.m_address != aVm.m_address) {
    peer.m_address = aVm.m_address;
    aEffects.emplace_back(ConnectPeer{id, aVm.m_address});
  }
}

bool IsAdditionOnly(const std::vector<Member>& aOld,
                    const std::vector<Member>& aNew) {
  return std::includes(aNew.begin(), aNew.end(), aOld.begin(), aOld.end());
}

}  // namespace

void StartMembership(MembershipState& aState, TimePoint aNow) {
  aState.m_listeningSince = aNow;
  aState.m_lastTick = aNow;
}

void ApplyVmList(MembershipState& aState, const std::vector<VmInfo>& aVms,
                 TimePoint aNow, MembershipEffects& aEffects) {
  for (const VmInfo& vm : aVms) {
    if (vm.m_role != VmRole::Entry) continue;
    if (VmId(vm.m_id) != aState.m_self) {
      ApplyListedPeer(aState, vm, aNow, aEffects);
    } else if (vm.m_state != VmState::Live && !aState.m_draining) {
      aState.m_draining = true;
      aEffects.emplace_back(SelfLeaving{});
    }
  }
}

bool ReceiveHeartbeat(MembershipState& aState, const PeerMessage& aMessage,
                      TimePoint aNow, Counters& aCounters,
                      MembershipEffects& aEffects) {
  const auto& heartbeat = std::get<Heartbeat>(aMessage.m_body);
  const auto found = aState.m_peers.find(aMessage.m_from);
  if (found == aState.m_peers.end() ||
      found->second.m_listed == VmState::Gone) {
    Count(aCounters, CounterId::PeerDroppedUnknown);
    return false;
  }
  PeerState& peer = found->second;
  if (aMessage.m_incarnation < peer.m_incarnation) {
    Count(aCounters, CounterId::PeerDroppedStale);
    return false;
  }
  if (aMessage.m_incarnation == peer.m_incarnation &&
      heartbeat.m_sequence <= peer.m_lastSequence) {
    Count(aCounters, CounterId::PeerDroppedStale);
    return false;
  }
  Count(aCounters, CounterId::HeartbeatsReceived);
  peer.m_lastHeartbeat = aNow;
  peer.m_incarnation = aMessage.m_incarnation;
  peer.m_lastSequence = heartbeat.m_sequence;
  peer.m_epoch = aMessage.m_epoch;
  peer.m_configInForce = heartbeat.m_configInForce;
  peer.m_configHeld = heartbeat.m_configHeld;
  peer.m_suspects = heartbeat.m_suspects;
  peer.m_draining = heartbeat.m_draining;
  if (aMessage.m_epoch > aState.m_row.m_epoch) {
    aEffects.emplace_back(ReadEpochRow{aMessage.m_epoch});
  } else if (aMessage.m_epoch < aState.m_row.m_epoch) {
    aEffects.emplace_back(
        SendToPeer{aMessage.m_from,
                   {aState.m_self, aState.m_incarnation, aState.m_row.m_epoch,
                    EpochNotice{aState.m_row, aState.m_rowVersion}}});
  }
  return true;
}

void TickMembership(MembershipState& aState, TimePoint aNow,
                    Counters& aCounters, MembershipEffects& aEffects) {
  DetectOwnPause(aState, aNow);
  for (auto& [id, peer] : aState.m_peers) {
    const bool suspected =
        peer.m_listed != VmState::Gone && IsUnresponsive(aState, peer, aNow);
    if (suspected == peer.m_suspected) continue;
    peer.m_suspected = suspected;
    if (suspected) Count(aCounters, CounterId::SuspicionsRaised);
    aEffects.emplace_back(SuspicionChanged{id, suspected});
  }
}

HeartbeatSequence SendHeartbeats(MembershipState& aState,
                                 const HeartbeatPayload& aPayload,
                                 Counters& aCounters,
                                 MembershipEffects& aEffects) {
  aState.m_sequence = aState.m_sequence.Next();
  Heartbeat heartbeat;
  heartbeat.m_sequence = aState.m_sequence;
  heartbeat.m_configInForce = aPayload.m_configInForce;
  heartbeat.m_configHeld = aPayload.m_configHeld;
  heartbeat.m_configCurrent = aPayload.m_configCurrent;
  heartbeat.m_draining = aState.m_draining;
  heartbeat.m_racks = aPayload.m_racks;
  for (const auto& [id, peer] : aState.m_peers) {
    if (peer.m_suspected) heartbeat.m_suspects.push_back(id);
  }
  for (const auto& [id, peer] : aState.m_peers) {
    if (peer.m_listed == VmState::Gone) continue;
    heartbeat.m_echo = peer.m_lastSequence;
    heartbeat.m_echoIncarnation = peer.m_incarnation;
    Count(aCounters, CounterId::HeartbeatsSent);
    aEffects.emplace_back(SendToPeer{id,
                                     {aState.m_self, aState.m_incarnation,
                                      aState.m_row.m_epoch, heartbeat}});
  }
  return aState.m_sequence;
}

bool AdoptEpochRow(MembershipState& aState, const EpochRow& aRow,
                   RowVersion aVersion, Counters& aCounters) {
  aState.m_rowKnown = true;
  if (aRow.m_epoch <= aState.m_row.m_epoch) return false;
  aState.m_row = aRow;
  aState.m_rowVersion = aVersion;
  aState.m_changeDueSince.reset();
  Count(aCounters, CounterId::EpochsAdopted);
  return true;
}

std::optional<EpochRow> ProposeEpoch(
    MembershipState& aState, const std::vector<EarlierEpoch>& aUnsettled,
    TimePoint aNow) {
  DetectOwnPause(aState, aNow);
  std::vector<Member> wanted = WantedMembers(aState, aNow);
  const auto& members = aState.m_row.m_members;
  const auto rank = ProposalDelay(aState, aNow);
  // The last member stays in the epoch while it drains: in an epoch without
  // members there is no member left to propose the next one.
  if (!rank || wanted.empty() || wanted == members) {
    aState.m_changeDueSince.reset();
    return std::nullopt;
  }
  if (!aState.m_changeDueSince) aState.m_changeDueSince = aNow;
  Duration delay = *rank;
  if (!members.empty() && IsAdditionOnly(members, wanted)) {
    if (aUnsettled.size() > kMaxUnsettledForJoins) return std::nullopt;
    delay += aState.m_settings.m_heartbeatInterval;
  }
  if (aNow - *aState.m_changeDueSince < delay) return std::nullopt;
  EpochRow row;
  row.m_epoch = aState.m_row.m_epoch.Next();
  row.m_members = std::move(wanted);
  row.m_times = {aState.m_settings.m_leaseDuration,
                 aState.m_settings.m_confirmationDuration};
  row.m_unsettled = aUnsettled;
  return row;
}

}  // namespace bronze
