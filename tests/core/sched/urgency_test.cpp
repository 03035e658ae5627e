/**
 * @file urgency_test.cpp Gangs that lose a member, preemption, preferred racks,
 * and queues that move to another pool.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/placement_func.h"

namespace bronze::sched {

namespace {

JobSpec LessUrgent(uint64_t aId, uint32_t aTasks) {
  JobSpec spec = CellFixture::Spec(aId, aTasks);
  spec.m_policy.m_priority = 2;
  return spec;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(UrgencySuite, CellFixture)

/** Guards against members of a gang that wait for one whose start was refused,
 *  until they time out. */
BOOST_AUTO_TEST_CASE(RefusedMemberStopsItsGang) {
  AddRunner("a", 8000);
  AddRunner("b", 8000);
  JobSpec spec = Spec(1, 3);
  spec.m_steps[0].m_gang = true;
  Submit(std::move(spec));
  PlaceTasks(m_cell, m_now);
  CommitAll();
  const auto starts = Take<StartOrder>();
  BOOST_REQUIRE_EQUAL(starts.size(), 3U);
  ApplyStartAnswer(m_cell, starts[0], OrderOutcome::Applied, {}, m_now);
  ApplyStartAnswer(m_cell, starts[1], OrderOutcome::RefusedRoom, {}, m_now);
  const auto stops = Take<StopOrder>();
  BOOST_TEST(stops.size() == 2U);
  BOOST_TEST((TaskOf(1, 0).m_phase == TaskPhase::Stopping));
  BOOST_TEST((TaskOf(1, 2).m_phase == TaskPhase::Stopping));
  // The members restart together, with a run number that none has had.
  for (const StopOrder& stop : stops) {
    ApplyStopAnswer(m_cell, stop, OrderOutcome::Applied, m_now);
  }
  AdvanceTime(milliseconds(500));
  for (uint32_t runner = 0; runner < 2; ++runner) {
    Report(RunnerIndex(runner), {}, {});
  }
  const auto again = StartAll();
  BOOST_REQUIRE_EQUAL(again.size(), 3U);
  for (const StartOrder& start : again) BOOST_TEST(start.m_run.Value() == 2U);
}

/** Guards against endless restarts of a gang because a different member fails
 *  each time. */
BOOST_AUTO_TEST_CASE(GangFailsAsOne) {
  const RunnerIndex runner = AddRunner("a");
  JobSpec spec = Spec(1, 3);
  spec.m_steps[0].m_gang = true;
  Submit(std::move(spec));
  uint64_t number = 0;
  for (uint32_t run = 1; run <= 3; ++run) {
    AdvanceTime(seconds(20));
    BOOST_REQUIRE_EQUAL(StartAll().size(), 3U);
    std::vector<EndRow> ends;
    for (uint32_t index = 0; index < 3; ++index) {
      const EndKind kind = index == run - 1 ? EndKind::Failed : EndKind::Broken;
      ends.push_back({EndNumber(++number),
                      {JobId(1), 0, 0, index},
                      RunNumber(run),
                      kind,
                      ""});
    }
    Report(runner, {}, ends);
  }
  CommitAll();
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Failed));
}

/** Guards against urgent tasks that wait behind less urgent ones, and against
 *  more than one task stopped for each. */
BOOST_AUTO_TEST_CASE(UrgentTaskStopsOneLessUrgent) {
  const RunnerIndex runner = AddRunner("a", 8000);
  Submit(LessUrgent(1, 2));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  Submit(Spec(2, 1));
  BOOST_TEST(StartAll().empty());
  AdvanceTime(milliseconds(300));
  m_cell.m_capacityChanged = true;
  PlaceTasks(m_cell, m_now);
  const auto stops = Take<StopOrder>();
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  m_cell.m_capacityChanged = true;
  PlaceTasks(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().empty());
  const uint32_t left = 1 - stops[0].m_task.m_index;
  Report(runner, {{{JobId(1), 0, 0, left}, RunNumber(1), "", 50, 0}},
         {{EndNumber(1), stops[0].m_task, RunNumber(1), EndKind::Stopped,
           "half"}});
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_task.m_job == JobId(2)));
  BOOST_TEST(TaskOf(1, stops[0].m_task.m_index).m_checkpoint == "half");
}

/** Guards against a gang that keeps urgent tasks waiting, and against members
 *  that continue after one of them was stopped. */
BOOST_AUTO_TEST_CASE(GangIsStoppedWhole) {
  AddRunner("a", 8000);
  JobSpec gang = LessUrgent(1, 2);
  gang.m_steps[0].m_gang = true;
  Submit(std::move(gang));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  Submit(Spec(2, 1));
  AdvanceTime(milliseconds(300));
  m_cell.m_capacityChanged = true;
  PlaceTasks(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().size() == 2U);
}

/** Guards against many steps that fit nowhere and keep a pass from reaching
 *  those behind them that do. */
