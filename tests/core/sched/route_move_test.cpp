/**
 * @file route_move_test.cpp Tests which cell schedules a job, and moves of
 * waiting jobs between cells.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/cell_layout_func.h"
#include "core/sched/interference_func.h"
#include "core/sched/move_cmd.h"
#include "core/sched/route_cmd.h"

namespace bronze::sched {

namespace {

constexpr CellId kHome(0);

/** Loads of cells with the same runners and no work. */
std::vector<CellLoad> EmptyLoads(size_t aCells) {
  CellLoad load;
  load.m_cores = 1'000'000;
  load.m_kinds = {"kind", "r1"};
  return std::vector<CellLoad>(aCells, load);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RouteMoveSuite, CellFixture)

/** Guards against needless routes, each of which costs a commit and a hop. */
BOOST_AUTO_TEST_CASE(JobStaysAtHomeIfLoadsAreAlike) {
  auto loads = EmptyLoads(9);
  for (size_t at = 0; at < loads.size(); ++at) {
    loads[at].m_short = 300 + static_cast<uint32_t>(at);
  }
  for (uint64_t id = 1; id < 50; ++id) {
    BOOST_TEST((ChooseCell(kHome, loads, Spec(id)) == kHome));
  }
}

/** Guards against a cell that queues jobs while others have room. */
BOOST_AUTO_TEST_CASE(JobLeavesABusyHome) {
  auto loads = EmptyLoads(9);
  loads[0].m_short = 1500;
  size_t moved = 0;
  for (uint64_t id = 1; id <= 100; ++id) {
    if (ChooseCell(kHome, loads, Spec(id)) != kHome) ++moved;
  }
  BOOST_TEST(moved > 90U);
}

/** Guards against all homes sending their jobs to the one cell that was the
 *  least loaded half a second ago. */
BOOST_AUTO_TEST_CASE(JobsOfABusyHomeAreSpread) {
  auto loads = EmptyLoads(9);
  for (CellLoad& load : loads) load.m_short = 800;
  loads[0].m_short = 1500;
  loads[4].m_short = 700;
  std::map<CellId, int> targets;
  for (uint64_t id = 1; id <= 100; ++id) {
    ++targets[ChooseCell(kHome, loads, Spec(id))];
  }
  BOOST_TEST(targets.size() >= 7U);
  BOOST_TEST(targets[CellId(4)] < 60);
}

/** Guards against a job that runs away from its data although the rack's cell
 *  has it, and against one sent to a cell without runners. */
BOOST_AUTO_TEST_CASE(JobFollowsTheRackOfItsData) {
  auto loads = EmptyLoads(5);
  const CellId cell = CellOfRack({5}, "r2-7");
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_affinityRack = "r2-7";
  for (CellLoad& load : loads) load.m_short = 100;
  loads[cell.Value()].m_short = 900;
  BOOST_TEST((ChooseCell(kHome, loads, spec) == cell));
  loads[cell.Value()].m_cores = 0;
  BOOST_TEST((ChooseCell(kHome, loads, spec) != cell || cell == kHome));
}

/** Guards against a job that waits for ever in a cell without the kind of
 *  runner that it requires. */
BOOST_AUTO_TEST_CASE(JobGoesWhereItsKindOfRunnerIs) {
  auto loads = EmptyLoads(6);
  loads[4].m_kinds = {"gpu", "kind"};
  for (uint64_t id = 1; id < 40; ++id) {
    JobSpec spec = Spec(id);
    spec.m_steps[0].m_requiredLabel = "gpu";
    BOOST_TEST((ChooseCell(kHome, loads, spec) == CellId(4)));
  }
  JobSpec nowhere = Spec(1);
  nowhere.m_steps[0].m_requiredLabel = "tpu";
  BOOST_TEST((ChooseCell(kHome, loads, nowhere) == kHome));
}

/** Guards against callers who are sent along a route that a new owner of the
 *  home would not know. */
