/**
 * @file handover_test.cpp Tests when a VM asks for a cell and when its owner
 * hands it over.
 */

#include <boost/test/unit_test.hpp>

#include "core/sched/handover_func.h"

namespace bronze::sched {

namespace {

constexpr VmCapability kLarge{Millicores(500), KilobitsPerSecond(200'000)};
constexpr VmCapability kSmall{Millicores(120), KilobitsPerSecond(10'000)};
constexpr TimePoint kNow{seconds(1000)};

AskView Asker() {
  AskView view;
  view.m_own.m_capability = kLarge;
  view.m_owner.m_capability = kSmall;
  view.m_goodReads = 4;
  return view;
}

HandoverView Owner() {
  HandoverView view;
  view.m_own = kSmall;
  view.m_schedulingSince = kNow - seconds(5);
  view.m_storeResponds = true;
  return view;
}

const HandoverRequest kRequest{VmId("large"), Incarnation(7), kLarge};

std::string_view Decide(const HandoverView& aView) {
  return NameOf(DecideHandover(aView, kRequest, kNow));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HandoverSuite)

/** Guards against a cell that stays on a small VM while a large one reaches the
 *  store, and against requests without a large gain. */
BOOST_AUTO_TEST_CASE(OnlyAMuchLargerVmAsks) {
  AskView view = Asker();
  BOOST_TEST(ShouldAsk(view, kNow));
  view.m_owner.m_capability = kLarge;
  BOOST_TEST(!ShouldAsk(view, kNow));
  view.m_owner.m_capability = {Millicores(320), {}};
  BOOST_TEST(!ShouldAsk(view, kNow));
  view.m_owner = {};  // Of an earlier build.
  BOOST_TEST(!ShouldAsk(view, kNow));
  view = Asker();
  view.m_own.m_capability = kSmall;
  view.m_owner.m_capability = kLarge;
  BOOST_TEST(!ShouldAsk(view, kNow));
}

/** Guards against a VM that asks while the store turns it away now and then. */
BOOST_AUTO_TEST_CASE(AskerNeedsGoodReadsInARow) {
  AskView view = Asker();
  view.m_goodReads = 3;
  BOOST_TEST(!ShouldAsk(view, kNow));
}

/** Guards against cells that are gathered on one VM until it has as little for
 *  each as the owner had, by what was scarce there: a VM of 0.5 of a core asked
 *  owners of 0.12 for five cells. */
BOOST_AUTO_TEST_CASE(CellsOfTheAskerReduceTheGain) {
  AskView view = Asker();
  view.m_own.m_otherCells = 1;
  BOOST_TEST(ShouldAsk(view, kNow));
  view.m_own.m_otherCells = 2;
  BOOST_TEST(!ShouldAsk(view, kNow));
  view.m_owner.m_otherCells = 1;
  BOOST_TEST(ShouldAsk(view, kNow));
}

/** Guards against requests in quick succession, and by a VM that has just lost
 *  the cell. */
BOOST_AUTO_TEST_CASE(AskerPauses) {
  AskView view = Asker();
  view.m_notBefore = NextAskTime(true, kNow);
  BOOST_TEST(!ShouldAsk(view, kNow));
  BOOST_TEST(ShouldAsk(view, kNow + seconds(1)));
  view.m_notBefore = NextAskTime(false, kNow);
  BOOST_TEST(!ShouldAsk(view, kNow + seconds(9)));
  view = Asker();
  view.m_lostAt = kNow - seconds(9);
  BOOST_TEST(!ShouldAsk(view, kNow));
  BOOST_TEST(ShouldAsk(view, kNow + seconds(1)));
}

/** Guards against a handover that interrupts the cell for a small gain, while
 *  it loads, while the store is away, or twice in short succession. */
BOOST_AUTO_TEST_CASE(OwnerHandsOverOnlyWhenTheCellCanMove) {
  BOOST_TEST(Decide(Owner()) == "accepted");
  HandoverView view = Owner();
  view.m_own = {Millicores(400), KilobitsPerSecond(200'000)};
  BOOST_TEST(Decide(view) == "gain_too_small");
  view = Owner();
  view.m_schedulingSince.reset();
  BOOST_TEST(Decide(view) == "loading");
  view = Owner();
  view.m_isReleasing = true;
  BOOST_TEST(Decide(view) == "releasing");
  view = Owner();
  view.m_storeResponds = false;
  BOOST_TEST(Decide(view) == "store_unavailable");
  view = Owner();
  view.m_schedulingSince = kNow - milliseconds(1999);
  BOOST_TEST(Decide(view) == "term_too_short");
  view = Owner();
  view.m_wasHandedOver = true;
  BOOST_TEST(Decide(view) == "term_too_short");
  view.m_schedulingSince = kNow - seconds(10);
  BOOST_TEST(Decide(view) == "accepted");
}

/** Guards against a cell that goes back and forth between a small VM and a
 * large one that loses it each time; a new process on that VM may ask at once.
 */
BOOST_AUTO_TEST_CASE(ProcessThatLostTheCellWaits) {
  HandoverView view = Owner();
  view.m_lostBy = VmId("large");
  view.m_lostByIncarnation = Incarnation(7);
  BOOST_TEST(Decide(view) == "lost_it_lately");
  view.m_schedulingSince = kNow - seconds(10);
  BOOST_TEST(Decide(view) == "accepted");
  view = Owner();
  view.m_lostBy = VmId("large");
  view.m_lostByIncarnation = Incarnation(6);
  BOOST_TEST(Decide(view) == "accepted");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
