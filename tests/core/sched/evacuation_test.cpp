/**
 * @file evacuation_test.cpp Tests that nothing is started in a data centre
 * under evacuation, whatever leads to the start, and that what runs there and
 * what waits elsewhere go on.
 */

#include "core/sched/evacuation_cmd.h"

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/move_cmd.h"
#include "core/sched/restart_cmd.h"
#include "core/sched/route_cmd.h"

namespace bronze::sched {

namespace {

const DataCentreId kNorth("north");
const DataCentreId kSouth("south");

/** One runner in each of two data centres. */
struct TwoDataCentres : CellFixture {
  TwoDataCentres() {
    m_north = AddRunnerIn(kNorth, "n", "r1");
    m_south = AddRunnerIn(kSouth, "s", "r2");
  }

  RunnerIndex AddRunnerIn(const DataCentreId& aDataCentre,
                          const std::string& aName, const std::string& aRack,
                          int64_t aCores = 16000) {
    const RunnerIndex index = AddRunner(aName, aCores, aRack);
    RunnerEntry entry = m_cell.m_runners[index.Value()].m_entry;
    entry.m_dataCentre = aDataCentre;
    UpdateRunner(m_cell, entry, m_now, m_unixNow);
    return index;
  }

  void Evacuate(std::set<DataCentreId> aDataCentres) {
    SetEvacuations(m_cell, std::move(aDataCentres));
  }

  RunnerIndex m_north;
  RunnerIndex m_south;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationSuite, TwoDataCentres)

/** Guards against new work in a data centre under evacuation, and against work
 *  that stays away once the request is withdrawn. */
BOOST_AUTO_TEST_CASE(NothingIsPlacedUnderEvacuation) {
  Evacuate({kNorth});
  Submit(Spec(1, 4));
  Submit(Spec(2, 1));
  for (const StartOrder& start : StartsWithin(seconds(1))) {
    BOOST_TEST((start.m_runner == m_south));
  }
  BOOST_TEST(!m_cell.m_queue.empty());
  Evacuate({});
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == m_north));
}

/** Guards against a start that had been decided when the request came: its
 *  placement is durable only afterwards. */
BOOST_AUTO_TEST_CASE(DecidedStartsAreWithdrawn) {
  Submit(Spec(1, 4));
  Submit(Spec(2, 4));
  PlaceTasks(m_cell, m_now);
  Evacuate({kNorth});
  CommitAll();
  const auto starts = Take<StartOrder>();
  BOOST_TEST(starts.size() == 4U);
  for (const StartOrder& start : starts) {
    BOOST_TEST((start.m_runner == m_south));
  }
  BOOST_TEST(m_cell.m_counts.m_evacuatedStarts == 4U);
  BOOST_TEST(m_cell.m_runners[m_north.Value()].m_tasks.empty());
}

/** Guards against a start by a successor that restored a placement in the data
 *  centre, and knows of the request. */
BOOST_AUTO_TEST_CASE(SuccessorStartsNothingThere) {
  Submit(Spec(1, 8));
  PlaceTasks(m_cell, m_now);
  const Commit commit = TakeCommit(m_cell, 10, m_now);
  m_rows.Apply(commit);
  TakeOver();
  Evacuate({kNorth});
  m_north = AddRunnerIn(kNorth, "n", "r1");
  m_south = AddRunnerIn(kSouth, "s", "r2");
  const auto starts = StartsWithin(seconds(1));
  BOOST_TEST(!starts.empty());
  for (const StartOrder& start : starts) {
    BOOST_TEST((start.m_runner == m_south));
  }
}

/** Guards against a long-running task that stays without a run, or starts again
 *  in the data centre, after it lost its run there. */
BOOST_AUTO_TEST_CASE(LostRunsAreRestartedElsewhere) {
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_longRunning = true;
  spec.m_steps[0].m_affinityRack = "r1";
  Submit(spec);
  const auto first = StartAll();
  BOOST_REQUIRE_EQUAL(first.size(), 1U);
  BOOST_REQUIRE((first[0].m_runner == m_north));
  Evacuate({kNorth});
  Report(
      m_north, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Failed, ""}});
  const auto starts = StartsWithin(seconds(1));
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == m_south));
}

/** Guards against a restart in quarantine there: it is the way by which a task
 *  gets a runner that is not usable otherwise. */
BOOST_AUTO_TEST_CASE(QuarantinedRunnersThereGetNoRestart) {
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_longRunning = true;
  Submit(spec);
  const RunnerIndex first = StartAll().at(0).m_runner;
  const RunnerIndex other = first == m_north ? m_south : m_north;
  m_cell.m_runners[other.Value()].m_quarantineCount = 3;
  m_cell.m_runners[other.Value()].m_quarantinedUntil = m_now + seconds(20);
  Evacuate({m_cell.m_runners[other.Value()].m_entry.m_dataCentre});
  m_cell.m_runners[first.Value()].m_entry.m_draining = true;
  Report(
      first, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Failed, ""}});
  AdvanceTime(kMaxQuarantineWait);
  BOOST_TEST(StartsWithin(seconds(1)).empty());
}

/** Guards against a gang that is placed partly in the data centre. */
BOOST_AUTO_TEST_CASE(GangsArePlacedElsewhereOrWait) {
  JobSpec spec = Spec(1, 5);
  spec.m_steps[0].m_gang = true;
  Submit(spec);
  Evacuate({kNorth});
  BOOST_TEST(StartsWithin(seconds(1)).empty());
  AddRunnerIn(kSouth, "t", "r3");
  const auto starts = StartsWithin(seconds(1));
  BOOST_REQUIRE_EQUAL(starts.size(), 5U);
  for (const StartOrder& start : starts) {
    BOOST_TEST((start.m_runner != m_north));
  }
}

