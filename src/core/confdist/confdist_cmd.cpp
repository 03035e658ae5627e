/**
 * @file confdist_cmd.cpp Commands on the distribution of the configuration.
 */

#include "core/confdist/confdist_cmd.h"

#include <algorithm>

#include "core/membership/quorum_func.h"

namespace bronze {

namespace {

/** Longest wait of an operator's call for the distribution, and time between
 * two scans of the lease rows. */
constexpr Duration kAnswerTimeout = seconds(1);
/** Fetches and pushes are repeated because messages may be lost. */
constexpr Duration kRepeatInterval = milliseconds(300);
/** A heartbeat counts for as long as its sender is not suspected under the
 * default settings. */
constexpr Duration kHeartbeatFreshFor = seconds(4);

/** @return the versions on the member, or null if none are known of its
 * incarnation in the epoch. */
const PeerConfig* FindPeerConfig(const ConfdistState& aState,
                                 const Member& aMember) {
  const auto found = aState.m_peers.find(aMember.m_vm);
  if (found == aState.m_peers.end()) return nullptr;
  return found->second.m_incarnation == aMember.m_incarnation ? &found->second
                                                              : nullptr;
}

bool IsSelf(const ConfdistState& aState, const Member& aMember) {
  return aMember.m_vm == aState.m_self &&
         aMember.m_incarnation == aState.m_incarnation;
}

bool IsSelfMember(const ConfdistState& aState) {
  return std::any_of(
      aState.m_members.begin(), aState.m_members.end(),
      [&](const Member& aMember) { return IsSelf(aState, aMember); });
}

size_t CountInForce(const ConfdistState& aState, ConfigVersion aVersion) {
  return static_cast<size_t>(
      std::count_if(aState.m_members.begin(), aState.m_members.end(),
                    [&](const Member& aMember) {
                      if (IsSelf(aState, aMember)) {
                        return aState.m_inForce >= aVersion;
                      }
                      const PeerConfig* peer = FindPeerConfig(aState, aMember);
                      return peer != nullptr && peer->m_inForce >= aVersion;
                    }));
}

/** Whether the highest version that may have been in force anywhere is known,
 * from the table or from a majority of the members, and is in force here. */
bool MayServe(const ConfdistState& aState, TimePoint aNow) {
  if (aState.m_tableHeadRead) return aState.m_inForce >= aState.m_tableHead;
  size_t upToDate = 0;
  ConfigVersion required;
  for (const Member& member : aState.m_members) {
    const PeerConfig* peer = FindPeerConfig(aState, member);
    if (peer == nullptr || !peer->m_current) continue;
    if (aNow - peer->m_seen >= kHeartbeatFreshFor) continue;
    ++upToDate;
    required = std::max(required, peer->m_held);
  }
  return upToDate >= MajorityOf(aState.m_members.size()) &&
         aState.m_inForce >= required;
}

void CheckReady(ConfdistState& aState, TimePoint aNow,
                ConfdistEffects& aEffects) {
  if (aState.m_ready || !MayServe(aState, aNow)) return;
  aState.m_ready = true;
  aEffects.emplace_back(ConfigReady{});
}

void AnswerOperators(ConfdistState& aState, TimePoint aNow,
                     ConfdistEffects& aEffects) {
  const size_t members = aState.m_members.size();
  std::erase_if(aState.m_pending, [&](const auto& aItem) {
    const auto& [call, pending] = aItem;
    const size_t inForce = CountInForce(aState, pending.m_version);
    if (inForce < MajorityOf(members) && aNow < pending.m_until) return false;
    aEffects.emplace_back(
        AnswerOperator{call, pending.m_version, inForce, members});
    return true;
  });
}

/** Puts the held version in force if a majority of the members hold it. */
void ActivateHeld(ConfdistState& aState, TimePoint aNow,
                  ConfdistEffects& aEffects) {
  if (aState.m_held > aState.m_inForce && !aState.m_members.empty() &&
      CountHolders(aState, aState.m_held) >=
          MajorityOf(aState.m_members.size())) {
    aState.m_inForce = aState.m_held;
    aEffects.emplace_back(ApplyConfig{aState.m_held, aState.m_heldText});
    aEffects.emplace_back(SendHeartbeatNow{});
  }
  AnswerOperators(aState, aNow, aEffects);
  CheckReady(aState, aNow, aEffects);
}

/** Gets a version that is known but not held, from the peer that holds it and
 * sent the latest heartbeat, or else from the table. */
void Fetch(ConfdistState& aState, TimePoint aNow, Counters& aCounters,
           ConfdistEffects& aEffects) {
  if (aState.m_maxKnown <= aState.m_held || aNow < aState.m_nextFetch) return;
  aState.m_nextFetch = aNow + kRepeatInterval;
  const PeerConfig* best = nullptr;
  VmId from;
  for (const auto& [id, peer] : aState.m_peers) {
    if (peer.m_held < aState.m_maxKnown) continue;
    if (best != nullptr && peer.m_seen <= best->m_seen) continue;
    best = &peer;
    from = id;
  }
  if (best == nullptr) {
    aEffects.emplace_back(ReadConfigRow{aState.m_maxKnown});
    return;
  }
  Count(aCounters, CounterId::ConfigPulled);
  aEffects.emplace_back(PullConfig{from, aState.m_maxKnown});
}

/** Pushes the held version to each member that is not known to hold it. */
void Push(ConfdistState& aState, TimePoint aNow, Counters& aCounters,
          ConfdistEffects& aEffects) {
  aState.m_nextPush = aNow + kRepeatInterval;
  for (const Member& member : aState.m_members) {
    if (member.m_vm == aState.m_self) continue;
    const PeerConfig* peer = FindPeerConfig(aState, member);
    if (peer != nullptr && peer->m_held >= aState.m_held) continue;
    Count(aCounters, CounterId::ConfigPushed);
    aEffects.emplace_back(PushConfig{member.m_vm});
  }
}

void SetHeld(ConfdistState& aState, ConfigVersion aVersion, std::string aText,
             ConfdistEffects& aEffects) {
  if (aVersion <= aState.m_held) return;
  aState.m_held = aVersion;
  aState.m_maxKnown = std::max(aState.m_maxKnown, aVersion);
  aState.m_heldText = std::move(aText);
  aEffects.emplace_back(SendHeartbeatNow{});
}

}  // namespace

void SetConfigMembers(ConfdistState& aState,
                      const std::vector<Member>& aMembers, TimePoint aNow,
                      ConfdistEffects& aEffects) {
  const bool wasMember = IsSelfMember(aState);
  aState.m_members = aMembers;
  if (!wasMember) aState.m_headReadAsMember.reset();
  ActivateHeld(aState, aNow, aEffects);
}

void ConfigCommitted(ConfdistState& aState, OperatorCallId aCall,
                     ConfigVersion aVersion, std::string aText, TimePoint aNow,
                     Counters& aCounters, ConfdistEffects& aEffects) {
  Count(aCounters, CounterId::ConfigAccepted);
  SetHeld(aState, aVersion, std::move(aText), aEffects);
  aState.m_pending[aCall] = {aVersion, aNow + kAnswerTimeout};
  Push(aState, aNow, aCounters, aEffects);
  ActivateHeld(aState, aNow, aEffects);
}

void ConfigHeadRead(ConfdistState& aState, ConfigVersion aHead, TimePoint aNow,
                    ConfdistEffects& aEffects) {
  aState.m_tableHeadRead = true;
  aState.m_tableHead = std::max(aState.m_tableHead, aHead);
  aState.m_maxKnown = std::max(aState.m_maxKnown, aHead);
  if (IsSelfMember(aState) && !aState.m_headReadAsMember) {
    aState.m_headReadAsMember = aHead;
  }
  if (aHead > aState.m_held) aEffects.emplace_back(ReadConfigRow{aHead});
  ActivateHeld(aState, aNow, aEffects);
}

void ConfigReceived(ConfdistState& aState, ConfigVersion aVersion,
                    std::string aText, TimePoint aNow,
                    ConfdistEffects& aEffects) {
  SetHeld(aState, aVersion, std::move(aText), aEffects);
  ActivateHeld(aState, aNow, aEffects);
}

void ConfigHeartbeat(ConfdistState& aState, const PeerMessage& aMessage,
                     TimePoint aNow, Counters& aCounters,
                     ConfdistEffects& aEffects) {
  const auto& heartbeat = std::get<Heartbeat>(aMessage.m_body);
  aState.m_peers[aMessage.m_from] = {
      aMessage.m_incarnation, heartbeat.m_configInForce, heartbeat.m_configHeld,
      heartbeat.m_configCurrent, aNow};
  aState.m_maxKnown = std::max(aState.m_maxKnown, heartbeat.m_configHeld);
  Fetch(aState, aNow, aCounters, aEffects);
  ActivateHeld(aState, aNow, aEffects);
}

void ConfigLeaseRow(ConfdistState& aState, const LeaseRow& aRow, TimePoint aNow,
                    ConfdistEffects& aEffects) {
  if (aRow.m_vm == aState.m_self) return;
  PeerConfig& peer = aState.m_peers[aRow.m_vm];
  if (aRow.m_incarnation < peer.m_incarnation) return;
  if (aRow.m_incarnation > peer.m_incarnation) {
    peer = PeerConfig();
    peer.m_incarnation = aRow.m_incarnation;
  }
  peer.m_held = std::max(peer.m_held, aRow.m_configHeld);
  ActivateHeld(aState, aNow, aEffects);
}

void ConfigPulledBy(const ConfdistState& aState, const VmId& aPeer,
                    const ConfigPull& aPull, Counters& aCounters,
                    ConfdistEffects& aEffects) {
  if (aState.m_held < aPull.m_atLeast) return;
  Count(aCounters, CounterId::ConfigPushed);
  aEffects.emplace_back(PushConfig{aPeer});
}

void TickConfdist(ConfdistState& aState, TimePoint aNow, Counters& aCounters,
                  ConfdistEffects& aEffects) {
  Fetch(aState, aNow, aCounters, aEffects);
  if (!aState.m_pending.empty() && aNow >= aState.m_nextPush) {
    Push(aState, aNow, aCounters, aEffects);
  }
  if (aState.m_held > aState.m_inForce && aNow >= aState.m_nextLeaseRows) {
    aState.m_nextLeaseRows = aNow + kAnswerTimeout;
    aEffects.emplace_back(ReadLeaseRows{});
  }
  ActivateHeld(aState, aNow, aEffects);
}

bool IsConfigCurrent(const ConfdistState& aState) {
  return aState.m_headReadAsMember &&
         aState.m_held >= *aState.m_headReadAsMember;
}

std::vector<ConfigStatus> ConfigStatuses(const ConfdistState& aState,
                                         TimePoint aNow) {
  std::vector<ConfigStatus> statuses;
  statuses.push_back({aState.m_self, aState.m_inForce, Duration::zero()});
  for (const auto& [id, peer] : aState.m_peers) {
    if (peer.m_seen == TimePoint()) continue;
    statuses.push_back({id, peer.m_inForce, aNow - peer.m_seen});
  }
  return statuses;
}

size_t CountHolders(const ConfdistState& aState, ConfigVersion aVersion) {
  return static_cast<size_t>(
      std::count_if(aState.m_members.begin(), aState.m_members.end(),
                    [&](const Member& aMember) {
                      if (IsSelf(aState, aMember)) {
                        return aState.m_held >= aVersion;
                      }
                      const PeerConfig* peer = FindPeerConfig(aState, aMember);
                      return peer != nullptr && peer->m_held >= aVersion;
                    }));
}

}  // namespace bronze
