/**
 * @file claim_test.cpp Tests how long VMs wait before they claim a cell.
 */

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "core/sched/claim_func.h"

namespace bronze::sched {

namespace {

constexpr VmCapability kLarge{Millicores(500), KilobitsPerSecond(200'000)};
constexpr VmCapability kSmall{Millicores(120), KilobitsPerSecond(10'000)};
/** Two VMs learn of a vacant cell this far apart at most. */
constexpr Duration kReadSpread = milliseconds(450);

ClaimView View(int aVm, const VmCapability& aOwn,
               const VmCapability& aLargest) {
  ClaimView view;
  view.m_vm = VmId(fmt::format("vm-{}", aVm));
  view.m_own.m_capability = aOwn;
  view.m_lastOwner = aLargest;
  view.m_known = {{aLargest, 0}};
  return view;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ClaimSuite)

/** Guards against a small VM that wins the claim of a cell by a few tenths of a
 *  second, although a large one reaches the store: whichever two VMs it is. */
BOOST_AUTO_TEST_CASE(SmallVmClaimsAfterEachLargeOne) {
  for (int large = 0; large < 40; ++large) {
    for (int small = 0; small < 40; ++small) {
      const auto first = DecideClaimDelay(View(large, kLarge, kLarge));
      const auto second = DecideClaimDelay(View(small, kSmall, kLarge));
      BOOST_TEST(first.m_delay.count() + kReadSpread.count() + 100'000 <
                 second.m_delay.count());
      BOOST_TEST(NameOf(first.m_reason) == "spread");
      BOOST_TEST(NameOf(second.m_reason) == "smaller_vm");
    }
  }
}

/** Guards against a cell that stays without an owner while no large VM lives or
 *  reaches the store. */
BOOST_AUTO_TEST_CASE(WaitOfASmallVmIsBounded) {
  for (int vm = 0; vm < 100; ++vm) {
    const auto decided = DecideClaimDelay(View(vm, kSmall, kLarge));
    BOOST_TEST(decided.m_delay.count() <= 2'100'000);
    ClaimView view = View(vm, kSmall, kLarge);
    view.m_successor = VmId("other");
    BOOST_TEST(DecideClaimDelay(view).m_delay.count() <= 3'100'000);
  }
}

/** Guards against takeovers that become slower in a deployment whose VMs all
 *  have the same size, or where no owner is known yet. */
BOOST_AUTO_TEST_CASE(VmsOfOneSizeWaitForTheSpreadOnly) {
  for (int vm = 0; vm < 100; ++vm) {
    const auto small = DecideClaimDelay(View(vm, kSmall, kSmall));
    BOOST_TEST(small.m_delay.count() < 400'000);
    const auto unknown = DecideClaimDelay(View(vm, kSmall, {}));
    BOOST_TEST(unknown.m_delay.count() < 400'000 + 260'001);
    BOOST_TEST(NameOf(unknown.m_reason) == "spread");
  }
}

/** Guards against cells that all go to one VM. */
BOOST_AUTO_TEST_CASE(VmWithCellsWaitsForOthers) {
  ClaimView view = View(1, kLarge, kLarge);
  const Duration without = DecideClaimDelay(view).m_delay;
  view.m_own.m_otherCells = 2;
  BOOST_TEST((DecideClaimDelay(view).m_delay - without).count() == 700'000);
}

/** Guards against one large VM that gets all cells while small VMs, which have
 *  more for each of them, wait for it. */
BOOST_AUTO_TEST_CASE(LargeVmWithManyCellsIsNotWaitedFor) {
  ClaimView view = View(1, kSmall, {});
  view.m_known = {{kLarge, 1}};
  BOOST_TEST(NameOf(DecideClaimDelay(view).m_reason) == "smaller_vm");
  view.m_known = {{kLarge, 2}};
  BOOST_TEST(NameOf(DecideClaimDelay(view).m_reason) == "spread");
  view.m_own.m_otherCells = 1;
  BOOST_TEST(NameOf(DecideClaimDelay(view).m_reason) == "smaller_vm");
}

/** Guards against a handover whose successor competes with the other VMs, and
 *  against a cell that nobody claims after its successor has ended. */
BOOST_AUTO_TEST_CASE(SuccessorClaimsAtOnceAndOthersLater) {
  ClaimView view = View(1, kLarge, kLarge);
  view.m_own.m_otherCells = 2;
  view.m_successor = view.m_vm;
  BOOST_TEST(DecideClaimDelay(view).m_delay.count() == 0);
  BOOST_TEST(NameOf(DecideClaimDelay(view).m_reason) == "successor");
  view.m_successor = VmId("vm-2");
  view.m_own.m_otherCells = 0;
  const ClaimDelay other = DecideClaimDelay(view);
  BOOST_TEST(other.m_delay.count() >= 1'000'000);
  BOOST_TEST(other.m_delay.count() < 1'400'000);
  BOOST_TEST(NameOf(other.m_reason) == "other_successor");
}

/** Guards against a link that is left out of account, and against two VMs of
 *  which each is smaller than the other. */
BOOST_AUTO_TEST_CASE(MuchSmallerHoldsInOneOrderOnly) {
  const VmCapability narrow{Millicores(500), KilobitsPerSecond(10'000)};
  const VmCapability weak{Millicores(120), KilobitsPerSecond(200'000)};
  const VmCapability unknownLink{Millicores(120), {}};
  BOOST_TEST(IsMuchSmaller(narrow, kLarge));
  BOOST_TEST(IsMuchSmaller(weak, kLarge));
  BOOST_TEST(IsMuchSmaller(unknownLink, kLarge));
  BOOST_TEST(!IsMuchSmaller(narrow, weak));
  BOOST_TEST(!IsMuchSmaller(weak, narrow));
  BOOST_TEST(!IsMuchSmaller(kLarge, kSmall));
  BOOST_TEST(!IsMuchSmaller({Millicores(400), {}}, {Millicores(500), {}}));
  BOOST_TEST(!IsMuchSmaller({}, kLarge));
  BOOST_TEST((LargerOf(kSmall, kLarge) == kLarge));
  BOOST_TEST((LargerOf(kLarge, kSmall) == kLarge));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
