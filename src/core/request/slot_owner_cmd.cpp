/**
 * @file slot_owner_cmd.cpp Commands on the state of a slot owner.
 *
 * A holder is an entry VM that holds slots. A granted slot counts as the
 * holder's until the holder has confirmed a later grant without the slot and
 * reported it free, or until the longest window has passed since the end of the
 * grant. The owner counts these times by its own clock from the receipt of a
 * report, which is later than its sending, so the holder's times end earlier.
 */

#include "core/request/slot_owner_cmd.h"

#include <algorithm>
#include <numeric>

#include "core/request/slot_owner_internal.h"

namespace bronze {

namespace {

constexpr Duration kGrantValidity = seconds(2);

/** @return a time after which aTime has passed on any VM's clock. */
Duration WithMargin(const CoordinationSettings& aSettings, Duration aTime) {
  return aTime + aTime * aSettings.m_clockDriftPercent / 100 +
         aSettings.m_clockMargin;
}

TimePoint LapseTimeOf(const SlotOwnerState& aState, const HolderLink& aLink) {
  if (aLink.m_lapsed) return aLink.m_lapsedSince;
  return aLink.m_reportAt + WithMargin(aState.m_coordination, kGrantValidity);
}

TimePoint EndOfUse(const SlotOwnerState& aState, TimePoint aLapse) {
  return aLapse +
         WithMargin(aState.m_coordination, aState.m_settings.m_maxWindow);
}

/**
 * Removes a holder that will not report again. Its slots count as lost until
 * its requests must have ended.
 */
void RemoveHolder(SlotOwnerState& aState, const VmId& aVm) {
  const auto link = aState.m_holders.find(aVm);
  if (link == aState.m_holders.end()) return;
  const TimePoint until = EndOfUse(aState, LapseTimeOf(aState, link->second));
  for (auto& [id, runner] : aState.m_runners) {
    const auto held = runner.m_holders.find(aVm);
    if (held == runner.m_holders.end()) continue;
    const Slots counted =
        std::max({held->second.m_granted, held->second.m_maxInForce,
                  held->second.m_busy});
    if (counted > Slots(0)) runner.m_lost.push_back({counted, until});
    runner.m_holders.erase(held);
  }
  aState.m_holders.erase(link);
}

void LapseGrants(SlotOwnerState& aState, const VmId& aVm, HolderLink& aLink,
                 Counters& aCounters) {
  aLink.m_lapsedSince = LapseTimeOf(aState, aLink);
  aLink.m_lapsed = true;
  Slots lapsed;
  for (auto& [id, runner] : aState.m_runners) {
    const auto held = runner.m_holders.find(aVm);
    if (held == runner.m_holders.end()) continue;
    lapsed += held->second.m_granted;
    ChangeGrant(aState, held->second, Slots(0));
  }
  Count(aCounters, CounterId::SlotsLapsed,
        static_cast<uint64_t>(lapsed.Value()));
}

void RemoveFromRunners(SlotOwnerState& aState, const VmId& aVm) {
  for (auto& [id, runner] : aState.m_runners) runner.m_holders.erase(aVm);
}

/** Accounts for the first report of a VM about a runner taken over. */
void AccountFirstReport(OwnedRunner& aRunner, const VmId& aVm, Slots aInUse) {
  if (aRunner.m_unreported.erase(aVm) == 0) return;
  aRunner.m_unaccounted -= std::min(aRunner.m_unaccounted, aInUse);
  if (aRunner.m_unreported.empty() && !aRunner.m_membersLost) {
    aRunner.m_unaccounted = Slots(0);
  }
}

void ApplyUse(const HolderLink& aLink, HeldSlots& aHeld, Slots aBusy) {
  aHeld.m_busy = aBusy;
  if (aLink.m_grantSeen >= aHeld.m_loweredInGrant)
    aHeld.m_maxInForce = aHeld.m_granted;
}

void ApplyUses(SlotOwnerState& aState, const VmId& aVm, const HolderLink& aLink,
               const SlotReport& aReport) {
  std::map<RunnerId, SlotUse> uses;
  for (const SlotUse& use : aReport.m_uses) uses[use.m_runner] = use;
  for (auto& [id, runner] : aState.m_runners) {
    const auto use = uses.find(id);
    const Slots busy = use == uses.end() ? Slots(0) : use->second.m_busy;
    const Slots inUse =
        use == uses.end() ? Slots(0) : std::max(busy, use->second.m_held);
    const bool isFirst = runner.m_unreported.count(aVm) > 0;
    AccountFirstReport(runner, aVm, inUse);
    auto held = runner.m_holders.find(aVm);
    if (held == runner.m_holders.end()) {
      // A first report is answered even with a grant of no slots, so that the
      // holder stops reporting the grant of the previous owner.
      if (busy == Slots(0) && !(isFirst && inUse > Slots(0))) continue;
      held = runner.m_holders.emplace(aVm, HeldSlots{}).first;
    }
    ApplyUse(aLink, held->second, busy);
  }
}

void SendGrant(SlotOwnerState& aState, const VmId& aVm,
               TimePoint aAuthorityUntil, Counters& aCounters,
               SlotOwnerEffects& aEffects) {
  const HolderLink& link = aState.m_holders.at(aVm);
  const Duration validity =
      std::min(kGrantValidity, aAuthorityUntil - link.m_reportAt);
  SlotGrant grant;
  grant.m_sequence = aState.m_lastGrant = aState.m_lastGrant.Next();
  grant.m_demandSequence = link.m_reportSeen;
  Slots total;
  for (const auto& [id, runner] : aState.m_runners) {
    const auto held = runner.m_holders.find(aVm);
    if (held == runner.m_holders.end()) continue;
    grant.m_items.push_back({id, held->second.m_granted, validity});
    total += held->second.m_granted;
  }
  Count(aCounters, CounterId::SlotsGranted,
        static_cast<uint64_t>(total.Value()));
  aEffects.push_back({aVm, std::move(grant)});
}

/** Erases holders that neither hold nor use slots of a runner. */
void DropEmptyHolders(SlotOwnerState& aState) {
  for (auto& [id, runner] : aState.m_runners) {
    std::erase_if(runner.m_holders, [](const auto& aEntry) {
      const HeldSlots& held = aEntry.second;
      return held.m_granted == Slots(0) && held.m_maxInForce == Slots(0) &&
             held.m_busy == Slots(0);
    });
  }
}

void GrantAll(SlotOwnerState& aState, std::set<VmId> aTo,
              TimePoint aAuthorityUntil, TimePoint aNow, Counters& aCounters,
              SlotOwnerEffects& aEffects) {
  if (aAuthorityUntil <= aNow) {
    Count(aCounters, CounterId::SlotsRefusedAuthority);
    return;
  }
  aTo.merge(Rebalance(aState));
  for (const VmId& vm : aTo) {
    const auto link = aState.m_holders.find(vm);
    if (link == aState.m_holders.end() || link->second.m_lapsed) continue;
    SendGrant(aState, vm, aAuthorityUntil, aCounters, aEffects);
  }
  DropEmptyHolders(aState);
}

}  // namespace

void ChangeGrant(SlotOwnerState& aState, HeldSlots& aHeld, Slots aSlots) {
  if (aSlots < aHeld.m_granted) {
    // The next grant is the first one with the lower number of slots.
    aHeld.m_maxInForce = std::max(aHeld.m_maxInForce, aHeld.m_granted);
    aHeld.m_loweredInGrant = aState.m_lastGrant.Next();
  }
  aHeld.m_granted = aSlots;
  aHeld.m_maxInForce = std::max(aHeld.m_maxInForce, aSlots);
}

Slots CountedSlots(const OwnedRunner& aRunner) {
  Slots counted = aRunner.m_unaccounted;
  for (const auto& [vm, held] : aRunner.m_holders) {
    counted += std::max({held.m_granted, held.m_maxInForce, held.m_busy});
  }
  for (const LostSlots& lost : aRunner.m_lost) counted += lost.m_slots;
  return counted;
}

void SetOwnedRunners(SlotOwnerState& aState, const SlotOwnership& aOwnership,
                     TimePoint aNow) {
  aState.m_epoch = aOwnership.m_epoch;
  aState.m_members = aOwnership.m_members;
  std::erase_if(aState.m_runners, [&](const auto& aEntry) {
    return aOwnership.m_runners.count(aEntry.first) == 0;
  });
  std::set<VmId> removed;
  for (const auto& [vm, link] : aState.m_holders) {
    if (aState.m_members.count(vm) == 0) removed.insert(vm);
  }
  for (const VmId& vm : removed) RemoveHolder(aState, vm);
  for (const auto& [id, info] : aOwnership.m_runners) {
    const auto [entry, isNew] = aState.m_runners.try_emplace(id);
    OwnedRunner& runner = entry->second;
    runner.m_slots = info.m_slots;
    runner.m_leaving = info.m_leaving;
    if (isNew) {
      runner.m_unaccounted = info.m_slots;
      runner.m_unreported = aOwnership.m_members;
      runner.m_membersLost = aOwnership.m_membersLost;
      runner.m_unaccountedUntil = EndOfUse(aState, aNow);
      continue;
    }
    const size_t before = runner.m_unreported.size();
    std::erase_if(runner.m_unreported, [&](const VmId& aVm) {
      return aState.m_members.count(aVm) == 0;
    });
    // A member was removed before its first report, so its slots are not known.
    if (runner.m_unreported.size() < before) runner.m_membersLost = true;
  }
}

void HandleSlotReport(SlotOwnerState& aState, const PeerSender& aFrom,
                      const SlotReport& aReport, TimePoint aAuthorityUntil,
                      TimePoint aNow, Counters& aCounters,
                      SlotOwnerEffects& aEffects) {
  if (aFrom.m_epoch != aState.m_epoch ||
      aState.m_members.count(aFrom.m_vm) == 0) {
    Count(aCounters, CounterId::PeerDroppedEpoch);
    return;
  }
  const auto known = aState.m_holders.find(aFrom.m_vm);
  if (known != aState.m_holders.end()) {
    const HolderLink& link = known->second;
    if (aFrom.m_incarnation < link.m_incarnation ||
        (aFrom.m_incarnation == link.m_incarnation &&
         aReport.m_sequence <= link.m_reportSeen)) {
      Count(aCounters, CounterId::PeerDroppedStale);
      return;
    }
    if (aFrom.m_incarnation > link.m_incarnation) {
      RemoveHolder(aState, aFrom.m_vm);
    }
  }
  HolderLink& link = aState.m_holders[aFrom.m_vm];
  link.m_incarnation = aFrom.m_incarnation;
  link.m_reportSeen = aReport.m_sequence;
  link.m_reportAt = aNow;
  link.m_lapsed = false;
  link.m_demand = aReport.m_demand;
  link.m_grantSeen = aReport.m_grantSeenIncarnation == aState.m_incarnation
                         ? aReport.m_grantSeen
                         : GrantSequence();
  ApplyUses(aState, aFrom.m_vm, link, aReport);
  GrantAll(aState, {aFrom.m_vm}, aAuthorityUntil, aNow, aCounters, aEffects);
}

void AdvanceSlotOwner(SlotOwnerState& aState, TimePoint aAuthorityUntil,
                      TimePoint aNow, Counters& aCounters,
                      SlotOwnerEffects& aEffects) {
  for (auto& [vm, link] : aState.m_holders) {
    if (!link.m_lapsed && LapseTimeOf(aState, link) <= aNow) {
      LapseGrants(aState, vm, link, aCounters);
    }
    if (link.m_lapsed && EndOfUse(aState, link.m_lapsedSince) <= aNow) {
      RemoveFromRunners(aState, vm);
    }
  }
  for (auto& [id, runner] : aState.m_runners) {
    std::erase_if(runner.m_lost, [aNow](const LostSlots& aLost) {
      return aLost.m_until <= aNow;
    });
    if (runner.m_unaccountedUntil > aNow) continue;
    runner.m_unaccounted = Slots(0);
    runner.m_unreported.clear();
  }
  if (aState.m_runners.empty()) return;
  GrantAll(aState, {}, aAuthorityUntil, aNow, aCounters, aEffects);
}

}  // namespace bronze
