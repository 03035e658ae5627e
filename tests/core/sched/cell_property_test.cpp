/**
 * @file cell_property_test.cpp The rules of execution under random faults.
 */

#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "cell_world.h"

namespace bronze::sched {

BOOST_AUTO_TEST_SUITE(CellPropertySuite)

/** Guards against runs that overlap, repeat an end, overtake an earlier step or
 *  exceed a runner, and against jobs that never end, under lost and late
 * orders, cuts, crashes, freezes of the owner, takeovers and outages of the
 * store. */
BOOST_AUTO_TEST_CASE(RulesHoldUnderRandomFaults) {
  const bool holds = rc::check("rules of execution", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    CellWorld world(seed);
    world.Play(seconds(20), seconds(40));
    for (const std::string& violation : world.Violations()) {
      RC_LOG() << "seed " << seed << ": " << violation << "\n";
    }
    RC_ASSERT(world.Violations().empty());
    const auto unfinished = world.Unfinished();
    for (const std::string& job : unfinished) {
      RC_LOG() << "seed " << seed << ": not ended: " << job << "\n";
    }
    RC_ASSERT(unfinished.empty());
    RC_CLASSIFY(world.Takeovers() > 0, "with takeovers");
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
