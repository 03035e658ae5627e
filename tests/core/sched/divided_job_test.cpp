/**
 * @file divided_job_test.cpp Jobs whose state does not fit into one row.
 */

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "cell_fixture.h"
#include "core/sched/job_write_cmd.h"
#include "core/sched/route_cmd.h"
#include "core/sched/stored_size_func.h"

namespace bronze::sched {

namespace {

constexpr size_t kRowsPerCommit = 98;

struct DividedJobFixture : CellFixture {
  DividedJobFixture() {
    for (int at = 0; at < 48; ++at) AddRunner("r" + std::to_string(at));
  }

  /** Takes one commit and checks its limits. */
  Commit TakeChecked(size_t aRows = kRowsPerCommit) {
    const CellSettings& settings = m_cell.m_settings;
    Commit commit = TakeCommit(m_cell, aRows, m_now);
    size_t rows = commit.m_removedBlocks.size() + 2 * commit.m_removed.size();
    size_t bytes = 0;
    const auto add = [&](size_t aBytes) {
      BOOST_TEST(aBytes <= settings.m_rowBytes);
      bytes += aBytes * 4 / 3;
      ++rows;
    };
    for (const JobWrite& write : commit.m_writes) {
      if (write.m_spec) add(StoredBytesBound(*write.m_spec));
      if (write.m_state) add(StoredBytesBound(*write.m_state));
      for (const StoredTaskBlock& block : write.m_blocks) {
        add(StoredBytesBound(block));
      }
    }
    BOOST_TEST(rows <= aRows);
    BOOST_TEST(bytes <= settings.m_commitBytes);
    return commit;
  }

  /** @return the number of commits. */
  int CommitAllChecked() {
    int commits = 0;
    while (HasCommit(m_cell)) {
      const Commit commit = TakeChecked();
      m_rows.Apply(commit);
      ApplyCommitted(m_cell, commit, m_now);
      BOOST_REQUIRE(++commits < 100);
    }
    return commits;
  }

  /** Starts all tasks that there is room for. @return their runs. */
  std::vector<StartOrder> StartUntilFull() {
    std::vector<StartOrder> all;
    for (;;) {
      m_cell.m_capacityChanged = true;
      PlaceTasks(m_cell, m_now);
      CommitAllChecked();
      const std::vector<StartOrder> starts = Take<StartOrder>();
      for (const StartOrder& start : starts) {
        ApplyStartAnswer(m_cell, start, OrderOutcome::Applied, {}, m_now);
      }
      if (starts.empty()) return all;
      all.insert(all.end(), starts.begin(), starts.end());
    }
  }

  /** Ends the runs, all in one report of each runner. */
  void EndRuns(const std::vector<StartOrder>& aRuns, EndKind aKind,
               size_t aCheckpointLength) {
    std::map<RunnerIndex, std::vector<EndRow>> ends;
    for (const StartOrder& run : aRuns) {
      std::vector<EndRow>& list = ends[run.m_runner];
      const EndNumber number(++m_lastEnd[run.m_runner]);
      std::string checkpoint(aCheckpointLength, 'c');
      if (!checkpoint.empty()) {
        checkpoint.replace(0, 6, std::to_string(100000 + m_ended++));
      }
      list.push_back({number, run.m_task, run.m_run, aKind, checkpoint});
    }
    for (auto& [runner, list] : ends) Report(runner, {}, std::move(list));
  }

  /** A job of aTimes occurrences that are due at once. */
  static JobSpec WideJob(uint32_t aTimes, uint32_t aTasks) {
    JobSpec spec = Spec(1, aTasks);
    spec.m_steps[0].m_need = {Millicores(100), Mebibytes(100), Accelerators()};
    spec.m_steps[0].m_savesProgress = true;
    spec.m_maxRuns = aTimes;
    spec.m_startTime = UnixMillis(1);
    spec.m_intervalMs = 1;
    return spec;
  }

  /** @return the ends that may be acknowledged to the runners. */
  [[nodiscard]] uint64_t AcknowledgedEnds() const {
    uint64_t ends = 0;
    for (const Runner& runner : m_cell.m_runners) {
      ends += runner.m_storedEnd.Value();
    }
    return ends;
  }