BOOST_AUTO_TEST_CASE(RouteIsUsedOnlyOnceItIsDurable) {
  RouteJob(m_cell, JobId(5), CellId(3), m_now);
  BOOST_TEST(!StoredRouteOf(m_cell, JobId(5)).has_value());
  const Commit commit = TakeCommit(m_cell, 10, m_now);
  BOOST_REQUIRE_EQUAL(commit.m_routes.size(), 1U);
  BOOST_TEST(!StoredRouteOf(m_cell, JobId(5)).has_value());
  ReturnCommit(m_cell, commit);
  BOOST_TEST(HasCommit(m_cell));
  ApplyCommitted(m_cell, TakeCommit(m_cell, 10, m_now), m_now);
  BOOST_TEST((StoredRouteOf(m_cell, JobId(5)) == CellId(3)));
}

/** Guards against a route that stays behind although its caller was told that
 *  the job does not run. */
BOOST_AUTO_TEST_CASE(UnstoredRouteIsWithdrawn) {
  RouteJob(m_cell, JobId(5), CellId(3), m_now);
  const auto withdrawn = WithdrawUnstored(m_cell, {});
  BOOST_REQUIRE_EQUAL(withdrawn.size(), 1U);
  BOOST_TEST((withdrawn[0] == JobId(5)));
  BOOST_TEST(!HasCommit(m_cell));
}

/** Guards against routes that are kept for ever. */
BOOST_AUTO_TEST_CASE(OldRouteIsCheckedAndRemoved) {
  RestoreRoute(m_cell, {JobId(5), CellId(3), 0}, m_now);
  BOOST_TEST(!NextRouteToCheck(m_cell, m_now).has_value());
  AdvanceTime(seconds(200));
  const auto route = NextRouteToCheck(m_cell, m_now);
  BOOST_REQUIRE(route.has_value());
  BOOST_TEST((route->m_cell == CellId(3)));
  BOOST_TEST(!NextRouteToCheck(m_cell, m_now).has_value());
  RemoveRoute(m_cell, JobId(5));
  BOOST_TEST(TakeCommit(m_cell, 10, m_now).m_removedRoutes.size() == 1U);
}

/** Guards against jobs that wait in a full cell while others have room, and
 *  against starts of a job whose move has begun. */
