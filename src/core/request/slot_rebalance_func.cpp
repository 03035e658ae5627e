/**
 * @file slot_rebalance_func.cpp Moves slots between entry VMs by demand.
 */

#include <algorithm>

#include "core/request/slot_owner_internal.h"
#include "core/request/slot_split_func.h"

namespace bronze {

namespace {

/** An entry VM that holds or wants slots, during a rebalance. */
struct Holder {
  VmId m_vm;
  SlotDemand m_demand;
  SlotShare m_share;
  Slots m_granted;
};

using Holders = std::vector<Holder>;
using OwnedRunners = std::map<RunnerId, OwnedRunner>;

Slots FreeSlotsOf(const OwnedRunner& aRunner) {
  if (aRunner.m_leaving) return Slots(0);
  return std::max(Slots(0), aRunner.m_slots - CountedSlots(aRunner));
}

/**
 * Free slots that the entry VM may get. Before its first report about a runner
 * that was taken over it gets none, since the report would not tell them apart
 * from slots that the previous owner granted.
 */
Slots FreeSlotsFor(const OwnedRunner& aRunner, const VmId& aVm) {
  return aRunner.m_unreported.count(aVm) > 0 ? Slots(0) : FreeSlotsOf(aRunner);
}

Slots GrantedTo(const OwnedRunner& aRunner, const VmId& aVm) {
  const auto found = aRunner.m_holders.find(aVm);
  return found == aRunner.m_holders.end() ? Slots(0) : found->second.m_granted;
}

Holders ActiveHolders(const SlotOwnerState& aState) {
  Holders holders;
  for (const auto& [vm, link] : aState.m_holders) {
    if (link.m_lapsed || aState.m_members.count(vm) == 0) continue;
    Holder holder{vm, link.m_demand, {}, {}};
    for (const auto& [id, runner] : aState.m_runners) {
      holder.m_granted += GrantedTo(runner, vm);
    }
    holders.push_back(std::move(holder));
  }
  // With fewer slots than entry VMs, each owner prefers different VMs.
  const auto rank = [&](const Holder& aHolder) {
    return std::hash<std::string>()(aHolder.m_vm.Value() + '/' +
                                    aState.m_self.Value());
  };
  std::sort(holders.begin(), holders.end(),
            [&](const Holder& aLeft, const Holder& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  return holders;
}

/** Slots to be split among entry VMs: all but unaccounted and lost ones. */
Slots SplittableSlots(const SlotOwnerState& aState) {
  Slots total;
  for (const auto& [id, runner] : aState.m_runners) {
    if (runner.m_leaving) continue;
    Slots usable = runner.m_slots - runner.m_unaccounted;
    for (const LostSlots& lost : runner.m_lost) usable -= lost.m_slots;
    total += std::max(Slots(0), usable);
  }
  return total;
}

void RaiseGrants(SlotOwnerState& aState, Holder& aHolder, Slots aTarget,
                 std::set<VmId>& aChanged) {
  while (aHolder.m_granted < aTarget) {
    // Takes the runner with most free slots, so that a grant spans few runners,
    // which keeps the messages short.
    const auto best =
        std::max_element(aState.m_runners.begin(), aState.m_runners.end(),
                         [&](const auto& aLeft, const auto& aRight) {
                           return FreeSlotsFor(aLeft.second, aHolder.m_vm) <
                                  FreeSlotsFor(aRight.second, aHolder.m_vm);
                         });
    if (best == aState.m_runners.end()) return;
    const Slots more = std::min(FreeSlotsFor(best->second, aHolder.m_vm),
                                aTarget - aHolder.m_granted);
    if (more <= Slots(0)) return;
    HeldSlots& held = best->second.m_holders[aHolder.m_vm];
    ChangeGrant(aState, held, held.m_granted + more);
    aHolder.m_granted += more;
    aChanged.insert(aHolder.m_vm);
  }
}

/** @return the runner with most idle slots of the holder, to be lowered. */
OwnedRunner* MostIdleRunner(OwnedRunners& aRunners, const VmId& aVm) {
  OwnedRunner* best = nullptr;
  Slots bestIdle;
  for (auto& [id, runner] : aRunners) {
    const auto held = runner.m_holders.find(aVm);
    if (held == runner.m_holders.end()) continue;
    if (held->second.m_granted <= Slots(0)) continue;
    const Slots idle = held->second.m_granted - held->second.m_busy;
    if (best != nullptr && idle <= bestIdle) continue;
    best = &runner;
    bestIdle = idle;
  }
  return best;
}

void LowerGrants(SlotOwnerState& aState, Holder& aHolder, Slots aBy,
                 std::set<VmId>& aChanged) {
  Slots left = aBy;
  while (left > Slots(0)) {
    OwnedRunner* runner = MostIdleRunner(aState.m_runners, aHolder.m_vm);
    if (runner == nullptr) return;
    HeldSlots& held = runner->m_holders.at(aHolder.m_vm);
    const Slots idle = std::max(Slots(1), held.m_granted - held.m_busy);
    const Slots less = std::min({left, idle, held.m_granted});
    ChangeGrant(aState, held, held.m_granted - less);
    aHolder.m_granted -= less;
    left -= less;
    aChanged.insert(aHolder.m_vm);
  }
}

/** Slots that will become free without lowering another grant. */
Slots ReturningSlots(const SlotOwnerState& aState) {
  Slots total;
  for (const auto& [id, runner] : aState.m_runners) {
    if (runner.m_leaving) continue;
    for (const auto& [vm, held] : runner.m_holders) {
      total +=
          std::max(held.m_maxInForce, held.m_busy) -
          std::min(std::max(held.m_maxInForce, held.m_busy), held.m_granted);
    }
  }
  return total;
}

void LowerForOthers(SlotOwnerState& aState, Holders& aHolders,
                    std::set<VmId>& aChanged) {
  Slots missing;
  for (const Holder& holder : aHolders) {
    missing += std::max(Slots(0), holder.m_share.m_needed - holder.m_granted);
  }
  missing -= std::min(missing, ReturningSlots(aState));
  std::sort(aHolders.begin(), aHolders.end(),
            [](const Holder& aLeft, const Holder& aRight) {
              return aLeft.m_granted - aLeft.m_share.m_needed >
                     aRight.m_granted - aRight.m_share.m_needed;
            });
  for (Holder& holder : aHolders) {
    const Slots excess =
        std::max(Slots(0), holder.m_granted - holder.m_share.m_needed);
    const Slots less = std::min(missing, excess);
    if (less <= Slots(0)) return;
    LowerGrants(aState, holder, less, aChanged);
    missing -= less;
  }
}

void WithdrawLeavingRunners(SlotOwnerState& aState, std::set<VmId>& aChanged) {
  for (auto& [id, runner] : aState.m_runners) {
    if (!runner.m_leaving) continue;
    for (auto& [vm, held] : runner.m_holders) {
      if (held.m_granted == Slots(0)) continue;
      ChangeGrant(aState, held, Slots(0));
      aChanged.insert(vm);
    }
  }
}

}  // namespace

std::set<VmId> Rebalance(SlotOwnerState& aState) {
  std::set<VmId> changed;
  WithdrawLeavingRunners(aState, changed);
  Holders holders = ActiveHolders(aState);
  std::vector<SlotDemand> demands;
  demands.reserve(holders.size());
  for (const Holder& holder : holders) demands.push_back(holder.m_demand);
  const auto shares =
      SplitSlots(SplittableSlots(aState), demands, aState.m_settings);
  for (size_t i = 0; i < holders.size(); ++i) holders[i].m_share = shares[i];
  for (Holder& holder : holders) {
    RaiseGrants(aState, holder, holder.m_share.m_needed, changed);
  }
  LowerForOthers(aState, holders, changed);
  for (Holder& holder : holders) {
    RaiseGrants(aState, holder, holder.m_share.m_wanted, changed);
  }
  return changed;
}

}  // namespace bronze
