/**
 * @file failed_runs_test.cpp Counts of failed runs, whatever their numbers.
 */

#include "core/sched/failed_runs_func.h"

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

namespace bronze::sched {

namespace {

/** Far beyond the runs that a mask of 64 bits can tell apart. */
constexpr int kRefusals = 80;

struct FailedRunsFixture : CellFixture {
  FailedRunsFixture() {
    m_runner = AddRunner("a");
    m_cell.m_settings.m_failuresToQuarantine = 1000;
  }

  /** Lets the runner refuse the starts of all waiting tasks, again and again.
   */
  void RefuseStarts(int aTimes) {
    for (int at = 0; at < aTimes; ++at) {
      BOOST_REQUIRE(!StartAll(OrderOutcome::RefusedOther).empty());
      AdvanceTime(milliseconds(400));
      AcknowledgeHeartbeat();
    }
  }

  /** Starts the waiting tasks and reports that the first one's run has failed.
   *  @return that end. */
  EndRow FailOnce() {
    const auto starts = StartAll();
    BOOST_REQUIRE(!starts.empty());
    EndRow end{EndNumber(++m_lastEnd), starts[0].m_task, starts[0].m_run,
               EndKind::Failed, ""};
    Report(m_runner, {}, {end});
    CommitAll();
    AdvanceTime(milliseconds(400));
    AcknowledgeHeartbeat();
    return end;
  }

  JobPhase PhaseOf(uint64_t aJob) {
    return m_cell.m_jobs.at(JobId(aJob)).m_phase;
  }

