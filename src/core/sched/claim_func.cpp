/**
 * @file claim_func.cpp Decides how long a VM waits before it claims a cell.
 */

#include "core/sched/claim_func.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bronze::sched {

namespace {

/** Claims of a cell without an owner are spread over this time, by a hash of
 *  the VM's name and the cell. */
constexpr uint64_t kClaimSpreadMs = 400;
/** Most that a VM adds in proportion to the CPU that it lacks. */
constexpr Duration kMaxSmallVmDelay = milliseconds(500);
/** Delay that each cell of this VM adds. */
constexpr Duration kOwnedCellDelay = milliseconds(350);
/** CPU of the last owner that is assumed if none is known. */
constexpr Millicores kDefaultOwnerCpu(250);
/** Share of another VM's capability below which a VM is much smaller. */
constexpr double kMuchSmallerRatio = 0.6;
/** A much smaller VM waits longer by this. Two VMs of the same size notice a
 *  vacant cell up to one directory read (0.45 s) apart, and the hash adds up to
 *  0.4 s; the rest is for slow answers of the store. */
constexpr Duration kSmallerVmDelay = milliseconds(1200);
/** Time that a named successor has before others claim. Its claim takes a few
 *  tens of milliseconds once it knows of the release, at the latest after one
 *  read of the directory. */
constexpr Duration kSuccessorTime = milliseconds(1000);

template <class Amount>
double RatioOf(Amount aAmount, Amount aOther) {
  if (aAmount.Value() <= 0 || aOther.Value() <= 0) return 1.0;
  return static_cast<double>(aAmount.Value()) /
         static_cast<double>(aOther.Value());
}

/** Whether a lack of this resource, if there is one, remains when it is shared
 *  out among the cells of both VMs. */
template <class Amount>
bool KeepsLack(Amount aAmount, size_t aCells, Amount aOther,
               size_t aOtherCells) {
  const double ratio = RatioOf(aAmount, aOther);
  if (ratio >= kMuchSmallerRatio) return true;
  return ratio * static_cast<double>(aOtherCells + 1) <
         kMuchSmallerRatio * static_cast<double>(aCells + 1);
}

bool IsNoSmaller(const VmCapability& aVm, const VmCapability& aOther) {
  return CapabilityRatio(aVm, aOther) >= 1.0;
}

Duration SpreadOf(const VmId& aVm, CellId aCell) {
  const std::string& name = aVm.Value();
  const uint64_t hash =
      XXH3_64bits_withSeed(name.data(), name.size(), aCell.Value());
  return milliseconds(static_cast<int64_t>(hash % kClaimSpreadMs));
}

Duration LackingDelay(Millicores aOwn, Millicores aWanted) {
  const double lacking = std::clamp(1.0 - RatioOf(aOwn, aWanted), 0.0, 1.0);
  return Duration(static_cast<int64_t>(
      lacking * static_cast<double>(kMaxSmallVmDelay.count())));
}

}  // namespace

double CapabilityRatio(const VmCapability& aVm, const VmCapability& aOther) {
  return std::min(RatioOf(aVm.m_cpu, aOther.m_cpu),
                  RatioOf(aVm.m_link, aOther.m_link));
}

bool IsMuchSmaller(const VmCapability& aVm, const VmCapability& aOther) {
  return CapabilityRatio(aVm, aOther) < kMuchSmallerRatio &&
         IsNoSmaller(aOther, aVm);
}

bool ShouldPrefer(const KnownVm& aOther, const KnownVm& aVm) {
  const VmCapability& vm = aVm.m_capability;
  const VmCapability& other = aOther.m_capability;
  return IsMuchSmaller(vm, other) &&
         KeepsLack(vm.m_cpu, aVm.m_otherCells, other.m_cpu,
                   aOther.m_otherCells) &&
         KeepsLack(vm.m_link, aVm.m_otherCells, other.m_link,
                   aOther.m_otherCells);
}

VmCapability LargerOf(const VmCapability& aLeft, const VmCapability& aRight) {
  return aRight.m_cpu > aLeft.m_cpu ? aRight : aLeft;
}

ClaimDelay DecideClaimDelay(const ClaimView& aView) {
  ClaimDelay decided;
  if (!aView.m_successor.Value().empty()) {
    if (aView.m_successor == aView.m_vm) {
      decided.m_reason = ClaimReason::Successor;
      return decided;
    }
    decided.m_reason = ClaimReason::OtherSuccessor;
    decided.m_delay += kSuccessorTime;
  }
  const bool isKnown = aView.m_lastOwner.m_cpu.Value() > 0;
  decided.m_delay += SpreadOf(aView.m_vm, aView.m_cell);
  decided.m_delay +=
      LackingDelay(aView.m_own.m_capability.m_cpu,
                   isKnown ? aView.m_lastOwner.m_cpu : kDefaultOwnerCpu);
  decided.m_delay +=
      kOwnedCellDelay * static_cast<int64_t>(aView.m_own.m_otherCells);
  const bool isLargerKnown =
      std::any_of(aView.m_known.begin(), aView.m_known.end(),
                  [&aView](const KnownVm& aKnown) {
                    return ShouldPrefer(aKnown, aView.m_own);
                  });
  if (isLargerKnown) {
    decided.m_delay += kSmallerVmDelay;
    if (decided.m_reason == ClaimReason::Spread) {
      decided.m_reason = ClaimReason::SmallerVm;
    }
  }
  return decided;
}

std::string_view NameOf(ClaimReason aReason) {
  switch (aReason) {
    case ClaimReason::Spread:
      return "spread";
    case ClaimReason::Successor:
      return "successor";
    case ClaimReason::SmallerVm:
      return "smaller_vm";
    case ClaimReason::OtherSuccessor:
      return "other_successor";
  }
  return "spread";
}

}  // namespace bronze::sched