BOOST_AUTO_TEST_CASE(WaitingJobMovesToACellWithRoom) {
  AddRunner("a", 4000);
  Submit(Spec(1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  Submit(Spec(2));
  BOOST_TEST(StartAll().empty());
  auto loads = EmptyLoads(3);
  loads[0] = LoadOf(m_cell);
  BOOST_TEST(BeginMoves(m_cell, kHome, loads, m_now) == 0U);
  AdvanceTime(milliseconds(400));
  loads[0] = LoadOf(m_cell);
  BOOST_TEST(BeginMoves(m_cell, kHome, loads, m_now) == 1U);
  BOOST_TEST(TakeMovesToSend(m_cell, m_now).empty());
  CommitAll();
  const auto moves = TakeMovesToSend(m_cell, m_now);
  BOOST_REQUIRE_EQUAL(moves.size(), 1U);
  BOOST_TEST((moves[0].m_job == JobId(2)));
  AddRunner("b", 4000);
  BOOST_TEST(StartAll().empty());
}

/** Guards against a move of a job that has begun: a late end of one of its runs
 *  would not reach the other cell. */
BOOST_AUTO_TEST_CASE(JobWithARunStays) {
  AddRunner("a", 4000);
  Submit(Spec(1, 2));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  AdvanceTime(seconds(2));
  auto loads = EmptyLoads(3);
  loads[0] = LoadOf(m_cell);
  loads[0].m_short = 3000;
  BOOST_TEST(BeginMoves(m_cell, kHome, loads, m_now) == 0U);
}

/** Guards against a count of waiting jobs that loses one for each job that
 * moves after its first step: such a job was not counted any more (seen on the
 * large deployment as 8 instead of 21). */
BOOST_AUTO_TEST_CASE(MovedJobThatHasBegunIsNotCountedTwice) {
  const RunnerIndex runner = AddRunner("a", 4000);
  JobSpec spec = Spec(1);
  spec.m_steps.push_back(spec.m_steps[0]);
  spec.m_steps[1].m_after = {0};
  spec.m_steps[1].m_need.m_cores = Millicores(8000);
  Submit(spec);
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  Report(runner, {},
         {{EndNumber(1), starts[0].m_task, RunNumber(1), EndKind::Done, ""}});
  CommitAll();
  JobSpec waiting = Spec(2);
  waiting.m_steps[0].m_need.m_cores = Millicores(8000);
  Submit(waiting);
  BOOST_REQUIRE_EQUAL(PendingJobs(m_cell, QueueId("queue")), 1U);
  AdvanceTime(seconds(1));
  auto loads = EmptyLoads(2);
  loads[0].m_short = 2000;
  BOOST_REQUIRE(BeginMoves(m_cell, kHome, loads, m_now) >= 1U);
  CommitAll();
  CompleteMove(m_cell, {JobId(1), CellId(1), 1}, m_now);
  BOOST_TEST(m_cell.m_jobs.count(JobId(1)) == 0U);
  BOOST_TEST(PendingJobs(m_cell, QueueId("queue")) == 1U);
}

/** Guards against a job that is scheduled by both cells after a takeover in the
 *  middle of its move, and against one that is forgotten. */
BOOST_AUTO_TEST_CASE(MoveContinuesAfterATakeover) {
  Submit(Spec(2));
  AdvanceTime(seconds(1));
  auto loads = EmptyLoads(2);
  loads[0].m_short = 2000;
  BOOST_REQUIRE_EQUAL(BeginMoves(m_cell, kHome, loads, m_now), 1U);
  CommitAll();
  TakeOver();
  AddRunner("a", 64000);
  BOOST_TEST(StartAll().empty());
  const auto moves = TakeMovesToSend(m_cell, m_now);
  BOOST_REQUIRE_EQUAL(moves.size(), 1U);
  BOOST_TEST((moves[0].m_target == CellId(1)));
  CompleteMove(m_cell, moves[0], m_now);
  BOOST_TEST(m_cell.m_jobs.empty());
  CommitAll();
  BOOST_TEST((StoredRouteOf(m_cell, JobId(2)) == CellId(1)));
}

/** Guards against a second run of a job that arrives twice, also after it has
 *  been moved on, and against the loss of one that comes back. */
BOOST_AUTO_TEST_CASE(JobArrivesOnce) {
  StoredState state;
  state.m_job = JobId(9);
  state.m_moveCount = 1;
  state.m_occurrences.emplace_back();
  const auto first = AdoptJob(m_cell, Spec(9), state, m_now, m_unixNow);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first.value().m_version > 0U);
  CommitAll();
  BOOST_REQUIRE(AdoptJob(m_cell, Spec(9), state, m_now, m_unixNow).has_value());
  BOOST_TEST(m_cell.m_queue.size() == 1U);
  AdvanceTime(seconds(1));
  auto loads = EmptyLoads(2);
  loads[0].m_short = 2000;
  BOOST_REQUIRE_EQUAL(BeginMoves(m_cell, kHome, loads, m_now), 1U);
  CommitAll();
  CompleteMove(m_cell, {JobId(9), CellId(1), 2}, m_now);
  CommitAll();
  BOOST_TEST(!AdoptJob(m_cell, Spec(9), state, m_now, m_unixNow).has_value());
  state.m_moveCount = 3;
  BOOST_REQUIRE(AdoptJob(m_cell, Spec(9), state, m_now, m_unixNow).has_value());
  CommitAll();
  BOOST_TEST(!StoredRouteOf(m_cell, JobId(9)).has_value());
  BOOST_TEST(m_cell.m_queue.size() == 1U);
}

/** Guards against a job that no cell has any more: it came back before this
 *  cell learned that it had arrived at the other one (found by
 *  sched_move_property_test, seed 0). */
BOOST_AUTO_TEST_CASE(JobComesBackBeforeItsMoveEnded) {
  Submit(Spec(9));
  AdvanceTime(seconds(1));
  auto loads = EmptyLoads(2);
  loads[0].m_short = 2000;
  BOOST_REQUIRE_EQUAL(BeginMoves(m_cell, kHome, loads, m_now), 1U);
  CommitAll();
  StoredState state;
  state.m_job = JobId(9);
  state.m_moveCount = 2;
  state.m_occurrences.emplace_back();
  BOOST_REQUIRE(AdoptJob(m_cell, Spec(9), state, m_now, m_unixNow).has_value());
  CommitAll();
  BOOST_TEST(m_cell.m_queue.size() == 1U);
  // The answer to the first move arrives at last.
  CompleteMove(m_cell, {JobId(9), CellId(1), 1}, m_now);
  BOOST_TEST(m_cell.m_jobs.count(JobId(9)) == 1U);
}

/** Guards against a job that counts as stored although only its state before a
 *  move is: it comes back while a commit with that state is under way. */
BOOST_AUTO_TEST_CASE(JobThatComesBackIsStoredAnew) {
  Submit(Spec(9));
  AdvanceTime(seconds(1));
  auto loads = EmptyLoads(2);
  loads[0].m_short = 2000;
  BOOST_REQUIRE_EQUAL(BeginMoves(m_cell, kHome, loads, m_now), 1U);
  const Commit underWay = TakeCommit(m_cell, 10, m_now);
  StoredState state;
  state.m_job = JobId(9);
  state.m_moveCount = 2;
  state.m_occurrences.emplace_back();
  const auto back = AdoptJob(m_cell, Spec(9), state, m_now, m_unixNow);
  BOOST_REQUIRE(back.has_value());
  ApplyCommitted(m_cell, underWay, m_now);
  const Job& job = m_cell.m_jobs.at(JobId(9));
  BOOST_TEST(job.m_storedVersion < back.value().m_version);
  BOOST_TEST(!job.m_specStored);
  CommitAll();
  BOOST_TEST(job.m_storedVersion >= back.value().m_version);
  BOOST_TEST(job.m_specStored);
}

/** Guards against a transaction with more entries than the store accepts. */
BOOST_AUTO_TEST_CASE(CommitKeepsItsLimitOfRows) {
  for (uint64_t id = 1; id <= 30; ++id) {
    RouteJob(m_cell, JobId(1000 + id), CellId(1), m_now);
    BOOST_REQUIRE(SubmitJob(m_cell, Spec(id), m_now, m_unixNow).has_value());
    m_cell.m_removed.push_back(JobId(2000 + id));
    m_cell.m_removedRoutes.push_back(JobId(3000 + id));
  }
  size_t rows = 0;
  while (HasCommit(m_cell)) {
    const Commit commit = TakeCommit(m_cell, 20, m_now);
    size_t entries = commit.m_routes.size() + commit.m_removedRoutes.size() +
                     2 * commit.m_removed.size();
    for (const JobWrite& write : commit.m_writes) {
      entries += write.m_spec ? 2 : 1;
    }
    BOOST_TEST(entries <= 20U);
    BOOST_REQUIRE(entries > 0U);
    rows += entries;
    ApplyCommitted(m_cell, commit, m_now);
  }
  BOOST_TEST(rows == 30U * 6U);
}

/** Guards against cells that each learn the interference of images anew. */
BOOST_AUTO_TEST_CASE(InterferenceIsSharedBetweenCells) {
  ImageInterferenceTable learned;
  const ImageIndex fill = FindOrAddImage(learned, "fill");
  const ImageIndex desk = FindOrAddImage(learned, "desk");
  for (int i = 0; i < 10; ++i) {
    LearnInterference(learned, {{fill, 0.2}}, desk, 0.2);
    LearnInterference(learned, {{fill, -0.2}}, desk, -0.2);
  }
  ImageInterferenceTable other;
  const ImageIndex otherDesk = FindOrAddImage(other, "desk");
  const ImageIndex otherFill = FindOrAddImage(other, "fill");
  BOOST_TEST(InterferenceOf(other, otherFill, otherDesk) == 0.0);
  const std::map<CellId, StoredInterference> shared = {
      {CellId(1), ToStored(learned)}};
  ShareInterference(other, shared);
  ShareInterference(other, shared);
  BOOST_TEST(InterferenceOf(other, otherFill, otherDesk) ==
             InterferenceOf(learned, fill, desk));
  // What other cells learned is not written as this cell's own.
  BOOST_TEST(ToStored(other).m_pairs.empty());
}

/** Guards against 410 for an accepted job that has come from another cell and
 *  is not stored here yet (read in the review, not seen). */
BOOST_AUTO_TEST_CASE(JobThatIsBeingStoredIsNotUnknown) {
  BOOST_REQUIRE(SubmitJob(m_cell, Spec(1), m_now, m_unixNow).has_value());
  BOOST_TEST(
      (LookUpJob(m_cell, JobId(1)).error().m_kind == ErrorKind::NotReady));
  BOOST_TEST(
      (LookUpJob(m_cell, JobId(2)).error().m_kind == ErrorKind::UnknownJob));
  CommitAll();
  BOOST_TEST(LookUpJob(m_cell, JobId(1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