BOOST_AUTO_TEST_CASE(ManyUnplaceableStepsHideNoOther) {
  AddRunner("a", 8000);
  for (uint64_t id = 1; id <= 200; ++id) {
    JobSpec spec = Spec(id, 1);
    spec.m_steps[0].m_need.m_cores =
        Millicores(9000 + static_cast<int64_t>(id));
    Submit(std::move(spec));
  }
  for (uint64_t id = 201; id <= 400; ++id) {
    JobSpec spec = Spec(id, 1);
    spec.m_steps[0].m_requiredLabel = "nowhere";
    Submit(std::move(spec));
  }
  JobSpec behind = Spec(1000, 1);
  behind.m_policy.m_priority = 3;
  Submit(std::move(behind));
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against stopping tasks that are as urgent, that are long-running, or
 *  whose end makes too little room. */
BOOST_AUTO_TEST_CASE(OnlyAUsefulVictimIsStopped) {
  AddRunner("a", 8000);
  JobSpec longRunning = LessUrgent(1, 1);
  longRunning.m_steps[0].m_longRunning = true;
  Submit(std::move(longRunning));
  Submit(Spec(2, 1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  Submit(Spec(3, 1));
  AdvanceTime(milliseconds(500));
  m_cell.m_capacityChanged = true;
  PlaceTasks(m_cell, m_now);
  BOOST_TEST(Take<StopOrder>().empty());
}

/** Guards against short tasks that run several times as long on another rack
 *  although their own has room a moment later. */
BOOST_AUTO_TEST_CASE(ShortTaskWaitsForItsRack) {
  m_cell.m_settings.m_spreadFactor = 3.0;
  const RunnerIndex near = AddRunner("near", 4000, "r1");
  AddRunner("far", 64000, "r2");
  Submit(Spec(1, 1));
  JobSpec spec = Spec(2, 1);
  spec.m_steps[0].m_affinityRack = "r1";
  m_cell.m_runners[1].m_quarantinedUntil = m_now + milliseconds(1);
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  Submit(spec);
  AdvanceTime(milliseconds(100));
  BOOST_TEST(StartAll().empty());
  Report(
      near, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner == near));
  // The task is placed elsewhere once waiting would cost more than the longer
  // run time.
  spec.m_id = JobId(3);
  Submit(spec);
  BOOST_TEST(StartAll().empty());
  AdvanceTime(milliseconds(900));
  m_cell.m_capacityChanged = true;
  starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_runner != near));
}

/** Guards against one rack full of long-running tasks beside empty ones: tasks
 *  whose data is there would always run elsewhere. */
BOOST_AUTO_TEST_CASE(LongRunningTasksAreSpreadOverRacks) {
  for (const std::string rack : {"r1", "r2"}) {
    for (const std::string name : {"a", "b", "c"}) {
      AddRunner(rack + name, 64000, rack);
    }
  }
  JobSpec spec = Spec(1, 40);
  spec.m_steps[0].m_longRunning = true;
  Submit(std::move(spec));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 40U);
  const RackLoads loads = LoadsOfRacks(m_cell, ServiceId("pool"));
  const int64_t difference = loads.at("r1").m_longRunningDemand.Value() -
                             loads.at("r2").m_longRunningDemand.Value();
  // Runners are packed one after the other, so racks differ by one at most.
  BOOST_TEST(std::abs(difference) <= 64000);
}

/** Guards against jobs that wait for ever because their queue has moved to
 *  another pool and the old one is gone, and against a VM that does not know
 *  the new configuration yet and uses the old pool for a new job. */
BOOST_AUTO_TEST_CASE(JobFollowsItsQueueToAnotherPool) {
  LiveConfig config;
  config.m_version = ConfigVersion(4);
  QueueConfig queue;
  queue.m_id = QueueId("queue");
  queue.m_policy.m_service = ServiceId("pool");
  config.m_queues.push_back(queue);
  JobSpec old = Spec(1);
  old.m_policy.m_service = ServiceId("gone");
  old.m_policy.m_configVersion = ConfigVersion(3);
  AddRunner("a");
  Submit(std::move(old));
  BOOST_TEST(StartAll().empty());
  ApplyLiveConfig(m_cell, config);
  BOOST_TEST(StartAll().size() == 1U);
  JobSpec newer = Spec(2);
  newer.m_policy.m_service = ServiceId("next");
  newer.m_policy.m_configVersion = ConfigVersion(5);
  Submit(std::move(newer));
  BOOST_TEST(StartAll().empty());
}

/** Guards against assigning the same resources twice: a run that no stored
 *  state asks for still uses resources of a runner that does not enforce its
 *  capacity. */
BOOST_AUTO_TEST_CASE(NothingIsPlacedBesideAnUnknownRun) {
  const RunnerIndex runner = AddRunner("a", 8000);
  Report(runner, {{{JobId(9), 0, 0, 0}, RunNumber(4), "", 1, 0}}, {});
  Submit(Spec(1, 1));
  BOOST_TEST(StartAll().empty());
  Report(runner, {}, {});
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against assigning the resources of a superfluous run while it is
 *  being stopped: its task has ended elsewhere (found by sched_property_test,
 *  seed 248424128). */
BOOST_AUTO_TEST_CASE(NothingIsPlacedBesideARunThatIsBeingStopped) {
  const RunnerIndex first = AddRunner("a", 4000);
  Submit(Spec(1, 1));
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  BOOST_REQUIRE(NextRenewal(m_cell, first, m_now).has_value());
  ApplyRenewalFailure(m_cell, first, OrderOutcome::Unknown, m_now);
  // Beyond the lease and the wait for a report after it.
  AdvanceTime(seconds(22));
  AdvanceRunners(m_cell, m_now);
  const RunnerIndex second = AddRunner("b", 4000);
  BOOST_REQUIRE_EQUAL(StartAll().size(), 1U);
  Report(
      first, {},
      {{EndNumber(1), {JobId(1), 0, 0, 0}, RunNumber(1), EndKind::Done, ""}});
  Submit(Spec(2, 2));
  BOOST_TEST(StartAll().size() == 1U);
  Report(second, {}, {});
  BOOST_TEST(StartAll().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
