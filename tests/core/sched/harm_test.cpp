/**
 * @file harm_test.cpp Learning which images harm which, and placing by it.
 */

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/harm_func.h"
#include "core/sched/placement_func.h"

namespace bronze::sched {

namespace {

/** A serving task whose own load swings while two images come and go. */
void Observe(HarmTable& aTable, ImageIndex aHarmful, ImageIndex aHarmless,
             ImageIndex aServing, double aWeight) {
  for (int step = 0; step < 200; ++step) {
    const double harmful = step % 3 == 0 ? 0.1 : -0.05;
    const double harmless = step % 2 == 0 ? 0.1 : -0.1;
    const double swing = 0.03 * ((step / 20) % 2 == 0 ? 1 : -1);
    LearnHarm(aTable, {{aHarmful, harmful}, {aHarmless, harmless}}, aServing,
              aWeight * harmful + swing);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HarmSuite)

/** Guards against blaming an image that happens to run beside a harmful one,
 *  and against taking a task's own swing for harm. */
BOOST_AUTO_TEST_CASE(PairsAreToldApart) {
  HarmTable table;
  const ImageIndex harmful = ImageByName(table, "heavy");
  const ImageIndex harmless = ImageByName(table, "light");
  const ImageIndex serving = ImageByName(table, "serving");
  Observe(table, harmful, harmless, serving, 3.0);
  BOOST_TEST(Harm(table, harmful, serving) > 2.0);
  BOOST_TEST(Harm(table, harmful, serving) < 4.0);
  BOOST_TEST(Harm(table, harmless, serving) == 0.0);
}

/** Guards against a verdict that cannot be unlearned. */
BOOST_AUTO_TEST_CASE(HarmIsUnlearned) {
  HarmTable table;
  const ImageIndex fill = ImageByName(table, "heavy");
  const ImageIndex other = ImageByName(table, "light");
  const ImageIndex serving = ImageByName(table, "serving");
  Observe(table, fill, other, serving, 3.0);
  for (int round = 0; round < 5; ++round) {
    Observe(table, fill, other, serving, 0.0);
  }
  BOOST_TEST(Harm(table, fill, serving) < 0.7);
}

/** Guards against an index beyond the table when many images come. */
BOOST_AUTO_TEST_CASE(TableGrowsWithoutLosingPairs) {
  HarmTable table;
  const ImageIndex fill = ImageByName(table, "heavy");
  const ImageIndex other = ImageByName(table, "light");
  const ImageIndex serving = ImageByName(table, "serving");
  Observe(table, fill, other, serving, 3.0);
  const double before = Harm(table, fill, serving);
  for (int image = 0; image < 100; ++image) {
    (void)ImageByName(table, "image" + std::to_string(image));
  }
  BOOST_TEST(Harm(table, fill, serving) == before);
}

/** Guards against a fill beside a task that it would push over its target. */
BOOST_FIXTURE_TEST_CASE(FillAvoidsTheTaskThatItHarms, CellFixture) {
  AddRunner("a");
  AddRunner("b");
  const ImageIndex fill = ImageByName(m_cell.m_harm, "heavy");
  const ImageIndex light = ImageByName(m_cell.m_harm, "light");
  const ImageIndex serving = ImageByName(m_cell.m_harm, "serving");
  Observe(m_cell.m_harm, fill, light, serving, 5.0);
  // The free runner scores worse without regard to harm.
  m_cell.m_runners[1].m_slowness = 1.5;
  m_cell.m_runners[0].m_serving.push_back({serving, 0.6, 0.83, 0.5});
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_fills = true;
  spec.m_steps[0].m_image = "heavy";
  Submit(std::move(spec));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_runner.Value() == 1U);
}

/** Guards against a tail over its target for longer than the bound: fills that
 *  are not known to harm are stopped from working, too. */
BOOST_FIXTURE_TEST_CASE(FillsStandStillWhileATailIsOver, CellFixture) {
  const RunnerIndex runner = AddRunner("a");
  JobSpec lasting = Spec(1);
  lasting.m_steps[0].m_longRunning = true;
  lasting.m_steps[0].m_image = "serving";
  lasting.m_steps[0].m_tailTarget = milliseconds(150);
  Submit(std::move(lasting));
  JobSpec fill = Spec(2);
  fill.m_steps[0].m_fills = true;
  fill.m_steps[0].m_image = "heavy";
  Submit(std::move(fill));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  std::vector<PaceOrder> paces;
  // The rules bound the time over a target to 4 s.
  for (int step = 0; step < 9 && paces.empty(); ++step) {
    Pass(milliseconds(400));
    Report(runner,
           {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 100, 400},
            {{JobId(2), 0, 0, 0}, RunNumber(1), "", 10 + step, 4000}},
           {});
    paces = Take<PaceOrder>();
  }
  BOOST_REQUIRE(!paces.empty());
  BOOST_TEST(paces[0].m_percent == 0);
}

/** Guards against a successor that has to learn again which images harm which:
 *  until it has, tails exceed their targets. */
BOOST_AUTO_TEST_CASE(LearnedHarmIsRestoredByName) {
  HarmTable learned;
  const ImageIndex serving = ImageByName(learned, "serving");
  const ImageIndex fill = ImageByName(learned, "fill");
  NoteTail(learned, serving, 5.0);
  LearnHarm(learned, {{fill, 0.2}}, serving, 0.4);
  HarmTable restored;
  static_cast<void>(ImageByName(restored, "another"));
  RestoreHarm(restored, ToStored(learned));
  const ImageIndex servingAgain = ImageByName(restored, "serving");
  const ImageIndex fillAgain = ImageByName(restored, "fill");
  BOOST_TEST(Harm(restored, fillAgain, servingAgain) ==
             Harm(learned, fill, serving));
  BOOST_TEST(LoadOfTail(restored, servingAgain, 10.0) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
