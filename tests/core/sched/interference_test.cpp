/**
 * @file interference_test.cpp Learning the interference between images, and
 * placement by it.
 */

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/interference_func.h"
#include "core/sched/placement_func.h"

namespace bronze::sched {

namespace {

/** Simulates a latency-critical task whose own load fluctuates while tasks of
 *  two images start and end. */
void Observe(ImageInterferenceTable& aTable, ImageIndex aHarmful,
             ImageIndex aHarmless, ImageIndex aLatencyCritical,
             double aWeight) {
  for (int step = 0; step < 200; ++step) {
    const double harmful = step % 3 == 0 ? 0.1 : -0.05;
    const double harmless = step % 2 == 0 ? 0.1 : -0.1;
    const double swing = 0.03 * ((step / 20) % 2 == 0 ? 1 : -1);
    LearnInterference(aTable, {{aHarmful, harmful}, {aHarmless, harmless}},
                      aLatencyCritical, aWeight * harmful + swing);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(InterferenceSuite)

/** Guards against attributing interference to an image that happens to run
 *  beside an interfering one, and against taking fluctuations of the task's
 *  own load for interference. */
BOOST_AUTO_TEST_CASE(PairsAreToldApart) {
  ImageInterferenceTable table;
  const ImageIndex harmful = FindOrAddImage(table, "heavy");
  const ImageIndex harmless = FindOrAddImage(table, "light");
  const ImageIndex latencyCritical = FindOrAddImage(table, "latency-critical");
  Observe(table, harmful, harmless, latencyCritical, 3.0);
  BOOST_TEST(InterferenceOf(table, harmful, latencyCritical) > 2.0);
  BOOST_TEST(InterferenceOf(table, harmful, latencyCritical) < 4.0);
  BOOST_TEST(InterferenceOf(table, harmless, latencyCritical) == 0.0);
}

/** Guards against learned interference that never decreases. */
BOOST_AUTO_TEST_CASE(InterferenceIsUnlearned) {
  ImageInterferenceTable table;
  const ImageIndex bestEffort = FindOrAddImage(table, "heavy");
  const ImageIndex other = FindOrAddImage(table, "light");
  const ImageIndex latencyCritical = FindOrAddImage(table, "latency-critical");
  Observe(table, bestEffort, other, latencyCritical, 3.0);
  for (int round = 0; round < 5; ++round) {
    Observe(table, bestEffort, other, latencyCritical, 0.0);
  }
  BOOST_TEST(InterferenceOf(table, bestEffort, latencyCritical) < 0.7);
}

/** Guards against an index beyond the table when many images are added. */
BOOST_AUTO_TEST_CASE(TableGrowsWithoutLosingPairs) {
  ImageInterferenceTable table;
  const ImageIndex bestEffort = FindOrAddImage(table, "heavy");
  const ImageIndex other = FindOrAddImage(table, "light");
  const ImageIndex latencyCritical = FindOrAddImage(table, "latency-critical");
  Observe(table, bestEffort, other, latencyCritical, 3.0);
  const double before = InterferenceOf(table, bestEffort, latencyCritical);
  for (int image = 0; image < 100; ++image) {
    (void)FindOrAddImage(table, "image" + std::to_string(image));
  }
  BOOST_TEST(InterferenceOf(table, bestEffort, latencyCritical) == before);
}

/** Guards against placing a best-effort task beside a task that it would push
 *  over its target. */
BOOST_FIXTURE_TEST_CASE(BestEffortTaskAvoidsInterference, CellFixture) {
  AddRunner("a");
  AddRunner("b");
  const ImageIndex bestEffort = FindOrAddImage(m_cell.m_interference, "heavy");
  const ImageIndex light = FindOrAddImage(m_cell.m_interference, "light");
  const ImageIndex latencyCritical =
      FindOrAddImage(m_cell.m_interference, "latency-critical");
  Observe(m_cell.m_interference, bestEffort, light, latencyCritical, 5.0);
  // Without regard to interference the free runner scores worse.
  m_cell.m_runners[1].m_slowness = 1.5;
  m_cell.m_runners[0].m_latencyCritical.push_back(
      {latencyCritical, 0.6, 0.83, 0.5});
  JobSpec spec = Spec(1);
  spec.m_steps[0].m_bestEffort = true;
  spec.m_steps[0].m_image = "heavy";
  Submit(std::move(spec));
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST(starts[0].m_runner.Value() == 1U);
}

namespace {

/** A latency-critical and a best-effort task on one runner. */
struct SharedRunner : CellFixture {
  explicit SharedRunner(Duration aTimeToDue = Duration::zero()) {
    m_runner = AddRunner("a");
    JobSpec longRunning = Spec(1);
    longRunning.m_steps[0].m_longRunning = true;
    longRunning.m_steps[0].m_image = "latency-critical";
    longRunning.m_steps[0].m_tailTarget = milliseconds(150);
    Submit(std::move(longRunning));
    JobSpec bestEffort = Spec(2);
    bestEffort.m_policy.m_targetLatency = aTimeToDue;
    bestEffort.m_steps[0].m_bestEffort = true;
    bestEffort.m_steps[0].m_image = "heavy";
    Submit(std::move(bestEffort));
    BOOST_REQUIRE_EQUAL(StartAll().size(), 2U);
  }

  /** @return the changes of pace after a report. */
  std::vector<PaceOrder> ReportTail(int64_t aTailMs, int aPercent = 10) {
    AdvanceTime(milliseconds(400));
    Report(m_runner,
           {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 100, aTailMs},
            {{JobId(2), 0, 0, 0}, RunNumber(1), "", aPercent, 4000}},
           {});
    return Take<PaceOrder>();
  }

  RunnerIndex m_runner;
};

struct SharedRunnerWithSlack : SharedRunner {
  SharedRunnerWithSlack() : SharedRunner(seconds(30)) {}
};

}  // namespace

/** Guards against a tail latency over its target for longer than allowed:
 *  best-effort tasks that are not known to interfere are paused, too, also if
 *  they are urgent. */
BOOST_FIXTURE_TEST_CASE(BestEffortTasksPauseWhileATailIsOverTarget,
                        SharedRunner) {
  std::vector<PaceOrder> paces;
  // The allowed time over a target is 4 s.
  for (int step = 0; step < 9 && paces.empty(); ++step) {
    paces = ReportTail(400, 10 + step);
  }
  BOOST_REQUIRE(!paces.empty());
  BOOST_TEST(paces[0].m_percent == 0);
}

/** Guards against services that stay over their target for the sake of tasks
 *  that could wait: these pause with the first report. */
BOOST_FIXTURE_TEST_CASE(TasksWithSlackPauseAtOnce, SharedRunnerWithSlack) {
  std::vector<PaceOrder> paces = ReportTail(400);
  BOOST_REQUIRE_EQUAL(paces.size(), 1U);
  BOOST_TEST(paces[0].m_percent == 0);
  BOOST_TEST(m_cell.m_counts.m_runnerPauses == 1U);
  // Between the two thresholds the pause holds, and costs no order.
  BOOST_TEST(ReportTail(145).empty());
  paces = ReportTail(60);
  BOOST_REQUIRE_EQUAL(paces.size(), 1U);
  BOOST_TEST(paces[0].m_percent > 0);
}

/** Guards against best-effort tasks that start again and again on a runner
 *  where the next report stops them. */
BOOST_FIXTURE_TEST_CASE(NoTaskJoinsARunnerOverTarget, SharedRunnerWithSlack) {
  ReportTail(400);
  JobSpec other = Spec(3);
  other.m_policy.m_targetLatency = seconds(30);
  other.m_steps[0].m_bestEffort = true;
  other.m_steps[0].m_image = "light";
  Submit(std::move(other));
  BOOST_TEST(StartAll().empty());
  ReportTail(60);
  m_cell.m_capacityChanged = true;  // As each tick does.
  BOOST_TEST(StartAll().size() == 1U);
}

/** Guards against a stalled run that is never found, as each pause and its end
 *  counted as progress. */
BOOST_FIXTURE_TEST_CASE(PausesAreNoProgress, SharedRunnerWithSlack) {
  std::vector<StopOrder> stops;
  for (int step = 0; step < 40 && stops.empty(); ++step) {
    AdvanceTime(milliseconds(400));
    Report(
        m_runner,
        {{{JobId(1), 0, 0, 0}, RunNumber(1), "", 100, step % 5 == 0 ? 160 : 60},
         {{JobId(2), 0, 0, 0}, RunNumber(1), "", 10, 4000}},
        {});
    stops = Take<StopOrder>();
  }
  BOOST_REQUIRE_EQUAL(stops.size(), 1U);
  BOOST_TEST((stops[0].m_task.m_job == JobId(2)));
  BOOST_TEST(m_cell.m_counts.m_stalledTasks == 1U);
}

/** Guards against a task that finds no room for ever, as others that could wait
 *  found none before it: without slack it needs less. */
BOOST_FIXTURE_TEST_CASE(UrgentTasksNeedLessRoom, CellFixture) {
  AddRunner("a");
  const ImageIndex heavy = FindOrAddImage(m_cell.m_interference, "heavy");
  const ImageIndex light = FindOrAddImage(m_cell.m_interference, "light");
  const ImageIndex service = FindOrAddImage(m_cell.m_interference, "service");
  Observe(m_cell.m_interference, heavy, light, service, 1.0);
  m_cell.m_runners[0].m_latencyCritical.push_back({service, 0.56, 0.83, 0.5});
  const auto submit = [&](uint64_t aId, Duration aTimeToDue) {
    JobSpec spec = Spec(aId);
    spec.m_policy.m_targetLatency = aTimeToDue;
    spec.m_steps[0].m_bestEffort = true;
    spec.m_steps[0].m_image = "heavy";
    Submit(std::move(spec));
  };
  submit(1, seconds(30));
  BOOST_TEST(StartAll().empty());
  submit(2, Duration::zero());
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_task.m_job == JobId(2)));
}

/** Guards against an error of the model that operators cannot see. */
BOOST_FIXTURE_TEST_CASE(PredictionsAreCompared, SharedRunner) {
  for (int at = 0; at < 3; ++at) ReportTail(30);
  BOOST_TEST(m_cell.m_counts.m_loadPredictions == 2U);
  ReportTail(100);
  BOOST_TEST(m_cell.m_counts.m_loadUnderestimate > 0.0);
  for (int at = 0; at < 3; ++at) ReportTail(30);
  BOOST_TEST(m_cell.m_counts.m_loadOverestimate > 0.0);
}

namespace {

/** A best-effort task that runs under the owner that started it. */
struct BestEffortTask : CellFixture {
  BestEffortTask() {
    m_runner = AddRunner("a");
    JobSpec spec = Spec(1);
    spec.m_steps[0].m_bestEffort = true;
    Submit(std::move(spec));
    StartAll();
  }