  /** @return the tasks of the wide job that have a checkpoint in the store. */
  [[nodiscard]] size_t StoredCheckpoints() const {
    size_t count = 0;
    const StoredState state = m_rows.StateOf(JobId(1));
    for (const StoredOccurrence& occurrence : state.m_occurrences) {
      for (const StoredTask& task : occurrence.m_tasks) {
        if (!task.m_checkpoint.empty()) ++count;
      }
    }
    return count;
  }

  Job& WideJobState() { return m_cell.m_jobs.at(JobId(1)); }

  std::map<RunnerIndex, uint64_t> m_lastEnd;
  int m_ended = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DividedJobSuite, DividedJobFixture)

/** Guards against a cell that stores nothing any more, as the state row of one
 *  wide job is larger than the store accepts once its tasks have lost their
 *  runs with a checkpoint each; and against checkpoints or ends that are lost
 *  with the owner instead. */
BOOST_AUTO_TEST_CASE(WideJobIsStoredWithinTheLimitsOfTheStore) {
  constexpr uint32_t kTimes = 8;
  constexpr uint32_t kTasks = 1500;
  Submit(WideJob(kTimes, kTasks));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  const auto runs = StartUntilFull();
  BOOST_REQUIRE(runs.size() == size_t{kTimes} * kTasks);
  // The first half completes, so that both kinds of tasks are stored.
  std::vector<StartOrder> done;
  std::vector<StartOrder> stopped;
  for (const StartOrder& run : runs) {
    (run.m_task.m_index < kTasks / 2 ? done : stopped).push_back(run);
  }
  EndRuns(done, EndKind::Done, 0);
  EndRuns(stopped, EndKind::Stopped, 24);
  CommitAllChecked();
  BOOST_TEST(WideJobState().m_storedVersion == WideJobState().m_version);
  const auto before = WideJobState().m_occurrences;
  TakeOver();
  const auto& after = WideJobState().m_occurrences;
  BOOST_REQUIRE(after.size() == size_t{kTimes});
  for (const auto& [number, occurrence] : after) {
    BOOST_TEST(occurrence.m_left[0] == kTasks / 2);
    for (size_t at = 0; at < occurrence.m_tasks.size(); ++at) {
      const Task& expected = before.at(number).m_tasks[at];
      const Task& restored = occurrence.m_tasks[at];
      const bool isSame = restored.m_phase == expected.m_phase &&
                          restored.m_run == expected.m_run &&
                          restored.m_checkpoint == expected.m_checkpoint;
      BOOST_REQUIRE(isSame);
    }
  }
}

/** Guards against a job that no commit ever takes, and with it a cell that
 *  stores nothing more: its row is small, but has more tasks than a commit. */
BOOST_AUTO_TEST_CASE(ManyTasksInASmallRowAreStored) {
  JobSpec spec = WideJob(8, 1500);
  spec.m_steps[0].m_need.m_cores = Millicores(1000);
  // A few tasks of each occurrence are placed.
  spec.m_steps[0].m_antiAffinity = 8;
  Submit(spec);
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(StartUntilFull().size() == size_t{48} * 64);
  const StoredState state = m_rows.StateOf(JobId(1));
  size_t tasks = 0;
  for (const StoredOccurrence& occurrence : state.m_occurrences) {
    tasks += occurrence.m_tasks.size();
  }
  BOOST_TEST(tasks > kMaxTasksPerCommit);
  BOOST_TEST(WideJobState().m_storedVersion == WideJobState().m_version);
}

/** Guards against a start that is ordered, an end that is acknowledged or a job
 *  that is shown as ended before all rows that a change needs are durable. */
BOOST_AUTO_TEST_CASE(VersionIsDurableOnlyWithItsLastBlock) {
  constexpr uint32_t kTasks = 300;
  m_cell.m_settings.m_stateBytes = 500;
  Submit(WideJob(1, kTasks));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  PlaceTasks(m_cell, m_now);
  const uint64_t placed = WideJobState().m_version;
  size_t blocks = 0;
  const size_t allBlocks =
      (kTasks + TasksPerBlock(65536) - 1) / TasksPerBlock(65536);
  while (blocks < allBlocks) {
    BOOST_TEST(WideJobState().m_storedVersion < placed);
    BOOST_TEST(Take<StartOrder>().empty());
    const Commit commit = TakeChecked(2);
    BOOST_REQUIRE_EQUAL(commit.m_writes.size(), 1U);
    blocks += commit.m_writes[0].m_blocks.size();
    m_rows.Apply(commit);
    // Until the last block is stored, the undivided row of before holds.
    const bool isDivided = m_rows.m_states.at(JobId(1)).m_tasksPerBlock > 0;
    BOOST_TEST(isDivided == (blocks == allBlocks));
    ApplyCommitted(m_cell, commit, m_now);
  }
  BOOST_TEST(WideJobState().m_storedVersion >= placed);
  const auto starts = Take<StartOrder>();
  BOOST_REQUIRE(starts.size() > TasksPerBlock(65536));
  // The same for a job that is divided already.
  for (const StartOrder& start : starts) {
    ApplyStartAnswer(m_cell, start, OrderOutcome::Applied, {}, m_now);
  }
  CommitAllChecked();
  EndRuns(starts, EndKind::Stopped, 10);
  const uint64_t ended = WideJobState().m_version;
  while (HasUnstoredBlock(WideJobState())) {
    BOOST_TEST(WideJobState().m_storedVersion < ended);
    BOOST_TEST(AcknowledgedEnds() <= StoredCheckpoints());
    const Commit commit = TakeChecked(2);
    m_rows.Apply(commit);
    ApplyCommitted(m_cell, commit, m_now);
  }
  BOOST_TEST(WideJobState().m_storedVersion == ended);
  BOOST_TEST(AcknowledgedEnds() == starts.size());
  BOOST_TEST(StoredCheckpoints() == starts.size());
}

/** Guards against a block whose change is lost with a commit that the store
 *  refused. */
BOOST_AUTO_TEST_CASE(BlocksOfARefusedCommitAreTakenAgain) {
  m_cell.m_settings.m_stateBytes = 500;
  Submit(WideJob(1, 200));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  const auto runs = StartUntilFull();
  BOOST_REQUIRE(runs.size() == 200U);
  EndRuns(runs, EndKind::Stopped, 10);
  const Commit refused = TakeChecked(3);
  ReturnCommit(m_cell, refused);
  BOOST_TEST(WideJobState().m_storedVersion < WideJobState().m_version);
  CommitAllChecked();
  BOOST_TEST(WideJobState().m_storedVersion == WideJobState().m_version);
  const StoredState state = m_rows.StateOf(JobId(1));
  for (const StoredTask& task : state.m_occurrences.at(0).m_tasks) {
    BOOST_TEST(task.m_checkpoint.size() == 10U);
  }
}

/** Guards against an occurrence that runs again under the next owner, as its
 *  blocks were deleted while the state row still named it; and against blocks
 *  that stay in the store for good. */
BOOST_AUTO_TEST_CASE(BlocksAreDeletedAfterTheirOccurrence) {
  m_cell.m_settings.m_stateBytes = 500;
  Submit(WideJob(3, 100));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  const auto runs = StartUntilFull();
  BOOST_REQUIRE(runs.size() == 300U);
  std::vector<StartOrder> first;
  std::vector<StartOrder> others;
  for (const StartOrder& run : runs) {
    (run.m_task.m_occurrence == 0 ? first : others).push_back(run);
  }
  BOOST_TEST(m_rows.m_blocks.size() == 6U);
  EndRuns(first, EndKind::Done, 0);
  while (HasCommit(m_cell)) {
    const Commit commit = TakeChecked(2);
    m_rows.Apply(commit);
    ApplyCommitted(m_cell, commit, m_now);
    const StoredState& state = m_rows.m_states.at(JobId(1));
    if (state.m_occurrences.size() == 3U) {
      BOOST_TEST(m_rows.m_blocks.size() == 6U);
    }
  }
  BOOST_TEST(m_rows.m_blocks.size() == 4U);
  EndRuns(others, EndKind::Done, 0);
  CommitAllChecked();
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Completed));
  AdvanceTime(seconds(200));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  while (HasCommit(m_cell)) {
    const Commit commit = TakeChecked(2);
    m_rows.Apply(commit);
    ApplyCommitted(m_cell, commit, m_now);
    // No block without its job: nobody would delete it.
    BOOST_TEST((m_rows.m_blocks.empty() || m_rows.m_states.size() == 1U));
  }
  BOOST_TEST(m_rows.m_blocks.empty());
  BOOST_TEST(m_rows.m_states.empty());
}

