/**
 * @file batch_path_test.cpp A job from submission to end, without faults.
 */

#include <boost/test/unit_test.hpp>

#include "batch_world.h"
#include "core/batch/row_key_func.h"

namespace bronze {

namespace {

constexpr Resources kWorker{Millicores(16'000), Mebibytes(64'000),
                            Accelerators(0)};

JobRow MakeJob(uint32_t aTasks,
               Resources aSize = {Millicores(2'000), Mebibytes(4'000),
                                  Accelerators(0)}) {
  JobRow row;
  row.m_spec.m_team = TeamId("blue");
  row.m_spec.m_kind = KindId("sort");
  row.m_spec.m_resources = aSize;
  row.m_tasks = aTasks;
  return row;
}

struct Fixture {
  Fixture() : m_world(2, 2, kWorker), m_daemon(m_world.AddDaemon()) {
    m_world.RunFor(seconds(2));
  }

  bool RunUntilState(TaskState aState, int aCount, Duration aLimit) {
    return m_world.RunUntil(
        [&] { return m_world.CountState(aState) == aCount; }, aLimit);
  }

  BatchWorld m_world;
  FakeDaemon& m_daemon;
};

}  // namespace

// Guards against tasks that are lost between queue, offer and start.
BOOST_FIXTURE_TEST_CASE(AllTasksOfAJobFinish, Fixture) {
  m_daemon.Submit(MakeJob(40));
  BOOST_TEST(RunUntilState(TaskState::Finished, 40, seconds(120)));
  m_world.RunFor(seconds(10));  // Workers forget the ended tasks.
  BOOST_TEST(m_world.m_violations.empty());
  BOOST_TEST(m_world.m_finishes.size() == 40u);
  BOOST_TEST(m_world.m_starts == 40u);
  const auto view =
      QueryJob(m_daemon.m_teams, m_daemon.m_lastJob, m_world.m_now);
  BOOST_REQUIRE(view.has_value());
  BOOST_TEST((view.value().m_state == JobState::Finished));
  // No row of a rack is left, and no capacity is reserved.
  BOOST_TEST(m_world.m_table.Scan("rack/").empty());
  for (const auto& [id, worker] : m_world.m_workers) {
    BOOST_TEST(worker.m_runs.empty());
  }
  for (const auto& [id, worker] : m_daemon.m_racks.m_workers) {
    BOOST_TEST((worker.m_reserved == Resources{}));
  }
  BOOST_TEST(
      (m_daemon.m_teams.m_teams.at(TeamId("blue")).m_used == Resources{}));
}

}  // namespace bronze
