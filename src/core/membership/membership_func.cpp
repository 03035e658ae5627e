/**
 * @file membership_func.cpp Queries on the members.
 */

#include "core/membership/membership_func.h"

#include <algorithm>

namespace bronze {

namespace {

const PeerState* FindPeer(const MembershipState& aState, const VmId& aVm) {
  const auto found = aState.m_peers.find(aVm);
  return found == aState.m_peers.end() ? nullptr : &found->second;
}

/** The time from which missing heartbeats of the peer are counted: that of its
 * last heartbeat, or of its first listing if there was none, but not before
 * m_listeningSince. aPeer is null for a VM that was never listed. */
TimePoint LastSeen(const MembershipState& aState, const PeerState* aPeer) {
  if (aPeer == nullptr) return aState.m_listeningSince;
  return std::max(aPeer->m_lastHeartbeat.value_or(aPeer->m_listedSince),
                  aState.m_listeningSince);
}

bool IsLive(const MembershipState& aState, const VmId& aVm, TimePoint aNow) {
  if (aVm == aState.m_self) return true;
  const PeerState* peer = FindPeer(aState, aVm);
  return peer != nullptr && peer->m_listed != VmState::Gone &&
         !IsUnresponsive(aState, *peer, aNow);
}

bool IsLeaving(const MembershipState& aState, const VmId& aVm) {
  if (aVm == aState.m_self) return aState.m_draining;
  const PeerState* peer = FindPeer(aState, aVm);
  return peer != nullptr &&
         (peer->m_listed != VmState::Live || peer->m_draining);
}

/** Whether a heartbeat of the VM has been received and it is neither leaving
 * nor suspected. */
bool MayJoin(const MembershipState& aState, const VmId& aVm,
             const PeerState& aPeer, TimePoint aNow) {
  return aPeer.m_lastHeartbeat && !IsLeaving(aState, aVm) &&
         !IsUnresponsive(aState, aPeer, aNow) &&
         !IsSuspectedByMajority(aState, aVm, aNow);
}

std::optional<Duration> RankDelay(const MembershipState& aState,
                                  const std::vector<VmId>& aSorted) {
  const auto own = std::find(aSorted.begin(), aSorted.end(), aState.m_self);
  if (own == aSorted.end()) return std::nullopt;
  return aState.m_settings.m_heartbeatInterval * (own - aSorted.begin());
}

/** Whether every member of the epoch is gone for good; also true before the
 * first epoch. */
bool AllMembersGone(const MembershipState& aState) {
  return std::all_of(aState.m_row.m_members.begin(),
                     aState.m_row.m_members.end(), [&](const Member& aMember) {
                       const PeerState* peer = FindPeer(aState, aMember.m_vm);
                       return peer != nullptr &&
                              peer->m_listed == VmState::Gone;
                     });
}

/** Whether this daemon need not wait any longer for the first heartbeats of the
 * listed VMs. The wait lets them all join in one epoch rather than one by one.
 */
bool MayProposeFirstEpoch(const MembershipState& aState, TimePoint aNow) {
  if (aNow - aState.m_listeningSince >= aState.m_settings.m_suspectAfter) {
    return true;
  }
  return std::all_of(
      aState.m_peers.begin(), aState.m_peers.end(), [&](const auto& aPeer) {
        return IsLeaving(aState, aPeer.first) || aPeer.second.m_lastHeartbeat;
      });
}

}  // namespace

bool IsMember(const MembershipState& aState) {
  const Member* own = FindMember(aState.m_row.m_members, aState.m_self);
  return own != nullptr && own->m_incarnation == aState.m_incarnation;
}

bool IsUnresponsive(const MembershipState& aState, const PeerState& aPeer,
                    TimePoint aNow) {
  return aNow - LastSeen(aState, &aPeer) >= aState.m_settings.m_suspectAfter;
}

bool IsSuspectedByMajority(const MembershipState& aState, const VmId& aVm,
                           TimePoint aNow) {
  size_t observers = 0;
  size_t suspecting = 0;
  const PeerState* target = FindPeer(aState, aVm);
  const Duration sinceLastSeen = aNow - LastSeen(aState, target);
  for (const Member& member : aState.m_row.m_members) {
    if (member.m_vm == aVm || !IsLive(aState, member.m_vm, aNow)) continue;
    ++observers;
    if (member.m_vm == aState.m_self) {
      if (sinceLastSeen >= aState.m_settings.m_suspectAfter) ++suspecting;
      continue;
    }
    const auto& suspects = aState.m_peers.at(member.m_vm).m_suspects;
    if (std::find(suspects.begin(), suspects.end(), aVm) != suspects.end()) {
      ++suspecting;
    }
  }
  if (observers == 1 &&
      sinceLastSeen < aState.m_settings.m_suspectAfter +
                          aState.m_settings.m_heartbeatInterval) {
    return false;
  }
  return suspecting * 2 > observers;
}

std::vector<Member> WantedMembers(const MembershipState& aState,
                                  TimePoint aNow) {
  std::vector<Member> wanted;
  for (const Member& member : aState.m_row.m_members) {
    if (member.m_vm == aState.m_self) continue;
    if (IsLeaving(aState, member.m_vm)) continue;
    if (IsSuspectedByMajority(aState, member.m_vm, aNow)) continue;
    Member kept = member;
    const PeerState* peer = FindPeer(aState, member.m_vm);
    if (peer != nullptr && peer->m_incarnation > member.m_incarnation) {
      kept.m_incarnation = peer->m_incarnation;
    }
    wanted.push_back(std::move(kept));
  }
  for (const auto& [id, peer] : aState.m_peers) {
    if (FindMember(aState.m_row.m_members, id) != nullptr) continue;
    if (!MayJoin(aState, id, peer, aNow)) continue;
    wanted.push_back({id, peer.m_incarnation, peer.m_dataCentre});
  }
  if (!aState.m_draining) {
    wanted.push_back(
        {aState.m_self, aState.m_incarnation, aState.m_dataCentre});
  }
  std::sort(wanted.begin(), wanted.end());
  return wanted;
}

VmStatus VmStatusOf(const MembershipState& aState, const VmId& aVm) {
  const PeerState* peer = FindPeer(aState, aVm);
  if (peer != nullptr && peer->m_listed == VmState::Gone) {
    return VmStatus::Gone;
  }
  if (IsLeaving(aState, aVm)) return VmStatus::Leaving;
  if (peer != nullptr && peer->m_suspected) return VmStatus::Suspected;
  return FindMember(aState.m_row.m_members, aVm) != nullptr ? VmStatus::Member
                                                            : VmStatus::Joining;
}

std::optional<Duration> ProposalDelay(const MembershipState& aState,
                                      TimePoint aNow) {
  if (!aState.m_rowKnown) return std::nullopt;
  const Member* own = FindMember(aState.m_row.m_members, aState.m_self);
  // A later process runs under this VM's id, so this one must not propose.
  if (own != nullptr && own->m_incarnation > aState.m_incarnation) {
    return std::nullopt;
  }
  if (own != nullptr && aState.m_draining) return Duration::zero();
  std::vector<VmId> proposers;
  for (const Member& member : aState.m_row.m_members) {
    if (IsLive(aState, member.m_vm, aNow) && !IsLeaving(aState, member.m_vm)) {
      proposers.push_back(member.m_vm);
    }
  }
  if (proposers.empty() && AllMembersGone(aState)) {
    if (!MayProposeFirstEpoch(aState, aNow)) return std::nullopt;
    for (const auto& [id, peer] : aState.m_peers) {
      if (MayJoin(aState, id, peer, aNow)) proposers.push_back(id);
    }
    if (!aState.m_draining) proposers.push_back(aState.m_self);
  }
  std::sort(proposers.begin(), proposers.end());
  return RankDelay(aState, proposers);
}

}  // namespace bronze