/** Guards against a block that is read as that of a job which has the id now,
 *  although an earlier job has left it. */
BOOST_AUTO_TEST_CASE(BlockThatIsUsedAgainIsReplaced) {
  m_cell.m_settings.m_stateBytes = 500;
  Submit(WideJob(1, 100));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_REQUIRE(StartUntilFull().size() == 100U);
  const TaskBlockKey block{JobId(1), 0, 0};
  const StoredTaskBlock expected = m_rows.m_blocks.at(block);
  m_rows.m_blocks.at(block).m_tasks.clear();
  m_cell.m_removedBlocks.push_back({block, 0});
  CommitAllChecked();
  BOOST_TEST(m_rows.m_blocks.at(block).m_tasks.size() ==
             expected.m_tasks.size());
  // The earlier job had more tasks.
  const TaskBlockKey beyond{JobId(1), 0, 65 * 20};
  m_rows.m_blocks[beyond] = expected;
  m_cell.m_removedBlocks.push_back({beyond, 0});
  CommitAllChecked();
  BOOST_TEST(m_rows.m_blocks.count(beyond) == 0U);
}

/** Guards against a caller who is told that a job never runs, and who sends it
 *  again, while some blocks of it are in the store. */
BOOST_AUTO_TEST_CASE(DividedJobIsNotWithdrawn) {
  m_cell.m_settings.m_stateBytes = 500;
  BOOST_REQUIRE(
      SubmitJob(m_cell, WideJob(1, 300), m_now, m_unixNow).has_value());
  BOOST_REQUIRE(SubmitJob(m_cell, Spec(2), m_now, m_unixNow).has_value());
  AdvanceJobs(m_cell, m_now, m_unixNow);
  PlaceTasks(m_cell, m_now);
  ReturnCommit(m_cell, TakeChecked(3));
  const auto withdrawn = WithdrawUnstored(m_cell, {});
  BOOST_REQUIRE(withdrawn.size() == 1U);
  BOOST_TEST((withdrawn[0] == JobId(2)));
  CommitAllChecked();
  BOOST_TEST(WideJobState().m_specStored);
}

