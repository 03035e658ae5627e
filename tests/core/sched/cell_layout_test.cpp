/**
 * @file cell_layout_test.cpp Tests the division of runners and jobs into cells.
 */

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "core/sched/cell_layout_func.h"

namespace bronze::sched {

BOOST_AUTO_TEST_SUITE(CellLayoutSuite)

/** Guards against cells of very different size: 138 racks in five data centres
 *  are dealt out so that no cell has over a third more than another. */
BOOST_AUTO_TEST_CASE(NumberedRacksAreSpreadEvenly) {
  for (const uint32_t cells : {4U, 9U, 16U}) {
    const CellLayout layout{cells};
    std::map<CellId, int> racks;
    for (int dataCentre = 1; dataCentre <= 5; ++dataCentre) {
      for (int rack = 1; rack <= 28; ++rack) {
        ++racks[CellOfRack(layout, fmt::format("r{}-{}", dataCentre, rack))];
      }
    }
    BOOST_REQUIRE_EQUAL(racks.size(), cells);
    const auto [least, most] = std::minmax_element(
        racks.begin(), racks.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second < aRight.second;
        });
    BOOST_TEST(least->second * 4 >= most->second * 2, cells);
  }
}

/** Guards against a rack whose runners are in several cells, and against names
 *  that break the arithmetic. */
BOOST_AUTO_TEST_CASE(EveryRackHasOneCell) {
  const CellLayout layout{7};
  RunnerEntry entry;
  entry.m_id = RunnerId("i-1");
  for (const auto* rack :
       {"", "rack", "r1-3", "7", "r99999999999999999999999999"}) {
    entry.m_labels = {"kind", rack};
    BOOST_TEST(CellOfRack(layout, rack).Value() < 7U);
    BOOST_TEST((CellOfRunner(layout, entry) == CellOfRack(layout, rack)));
  }
  entry.m_labels.clear();
  BOOST_TEST(CellOfRunner(layout, entry).Value() < 7U);
}

/** Guards against jobs that gather in few cells. */
BOOST_AUTO_TEST_CASE(JobsAreSpreadOverTheCells) {
  const CellLayout layout{9};
  std::map<CellId, int> jobs;
  for (uint64_t id = 1; id <= 9000; ++id) ++jobs[HomeCell(layout, JobId(id))];
  for (const auto& [cell, count] : jobs) {
    BOOST_TEST(count > 850);
    BOOST_TEST(count < 1150);
  }
}

/** Guards against a deployment without cells, or with more than the heartbeats
 *  in one part of the store allow. */
BOOST_AUTO_TEST_CASE(NumberOfCellsFollowsTheRunners) {
  BOOST_TEST(CellsFor(0, 120) == 1U);
  BOOST_TEST(CellsFor(48, 250) == 1U);
  BOOST_TEST(CellsFor(350, 78) == 4U);
  BOOST_TEST(CellsFor(1100, 120) == 9U);
  BOOST_TEST(CellsFor(1'000'000, 1) == 48U);
  BOOST_TEST(CellsFor(10, 0) == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