  void ReportProgress(int aPercent) {
    Report(m_runner, {{{JobId(1), 0, 0, 0}, RunNumber(1), "", aPercent, 0}},
           {});
  }

  RunnerIndex m_runner;
};

/** A best-effort task that runs under an owner that did not start it. */
struct RecoveredBestEffortTask : BestEffortTask {
  RecoveredBestEffortTask() {
    const RunnerEntry entry = m_cell.m_runners[m_runner.Value()].m_entry;
    TakeOver();
    m_runner = UpdateRunner(m_cell, entry, m_now, m_unixNow);
  }
};

}  // namespace

/** Guards against the pace that an earlier owner ordered, which its successor
 *  took for full speed: it stopped the throttled runs as stalled, put their
 *  healthy runners into quarantine, and long-running tasks found no room (seen
 *  on lost-runners-then-owner, seeds 93 and 196). */
BOOST_FIXTURE_TEST_CASE(PaceOfAnEarlierOwnerIsNotTakenForFullSpeed,
                        RecoveredBestEffortTask) {
  for (int report = 0; report < 20; ++report) {
    ReportProgress(40);
    BOOST_TEST(std::none_of(m_cell.m_orders.begin(), m_cell.m_orders.end(),
                            [](const Order& aOrder) {
                              return std::holds_alternative<StopOrder>(aOrder);
                            }));
    const auto paces = Take<PaceOrder>();
    BOOST_REQUIRE_EQUAL(paces.size(), 1U);
    BOOST_TEST(paces[0].m_percent == 100);
    // Until an order is answered, the run may work at any pace.
    ApplyPaceAnswer(m_cell, paces[0], OrderOutcome::Unknown);
    AdvanceTime(milliseconds(400));
  }
  BOOST_TEST(m_cell.m_counts.m_quarantines == 0U);
}

/** Guards against a stalled run of an earlier owner that is never stopped. */
BOOST_FIXTURE_TEST_CASE(RecoveredRunAtFullPaceMayStall,
                        RecoveredBestEffortTask) {
  ReportProgress(40);
  const auto paces = Take<PaceOrder>();
  BOOST_REQUIRE_EQUAL(paces.size(), 1U);
  ApplyPaceAnswer(m_cell, paces[0], OrderOutcome::Applied);
  AdvanceTime(m_cell.m_settings.m_stallTime);
  ReportProgress(40);
  BOOST_TEST(Take<StopOrder>().empty());
  AdvanceTime(seconds(1));
  ReportProgress(40);
  BOOST_TEST(Take<StopOrder>().size() == 1U);
}

/** Guards against a stalled run that is not noticed as its pace is changed
 *  again and again: at a lower pace it makes progress, too. */
BOOST_FIXTURE_TEST_CASE(ChangesOfThePaceHideNoStall, BestEffortTask) {
  for (int report = 0; report < 8; ++report) {
    AdvanceTime(milliseconds(400));
    TaskOf(1).m_pace = 50;
    ReportProgress(0);
  }
  BOOST_REQUIRE((TaskOf(1).m_pace == 100));
  AdvanceTime(milliseconds(400));
  m_cell.m_orders.clear();
  ReportProgress(0);
  BOOST_TEST(Take<StopOrder>().size() == 1U);
}

/** Guards against a run that counts as stalled for the time in which it was
 *  paused. */
BOOST_FIXTURE_TEST_CASE(PausedTimeIsNoStall, BestEffortTask) {
  TaskOf(1).m_pace = 0;
  AdvanceTime(seconds(10));
  // No latency-critical task needs the pause any more.
  ReportProgress(0);
  const auto paces = Take<PaceOrder>();
  BOOST_REQUIRE_EQUAL(paces.size(), 1U);
  BOOST_TEST(paces[0].m_percent == 100);
  AdvanceTime(milliseconds(400));
  ReportProgress(0);
  BOOST_TEST(Take<StopOrder>().empty());
}

/** Guards against a new owner that has to learn the interference between
 *  images again: until then, tail latencies exceed their targets. */
BOOST_AUTO_TEST_CASE(LearnedInterferenceIsRestoredByName) {
  ImageInterferenceTable learned;
  const ImageIndex latencyCritical =
      FindOrAddImage(learned, "latency-critical");
  const ImageIndex bestEffort = FindOrAddImage(learned, "best-effort");
  RecordTail(learned, latencyCritical, 5.0);
  LearnInterference(learned, {{bestEffort, 0.2}}, latencyCritical, 0.4);
  ImageInterferenceTable restored;
  static_cast<void>(FindOrAddImage(restored, "another"));
  RestoreInterference(restored, ToStored(learned));
  const ImageIndex latencyCriticalAgain =
      FindOrAddImage(restored, "latency-critical");
  const ImageIndex bestEffortAgain = FindOrAddImage(restored, "best-effort");
  BOOST_TEST(InterferenceOf(restored, bestEffortAgain, latencyCriticalAgain) ==
             InterferenceOf(learned, bestEffort, latencyCritical));
  BOOST_TEST(LoadFromTail(restored, latencyCriticalAgain, 10.0) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