/** Guards against runs that lose their lease for a request that only concerns
 *  new work. */
BOOST_AUTO_TEST_CASE(RunsThereGoOn) {
  Submit(Spec(1, 8));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 8U);
  Evacuate({kNorth});
  AdvanceTime(seconds(1));
  const auto renewal = NextRenewal(m_cell, m_north, m_now);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST(renewal->m_deadline.Value() > 0);
  BOOST_TEST(Take<StopOrder>().empty());
}

/** Guards against a second request that is mixed up with the first, and against
 *  one that is withdrawn and made again between two passes. */
BOOST_AUTO_TEST_CASE(RequestsAreIndependent) {
  Evacuate({kNorth, kSouth});
  Submit(Spec(1, 1));
  BOOST_TEST(StartsWithin(seconds(1)).empty());
  Evacuate({kNorth});
  Evacuate({kNorth, kSouth});
  BOOST_TEST(StartsWithin(seconds(1)).empty());
  Evacuate({kSouth});
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == m_north));
}

/** Guards against a runner that is listed only after the request, and against
 *  an update of its entry that makes it available again. */
BOOST_AUTO_TEST_CASE(RunnersThatComeLaterAreIncluded) {
  Evacuate({kNorth});
  const RunnerIndex late = AddRunnerIn(kNorth, "late", "r4");
  AddRunnerIn(kNorth, "n", "r1");
  Submit(Spec(1, 5));
  for (const StartOrder& start : StartsWithin(seconds(1))) {
    BOOST_TEST((start.m_runner == m_south));
  }
  BOOST_TEST(m_cell.m_runners[late.Value()].m_evacuated);
}

/** Guards against jobs that wait in a cell all of whose runners are under
 *  evacuation while another cell has room, and against new jobs sent there. */
BOOST_AUTO_TEST_CASE(JobsLeaveACellUnderEvacuation) {
  Evacuate({kNorth, kSouth});
  Submit(Spec(1, 4));
  AdvanceTime(milliseconds(300));
  std::vector<CellLoad> loads(2);
  loads[0] = LoadOf(m_cell);
  BOOST_TEST(loads[0].m_cores == 0U);
  loads[1].m_cores = 1'000'000;
  BOOST_TEST((ChooseCell(CellId(0), loads, Spec(2)) == CellId(1)));
  BOOST_TEST((ChooseCell(CellId(1), loads, Spec(2)) == CellId(1)));
  BOOST_TEST(BeginMoves(m_cell, CellId(0), loads, m_now) == 1U);
}

/** Guards against jobs that wait in a cell without a runner of the kind that
 *  they require, although both cells are equally loaded. */
BOOST_AUTO_TEST_CASE(JobsFollowTheLabelThatTheyRequire) {
  JobSpec spec = Spec(1, 1);
  spec.m_steps[0].m_requiredLabel = "r1";
  Submit(spec);
  Evacuate({kNorth});
  AdvanceTime(milliseconds(300));
  std::vector<CellLoad> loads(2, LoadOf(m_cell));
  loads[1].m_kinds = {"kind", "r1"};
  BOOST_TEST(BeginMoves(m_cell, CellId(0), loads, m_now) == 1U);
}

/** Guards against jobs that wait behind many that cannot move. */
BOOST_AUTO_TEST_CASE(JobsThatCannotMoveHideNoOthers) {
  for (uint64_t id = 1; id <= 80; ++id) {
    JobSpec spec = Spec(id, 2);
    spec.m_steps[0].m_need.m_cores = Millicores(16000);
    Submit(spec);
    TaskOf(id).m_run = RunNumber(1);
  }
  Evacuate({kNorth, kSouth});
  Submit(Spec(1000, 1));
  AdvanceTime(milliseconds(300));
  std::vector<CellLoad> loads(2);
  loads[0] = LoadOf(m_cell);
  loads[1].m_cores = 1'000'000;
  BOOST_TEST(BeginMoves(m_cell, CellId(0), loads, m_now) == 1U);
}

/** Guards against work on cold runners while warm ones have room, and against
 *  cold runners that stay idle while work waits. */
BOOST_AUTO_TEST_CASE(WarmRunnersGoFirst) {
  RunnerEntry entry = m_cell.m_runners[m_north.Value()].m_entry;
  entry.m_coldLeft = seconds(3);
  UpdateRunner(m_cell, entry, m_now, m_unixNow);
  Submit(Spec(1, 1));
  auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == m_south));
  Submit(Spec(2, 7));
  BOOST_TEST(StartAll().size() == 7U);
}

/** Guards against figures for operators that leave out a data centre. */
BOOST_AUTO_TEST_CASE(ProgressIsReported) {
  Submit(Spec(1, 8));
  StartAll();
  Evacuate({kNorth, DataCentreId("without-runners")});
  const auto progress = EvacuationsOf(m_cell);
  BOOST_REQUIRE_EQUAL(progress.size(), 2U);
  BOOST_TEST((progress[0].m_dataCentre == kNorth));
  BOOST_TEST(progress[0].m_runners == 1U);
  BOOST_TEST(progress[0].m_tasks == 4U);
  BOOST_TEST(progress[1].m_runners == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