/** Guards against a job with many due times in the past that takes all of the
 *  owner's memory, passes and rows at once, and against due times that are
 *  never served because of the limit. */
BOOST_AUTO_TEST_CASE(OverdueOccurrencesBeginAsOthersEnd) {
  constexpr uint32_t kTimes = 2000;
  Submit(WideJob(kTimes, 1));
  std::set<uint32_t> begun;
  while (begun.size() < kTimes) {
    AdvanceJobs(m_cell, m_now, m_unixNow);
    const auto runs = StartUntilFull();
    BOOST_REQUIRE(!runs.empty());
    BOOST_REQUIRE(WideJobState().m_occurrences.size() <=
                  m_cell.m_settings.m_maxOpenOccurrences);
    for (const StartOrder& run : runs) begun.insert(run.m_task.m_occurrence);
    EndRuns(runs, EndKind::Done, 0);
    AdvanceTime(milliseconds(100));
  }
  CommitAllChecked();
  BOOST_TEST((LookUpJob(m_cell, JobId(1)).value() == JobState::Completed));
}

/** The same for the tasks of wide occurrences; one may always begin. */
BOOST_AUTO_TEST_CASE(OpenTasksOfAScheduledJobAreLimited) {
  m_cell.m_settings.m_maxOpenTasks = 250;
  Submit(WideJob(10, 100));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(WideJobState().m_occurrences.size() == 2U);
  m_cell.m_settings.m_maxOpenTasks = 50;
  JobSpec other = WideJob(10, 100);
  other.m_id = JobId(2);
  Submit(other);
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(m_cell.m_jobs.at(JobId(2)).m_occurrences.size() == 1U);
}

/** Guards against a job that is accepted and then stops the commits of the
 *  cell: its own description is larger than a row. */
BOOST_AUTO_TEST_CASE(JobThatNoRowHoldsIsRefused) {
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_image = std::string(70000, 'x');
  const auto result = SubmitJob(m_cell, spec, m_now, m_unixNow);
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().m_kind == ErrorKind::BadJob));
  BOOST_TEST(m_cell.m_counts.m_oversizedJobs == 1U);
  BOOST_TEST(m_cell.m_jobs.empty());
  spec.m_steps[0].m_image.resize(60000);
  BOOST_TEST(SubmitJob(m_cell, spec, m_now, m_unixNow).has_value());
  CommitAllChecked();
}

/** Guards against a checkpoint that is longer than its share of a row. The task
 *  keeps it under this owner. */
