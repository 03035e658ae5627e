/**
 * @file slot_holder_cmd.cpp Slot grants and reports on the side of an entry VM.
 */

#include <algorithm>

#include "core/request/queue_func.h"
#include "core/request/request_cmd.h"
#include "core/request/request_internal.h"
#include "core/request/runner_func.h"
#include "core/request/slot_demand_func.h"

namespace bronze {

namespace {

constexpr Duration kReportInterval = milliseconds(50);
/** Falls of demand are reported later, as most are followed by a rise. */
constexpr Duration kFallReportInterval = milliseconds(200);
constexpr Duration kRenewalInterval = seconds(1);
constexpr Duration kReportCheckInterval = milliseconds(10);
/** At one report each 50 ms, covers the 2 s that a grant is valid. */
constexpr size_t kSendTimesKept = 64;

bool OwnsNoRunner(const OwnerLink& aLink) { return aLink.m_rows.empty(); }

Slots HeldSlotsOf(const RunnerState& aRunner, TimePoint aNow) {
  const bool former = aNow < aRunner.m_formerUntil;
  return former ? std::max(aRunner.m_granted, aRunner.m_formerGrant)
                : aRunner.m_granted;
}

/**
 * Makes the grant of a runner unusable, but keeps it in the reports, so that
 * the owner gives its slots to nobody else until the longest window has passed.
 */
void MoveToFormerGrant(RequestState& aState, RunnerIndex aIndex) {
  RunnerState& runner = aState.m_runners.m_rows[aIndex];
  if (runner.m_granted == Slots(0)) return;
  runner.m_formerGrant = runner.m_granted;
  runner.m_formerUntil = runner.m_validUntil + aState.m_settings.m_maxWindow;
  runner.m_formerGrantByOwner = true;
  SetGranted(aState, aIndex, Slots(0), runner.m_validUntil);
}

SlotReport BuildReport(RequestState& aState, OwnerLink& aLink,
                       const SlotDemand& aDemand, TimePoint aNow) {
  SlotReport report;
  report.m_sequence = aLink.m_reportSent = aLink.m_reportSent.Next();
  report.m_grantSeen = aLink.m_grantSeen;
  report.m_grantSeenIncarnation = aLink.m_incarnation;
  report.m_demand = aDemand;
  for (const RunnerIndex index : aLink.m_rows) {
    const RunnerState& runner = aState.m_runners.m_rows[index];
    const Slots held = HeldSlotsOf(runner, aNow);
    if (held == Slots(0) && runner.m_busy == Slots(0)) continue;
    report.m_uses.push_back({runner.m_id, held, runner.m_busy});
  }
  aLink.m_sendTimes.emplace_back(report.m_sequence, aNow);
  if (aLink.m_sendTimes.size() > kSendTimesKept) aLink.m_sendTimes.pop_front();
  aLink.m_lastReport = aNow;
  aLink.m_demandSent = aDemand;
  aLink.m_reportDue = false;
  return report;
}

bool IsReportDue(const OwnerLink& aLink, const SlotDemand& aDemand,
                 TimePoint aNow) {
  const Duration age = aNow - aLink.m_lastReport;
  if (age < kReportInterval) return false;
  return aLink.m_reportDue || age >= kRenewalInterval ||
         HasDemandRisen(aLink.m_demandSent, aDemand) ||
         (age >= kFallReportInterval &&
          HasDemandRisen(aDemand, aLink.m_demandSent));
}

/** @return the send time of the report that the grant answers. */
std::optional<TimePoint> SendTimeOf(OwnerLink& aLink,
                                    HeartbeatSequence aSequence) {
  for (const auto& [sequence, time] : aLink.m_sendTimes) {
    if (sequence == aSequence) return time;
  }
  return std::nullopt;
}

/** Applies a grant. @return whether the grant of some runner was lowered. */
bool ApplyItems(RequestState& aState, const VmId& aOwner, OwnerLink& aLink,
                const SlotGrant& aGrant, TimePoint aSent) {
  std::map<RunnerIndex, SlotGrantItem> items;
  for (const SlotGrantItem& item : aGrant.m_items) {
    const auto found = aState.m_runners.m_index.find(item.m_runner);
    if (found == aState.m_runners.m_index.end()) continue;
    if (aState.m_runners.m_rows[found->second].m_owner != aOwner) continue;
    items[found->second] = item;
    aLink.m_validUntil = std::max(aLink.m_validUntil, aSent + item.m_validFor);
  }
  bool lowered = false;
  for (const RunnerIndex index : aLink.m_rows) {
    RunnerState& runner = aState.m_runners.m_rows[index];
    const auto item = items.find(index);
    const Slots slots = item == items.end() ? Slots(0) : item->second.m_slots;
    const Duration validity =
        item == items.end() ? Duration::zero() : item->second.m_validFor;
    lowered = lowered || slots < runner.m_granted;
    if (item != items.end()) {
      lowered = lowered || slots < runner.m_formerGrant;
      runner.m_formerGrant = Slots(0);
    }
    SetGranted(aState, index, slots, aSent + validity);
  }
  return lowered;
}

bool IsStale(OwnerLink& aLink, const PeerSender& aFrom,
             GrantSequence aSequence) {
  if (aFrom.m_incarnation < aLink.m_incarnation) return true;
  if (aFrom.m_incarnation > aLink.m_incarnation) {
    aLink.m_incarnation = aFrom.m_incarnation;
    aLink.m_grantSeen = GrantSequence();
  }
  return aSequence <= aLink.m_grantSeen;
}

}  // namespace

void AssignRunnerOwner(RequestState& aState, RunnerIndex aIndex) {
  RunnerState& runner = aState.m_runners.m_rows[aIndex];
  const UnitOwners& units = aState.m_owners;
  const auto entry = units.m_runners.find(runner.m_id);
  const VmId owner = entry == units.m_runners.end() ? VmId() : entry->second;
  const auto member = units.m_members.find(owner);
  const Incarnation incarnation =
      member == units.m_members.end() ? Incarnation() : member->second;
  if (runner.m_owner == owner && runner.m_ownerIncarnation == incarnation) {
    return;
  }
  MoveToFormerGrant(aState, aIndex);
  // A former grant is reported to the direct successor of the owner that
  // granted it, but not to later ones, as the successor may have granted the
  // slots to other VMs.
  if (!runner.m_formerGrantByOwner) runner.m_formerGrant = Slots(0);
  runner.m_formerGrantByOwner = false;
  auto& owners = aState.m_slots.m_owners;
  if (const auto old = owners.find(runner.m_owner); old != owners.end()) {
    std::erase(old->second.m_rows, aIndex);
  }
  runner.m_owner = owner;
  runner.m_ownerIncarnation = incarnation;
  if (owner.IsValid()) owners[owner].m_rows.push_back(aIndex);
}

void AdvanceGrants(RequestState& aState, TimePoint aNow, Counters& aCounters) {
  for (auto& [owner, link] : aState.m_slots.m_owners) {
    if (link.m_validUntil > aNow) continue;
    for (const RunnerIndex index : link.m_rows) {
      const RunnerState& runner = aState.m_runners.m_rows[index];
      if (runner.m_granted == Slots(0) || runner.m_validUntil > aNow) continue;
      Count(aCounters, CounterId::SlotsLapsed,
            static_cast<uint64_t>(runner.m_granted.Value()));
      MoveToFormerGrant(aState, index);
    }
  }
}

void SendDueReports(RequestState& aState, TimePoint aNow,
                    RequestEffects& aEffects) {
  SlotHolderState& slots = aState.m_slots;
  if (aNow < slots.m_nextReport) return;
  slots.m_nextReport = aNow + kReportCheckInterval;
  const SlotDemand wanted = TotalDemand(aState, ExpectedNeed(aState, aNow));
  MeasureCapacity(aState, aNow);
  const auto total =
      static_cast<double>(std::max<int64_t>(1, TotalCapacity(slots).Value()));
  const double start = SplitStart(aState.m_self);
  Slots before;
  for (auto& [owner, link] : slots.m_owners) {
    const Slots after = before + link.m_capacity;
    const SlotDemand demand =
        DemandPart(wanted, static_cast<double>(before.Value()) / total,
                   static_cast<double>(after.Value()) / total, start);
    before = after;
    if (OwnsNoRunner(link)) continue;
    if (!IsReportDue(link, demand, aNow)) continue;
    aEffects.emplace_back(
        SendSlotReport{owner, BuildReport(aState, link, demand, aNow)});
  }
}

void SetUnitOwners(RequestState& aState, UnitOwners aOwners, TimePoint aNow,
                   Counters& aCounters, RequestEffects& aEffects) {
  const bool newEpoch = aOwners.m_epoch != aState.m_owners.m_epoch;
  const bool keysMoved = aOwners.m_keyShards != aState.m_owners.m_keyShards ||
                         aOwners.m_members != aState.m_owners.m_members;
  aState.m_owners = std::move(aOwners);
  for (RunnerIndex i = 0; i < aState.m_runners.m_rows.size(); ++i) {
    AssignRunnerOwner(aState, i);
  }
  std::erase_if(aState.m_slots.m_owners, [&](const auto& aEntry) {
    return OwnsNoRunner(aEntry.second) &&
           aState.m_owners.m_members.count(aEntry.first) == 0;
  });
  if (newEpoch) {
    aState.m_slots.m_nextReport = aNow;
    for (auto& [owner, link] : aState.m_slots.m_owners) {
      link.m_reportDue = true;
      link.m_lastReport = std::min(link.m_lastReport, aNow - kReportInterval);
    }
  }
  if (keysMoved) RenewClaims(aState, aNow, aEffects);
  DispatchQueued(aState, aNow, aCounters, aEffects);
  SendDueReports(aState, aNow, aEffects);
}

void HandleSlotGrant(RequestState& aState, const PeerSender& aFrom,
                     const SlotGrant& aGrant, TimePoint aNow,
                     Counters& aCounters, RequestEffects& aEffects) {
  if (aFrom.m_epoch != aState.m_owners.m_epoch) {
    Count(aCounters, CounterId::PeerDroppedEpoch);
    return;
  }
  const auto found = aState.m_slots.m_owners.find(aFrom.m_vm);
  if (found == aState.m_slots.m_owners.end()) return;
  OwnerLink& link = found->second;
  if (IsStale(link, aFrom, aGrant.m_sequence)) {
    Count(aCounters, CounterId::PeerDroppedStale);
    return;
  }
  const auto sent = SendTimeOf(link, aGrant.m_demandSequence);
  if (!sent) return;
  link.m_grantSeen = aGrant.m_sequence;
  // The owner can grant the slots to others only after this VM has confirmed
  // the lower grant.
  if (ApplyItems(aState, aFrom.m_vm, link, aGrant, *sent)) {
    link.m_reportDue = true;
    aState.m_slots.m_nextReport = aNow;
  }
  DispatchQueued(aState, aNow, aCounters, aEffects);
  SendDueReports(aState, aNow, aEffects);
}

void SetRunner(RequestState& aState, const RunnerId& aRunner, Slots aCapacity,
               bool aLeaving) {
  RunnerPool& pool = aState.m_runners;
  auto found = pool.m_index.find(aRunner);
  if (found == pool.m_index.end()) {
    RunnerIndex index = static_cast<RunnerIndex>(pool.m_rows.size());
    if (pool.m_unusedRows.empty()) {
      pool.m_rows.emplace_back();
    } else {
      index = pool.m_unusedRows.back();
      pool.m_unusedRows.pop_back();
      pool.m_rows[index] = {};
    }
    pool.m_rows[index].m_id = aRunner;
    found = pool.m_index.emplace(aRunner, index).first;
    AssignRunnerOwner(aState, index);
  }
  RunnerState& runner = pool.m_rows[found->second];
  runner.m_capacity = aCapacity;
  runner.m_leaving = aLeaving;
  if (!aLeaving) AddToFreeList(pool, found->second);
}

void RemoveRunner(RequestState& aState, const RunnerId& aRunner) {
  RunnerPool& pool = aState.m_runners;
  const auto found = pool.m_index.find(aRunner);
  if (found == pool.m_index.end()) return;
  const RunnerIndex index = found->second;
  RunnerState& runner = pool.m_rows[index];
  runner.m_leaving = true;
  // Attempts refer to the row until they end; the daemon calls again.
  if (runner.m_busy > Slots(0) || runner.m_standing > 0) return;
  if (const auto owner = aState.m_slots.m_owners.find(runner.m_owner);
      owner != aState.m_slots.m_owners.end()) {
    std::erase(owner->second.m_rows, index);
  }
  SetGranted(aState, index, Slots(0), TimePoint());
  std::erase_if(pool.m_excluded,
                [&](const auto& aEntry) { return aEntry.second == index; });
  runner = {};
  runner.m_leaving = true;
  pool.m_index.erase(found);
  pool.m_unusedRows.push_back(index);
}

}  // namespace bronze
