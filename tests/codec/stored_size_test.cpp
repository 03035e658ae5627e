/**
 * @file stored_size_test.cpp The bounds of row sizes against the encoded rows.
 */

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "codec/job_cbor.h"
#include "core/sched/failed_runs_func.h"
#include "core/sched/interference_func.h"
#include "core/sched/stored_size_func.h"

namespace bronze {

using sched::StoredBytesBound;
using sched::StoredTask;

namespace {

/** Numbers of all encoded lengths; most numbers of a uniform choice are long.
 */
uint64_t AnyNumber() {
  const auto bits = *rc::gen::inRange(0, 64);
  return *rc::gen::arbitrary<uint64_t>() >> bits;
}

std::string AnyText(size_t aMaxLength) {
  const auto length =
      *rc::gen::inRange<size_t>(0, std::min<size_t>(aMaxLength + 1, 300));
  return std::string(length, 'x');
}

StoredTask AnyTask() {
  StoredTask task;
  task.m_state = static_cast<StoredTask::State>(*rc::gen::inRange(0, 3));
  // The run number shares 64 bits with three bits of state.
  task.m_run = sched::RunNumber(AnyNumber() >> 3);
  const int failures = *rc::gen::inRange(0, 20);
  for (int at = 0; at < failures; ++at) {
    sched::AddFailedRun(task.m_failedRuns, sched::RunNumber(AnyNumber() >> 3));
  }
  if (task.m_state == StoredTask::State::Placed) {
    task.m_runner = RunnerId(AnyText(200) + std::to_string(AnyNumber() % 8));
  }
  if (task.m_state == StoredTask::State::Open) {
    task.m_checkpoint = AnyText(sched::kMaxStoredCheckpoint);
  }
  return task;
}

std::vector<StoredTask> AnyTasks() {
  std::vector<StoredTask> tasks;
  const int count = *rc::gen::inRange(0, 60);
  tasks.reserve(static_cast<size_t>(count));
  for (int at = 0; at < count; ++at) tasks.push_back(AnyTask());
  return tasks;
}

sched::StepSpec AnyStep() {
  sched::StepSpec step;
  step.m_count = static_cast<uint32_t>(AnyNumber());
  step.m_need.m_cores = Millicores(static_cast<int64_t>(AnyNumber()));
  step.m_need.m_memory = Mebibytes(static_cast<int64_t>(AnyNumber()));
  step.m_need.m_accelerators = Accelerators(static_cast<int64_t>(AnyNumber()));
  step.m_estimate = Duration(static_cast<int64_t>(AnyNumber()));
  const int earlier = *rc::gen::inRange(0, 100);
  for (int at = 0; at < earlier; ++at) {
    step.m_after.push_back(static_cast<uint32_t>(at));
  }
  step.m_requiredLabel = AnyText(300);
  step.m_affinityRack = AnyText(300);
  step.m_image = AnyText(300);
  step.m_antiAffinity = static_cast<uint32_t>(AnyNumber());
  step.m_mayMiss = static_cast<uint32_t>(AnyNumber());
  step.m_tailTarget = Duration(static_cast<int64_t>(AnyNumber()));
  step.m_savesProgress = true;
  step.m_bestEffort = true;
  return step;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StoredSizeSuite)

/** Guards against a row that the store refuses although its bound was within
 *  the limit. */
BOOST_AUTO_TEST_CASE(RowsOfJobsAreWithinTheirBounds) {
  const bool holds = rc::check("bounds of the rows of jobs", [] {
    sched::StoredState state;
    state.m_job = JobId(AnyNumber());
    state.m_nextOccurrence = static_cast<uint32_t>(AnyNumber());
    state.m_moveCount = static_cast<uint32_t>(AnyNumber());
    state.m_movingTo = CellId(static_cast<uint32_t>(AnyNumber()));
    const int occurrences = *rc::gen::inRange(0, 20);
    for (int at = 0; at < occurrences; ++at) {
      state.m_occurrences.push_back(
          {static_cast<uint32_t>(AnyNumber()), AnyTasks()});
    }
    RC_ASSERT(EncodeJobState(state).size() <= StoredBytesBound(state));
    state.m_tasksPerBlock = 1U + static_cast<uint32_t>(AnyNumber() >> 33);
    RC_ASSERT(EncodeJobState(state).size() <= StoredBytesBound(state));

    const sched::StoredTaskBlock block{
        {JobId(AnyNumber()), static_cast<uint32_t>(AnyNumber()),
         static_cast<uint32_t>(AnyNumber())},
        AnyTasks()};
    RC_ASSERT(EncodeTaskBlock(block).size() <= StoredBytesBound(block));

    sched::JobSpec spec;
    spec.m_id = JobId(AnyNumber());
    spec.m_queue = sched::QueueId(AnyText(300));
    spec.m_payload = AnyText(300);
    spec.m_policy.m_service = sched::ServiceId(AnyText(300));
    spec.m_policy.m_maxAttempts = static_cast<uint32_t>(AnyNumber());
    spec.m_policy.m_advice = sched::AdvicePolicy{
        Duration(INT64_MAX), Duration(INT64_MAX), Duration(INT64_MAX)};
    spec.m_policy.m_configVersion = ConfigVersion(AnyNumber());
    spec.m_policy.m_targetLatency = Duration(INT64_MAX);
    spec.m_startTime = sched::UnixMillis(INT64_MAX);
    spec.m_intervalMs = INT64_MAX;
    spec.m_acceptedAt = sched::UnixMillis(INT64_MAX);
    spec.m_maxRuns = UINT32_MAX;
    const int steps = *rc::gen::inRange(1, 30);
    for (int at = 0; at < steps; ++at) spec.m_steps.push_back(AnyStep());
    RC_ASSERT(EncodeJobSpec(spec).size() <= StoredBytesBound(spec));
  });
  BOOST_TEST(holds);
}

/** Guards against a block of tasks that is larger than a row, whatever its
 *  tasks contain. */
BOOST_AUTO_TEST_CASE(AnyBlockFitsIntoARow) {
  for (const size_t rowBytes : {8192U, 65536U}) {
    for (const bool isPlaced : {false, true}) {
      sched::StoredTaskBlock block;
      for (uint32_t at = 0; at < sched::TasksPerBlock(rowBytes); ++at) {
        StoredTask task;
        task.m_run = sched::RunNumber(UINT64_MAX >> 3);
        for (uint64_t run = 0; run < 2 * sched::kMaxFailedRanges; ++run) {
          sched::AddFailedRun(task.m_failedRuns,
                              sched::RunNumber((UINT64_MAX >> 3) - 2 * run));
        }
        if (isPlaced) {
          task.m_state = StoredTask::State::Placed;
          std::string name(200, 'x');
          name.replace(0, 4, std::to_string(1000 + at));
          task.m_runner = RunnerId(name);
        } else {
          task.m_checkpoint = std::string(sched::kMaxStoredCheckpoint, 'x');
        }
        block.m_tasks.push_back(task);
      }
      BOOST_TEST(StoredBytesBound(block) <= rowBytes);
      BOOST_TEST(EncodeTaskBlock(block).size() <= rowBytes);
    }
  }
}

/** Guards against a row of learned interference that grows with the images of
 *  callers until the store refuses it. */
BOOST_AUTO_TEST_CASE(InterferenceIsCutToItsRow) {
  constexpr size_t kRowBytes = 65536;
  sched::ImageInterferenceTable table;
  std::vector<sched::ImageIndex> images;
  images.reserve(40);
  for (int at = 0; at < 40; ++at) {
    images.push_back(sched::FindOrAddImage(
        table, std::to_string(at) + std::string(100, 'i')));
  }
  for (const sched::ImageIndex bestEffort : images) {
    for (const sched::ImageIndex latencyCritical : images) {
      sched::RecordTail(table, latencyCritical, 5.0);
      sched::LearnInterference(table, {{bestEffort, 0.1}}, latencyCritical,
                               0.1);
    }
  }
  // The pair with most measurements behind it.
  for (int i = 0; i < 9; ++i) {
    sched::LearnInterference(table, {{images[39], 0.1}}, images[39], 0.1);
  }
  const auto whole = sched::ToStored(table);
  BOOST_TEST(EncodeInterference(whole).size() > kRowBytes);
  const auto cut = sched::ToStored(table, kRowBytes);
  BOOST_TEST(EncodeInterference(cut).size() <= StoredBytesBound(cut));
  BOOST_TEST(EncodeInterference(cut).size() <= kRowBytes);
  BOOST_REQUIRE(!cut.m_pairs.empty());
  BOOST_TEST(cut.m_pairs.front().m_bestEffortImage.substr(0, 2) == "39");
  BOOST_TEST(cut.m_lowestTails.size() == images.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