BOOST_AUTO_TEST_CASE(LongCheckpointIsNotStored) {
  Submit(WideJob(1, 2));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  const auto runs = StartUntilFull();
  BOOST_REQUIRE(runs.size() == 2U);
  EndRuns({runs[0]}, EndKind::Stopped, kMaxStoredCheckpoint);
  EndRuns({runs[1]}, EndKind::Stopped, kMaxStoredCheckpoint + 1);
  CommitAllChecked();
  const auto stored = m_rows.StateOf(JobId(1)).m_occurrences.at(0).m_tasks;
  BOOST_TEST(stored[runs[0].m_task.m_index].m_checkpoint.size() ==
             kMaxStoredCheckpoint);
  BOOST_TEST(stored[runs[1].m_task.m_index].m_checkpoint.empty());
  BOOST_TEST(m_cell.m_counts.m_oversizedCheckpoints == 1U);
  const auto again = StartUntilFull();
  BOOST_REQUIRE(again.size() == 2U);
  for (const StartOrder& start : again) {
    BOOST_TEST(start.m_checkpoint.size() >= kMaxStoredCheckpoint);
  }
}

/** Guards against an owner's row that is larger than the store accepts when
 *  many runners with long names become unresponsive. */
BOOST_AUTO_TEST_CASE(UnresponsiveRunnersFitIntoTheOwnersRow) {
  constexpr int kRunners = 400;
  for (int at = 0; at < kRunners; ++at) {
    const RunnerIndex index =
        AddRunner(std::to_string(at) + std::string(190, 'n'));
    Runner& runner = m_cell.m_runners[index.Value()];
    runner.m_missedRenewals = 1;
    runner.m_tasks.push_back({JobId(9), 0, 0, 0});
    runner.m_lapsesAt = m_now + seconds(60);
  }
  AdvanceTime(seconds(2));
  const Commit commit = TakeCommit(m_cell, kRowsPerCommit, m_now);
  size_t bytes = 0;
  for (const UnresponsiveRunner& runner : commit.m_unresponsive) {
    bytes += TextBytesBound(runner.m_runner.Value()) + 10;
  }
  BOOST_TEST(commit.m_unresponsive.size() > 250U);
  BOOST_TEST(bytes <= m_cell.m_settings.m_rowBytes);
  // No commit after commit for those that do not fit.
  ApplyCommitted(m_cell, commit, m_now);
  CheckUnresponsive(m_cell, m_now);
  BOOST_TEST(!m_cell.m_commitWanted);
}

/** Guards against a cell without an owner: the heartbeat names the labels of
 * all runners, and entries of runners may come from other programs. */
BOOST_AUTO_TEST_CASE(LabelsOfRunnersFitIntoTheHeartbeat) {
  AddRunner("odd", 64000, std::string(70000, 'a'));
  for (int at = 0; at < 400; ++at) {
    AddRunner("long" + std::to_string(at), 64000,
              std::to_string(at) + std::string(190, 'b'));
  }
  size_t bytes = 0;
  const CellLoad load = LoadOf(m_cell);
  for (const std::string& label : load.m_kinds) bytes += TextBytesBound(label);
  BOOST_TEST(bytes <= m_cell.m_settings.m_rowBytes);
  BOOST_TEST(load.m_kinds.size() > 300U);
  BOOST_TEST(std::is_sorted(load.m_kinds.begin(), load.m_kinds.end()));
}

/** Guards against a job whose rows the store does not accept, and with it a
 *  whole cell, that is committed again and again; and against one that is never
 *  tried again. */
BOOST_AUTO_TEST_CASE(HeldBackJobIsLeftOutForItsTime) {
  Submit(Spec(1));
  Submit(Spec(2));
  HoldBackJob(m_cell, JobId(1), m_now + seconds(30));
  PlaceTasks(m_cell, m_now);
  const Commit commit = TakeChecked();
  BOOST_REQUIRE_EQUAL(commit.m_writes.size(), 1U);
  BOOST_TEST((commit.m_writes[0].m_job == JobId(2)));
  ApplyCommitted(m_cell, commit, m_now);
  BOOST_TEST(!HasCommit(m_cell));
  BOOST_TEST(Take<StartOrder>().size() == 1U);
  AdvanceTime(seconds(31));
  AdvanceJobs(m_cell, m_now, m_unixNow);
  BOOST_TEST(HasCommit(m_cell));
  CommitAllChecked();
  BOOST_TEST(m_cell.m_jobs.at(JobId(1)).m_storedVersion ==
             m_cell.m_jobs.at(JobId(1)).m_version);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