  RunnerIndex m_runner;
  uint64_t m_lastEnd = 0;
};

FailedRuns Runs(const std::vector<uint64_t>& aNumbers) {
  FailedRuns runs;
  for (const uint64_t number : aNumbers) AddFailedRun(runs, RunNumber(number));
  return runs;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FailedRunsSuite, FailedRunsFixture)

/** Guards against a task that is started more often than its queue allows: all
 *  runs from number 64 on counted as one failure, and each refused start takes
 *  a number. */
BOOST_AUTO_TEST_CASE(FailuresAfterManyRefusedStartsEndTheJob) {
  Submit(Spec(1));
  RefuseStarts(kRefusals);
  for (int failure = 1; failure <= 3; ++failure) {
    BOOST_TEST((PhaseOf(1) == JobPhase::Active));
    FailOnce();
  }
  BOOST_TEST((PhaseOf(1) == JobPhase::Failed));
  BOOST_TEST(StartAll().empty());
}

/** Guards against a job that is shown as failed after fewer failures than its
 *  queue allows, as the next owner counts an end again that nobody had
 *  acknowledged; and against a runner that this puts into quarantine. */
BOOST_AUTO_TEST_CASE(FailureThatIsListedAgainCountsOnce) {
  Submit(Spec(1));
  RefuseStarts(kRefusals);
  const EndRow end = FailOnce();
  for (int owner = 0; owner < 4; ++owner) {
    TakeOver();
    m_runner = AddRunner("a");
    m_cell.m_settings.m_failuresToQuarantine = 2;
    Report(m_runner, {}, {end});
    CommitAll();
    BOOST_TEST((PhaseOf(1) == JobPhase::Active));
    BOOST_TEST(m_cell.m_runners[m_runner.Value()].m_failuresInRow == 0U);
  }
  BOOST_TEST(TaskOf(1).m_failedRuns.m_count == 1U);
  FailOnce();
  BOOST_TEST((PhaseOf(1) == JobPhase::Active));
  FailOnce();
  BOOST_TEST((PhaseOf(1) == JobPhase::Failed));
}

/** The same for ends of different runners that are read in any order. */
BOOST_AUTO_TEST_CASE(LateFailureOfAnEarlierRunCounts) {
  Submit(Spec(1));
  RefuseStarts(kRefusals);
  const TaskKey task{JobId(1), 0, 0, 0};
  for (const uint64_t run : {77U, 75U, 77U, 75U}) {
    Report(
        m_runner, {},
        {{EndNumber(++m_lastEnd), task, RunNumber(run), EndKind::Failed, ""}});
    BOOST_TEST((PhaseOf(1) == JobPhase::Active));
  }
  Report(m_runner, {},
         {{EndNumber(++m_lastEnd), task, RunNumber(76), EndKind::Failed, ""}});
  BOOST_TEST((PhaseOf(1) == JobPhase::Failed));
}

/** Guards against a run of a gang that counts once for each member, or not at
 *  all: their ends arrive one by one. */
BOOST_AUTO_TEST_CASE(RunOfAGangCountsOnce) {
  JobSpec spec = Spec(1, 3);
  spec.m_steps[0].m_gang = true;
  Submit(spec);
  for (uint32_t member = 0; member < 3; ++member) {
    TaskOf(1, member).m_run = RunNumber(kRefusals);
  }
  for (int failure = 1; failure <= 3; ++failure) {
    BOOST_TEST((PhaseOf(1) == JobPhase::Active));
    const auto starts = StartAll();
    BOOST_REQUIRE(starts.size() == 3U);
    // Not beginning with the first member.
    for (const size_t member : {2U, 0U, 1U}) {
      Report(m_runner, {},
             {{EndNumber(++m_lastEnd), starts[member].m_task,
               starts[member].m_run, EndKind::Failed, ""}});
    }
    BOOST_TEST(TaskOf(1).m_failedRuns.m_count ==
               static_cast<uint32_t>(failure));
    CommitAll();
    TakeOver();
    m_runner = AddRunner("a");
    m_cell.m_settings.m_failuresToQuarantine = 1000;
    AdvanceTime(milliseconds(400));
    AcknowledgeHeartbeat();
  }
  BOOST_TEST((PhaseOf(1) == JobPhase::Failed));
}

/** Guards against a state row that grows with each failure of a long-running
 *  task, which has no limit of attempts. */
BOOST_AUTO_TEST_CASE(FailuresOfALongRunningTaskAreKeptInBoundedSpace) {
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_longRunning = true;
  Submit(spec);
  for (int failure = 0; failure < 100; ++failure) {
    FailOnce();
    RefuseStarts(1);
  }
  BOOST_TEST((PhaseOf(1) == JobPhase::Active));
  BOOST_TEST(TaskOf(1).m_failedRuns.m_count == 100U);
  BOOST_TEST(TaskOf(1).m_failedRuns.m_ranges.size() <= kMaxFailedRanges);
}

/** Guards against a run that is counted twice or not at all, whatever the order
 *  of the runs. */
BOOST_AUTO_TEST_CASE(EachRunCountsOnceInAnyOrder) {
  FailedRuns runs;
  for (const uint64_t number : {9U, 3U, 5U, 4U, 9U, 8U, 3U, 6U, 7U}) {
    AddFailedRun(runs, RunNumber(number));
  }
  BOOST_TEST(runs.m_count == 7U);
  BOOST_REQUIRE(runs.m_ranges.size() == 1U);
  BOOST_TEST(runs.m_ranges[0].m_first.Value() == 3U);
  BOOST_TEST(runs.m_ranges[0].m_last.Value() == 9U);
  BOOST_TEST(!AddFailedRun(runs, RunNumber(0)));
  BOOST_TEST(!AddFailedRun(runs, RunNumber(6)));
  BOOST_TEST(AddFailedRun(runs, RunNumber(UINT64_MAX - 1)));
}

/** Guards against a limit of ranges that changes the number of failures. */
BOOST_AUTO_TEST_CASE(JoinedRangesKeepTheNumberOfFailures) {
  FailedRuns runs;
  for (uint64_t at = 1; at <= 3 * kMaxFailedRanges; ++at) {
    BOOST_TEST(AddFailedRun(runs, RunNumber(2 * at)));
    BOOST_TEST(runs.m_count == at);
    BOOST_TEST(runs.m_ranges.size() <= kMaxFailedRanges);
  }
  BOOST_TEST(!IsMaskExact(runs));
}

/** Guards against a build of before that reads other failures than it would
 *  have written itself, and against this one that misreads its rows. */
BOOST_AUTO_TEST_CASE(MaskOfEarlierBuildsIsKept) {
  BOOST_TEST(MaskOfFailedRuns(Runs({1, 3})) == 5U);
  BOOST_TEST((FailedRunsOfMask(5) == Runs({1, 3})));
  BOOST_TEST(IsMaskExact(Runs({1, 63})));
  BOOST_TEST(!IsMaskExact(Runs({64})));
  constexpr uint64_t kHighestBit = uint64_t{1} << 63;
  BOOST_TEST(MaskOfFailedRuns(Runs({1, 64, 70})) == (kHighestBit | 1U));
  BOOST_TEST((FailedRunsOfMask(kHighestBit | 1U) == Runs({1, 64})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
