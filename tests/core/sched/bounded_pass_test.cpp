/**
 * @file bounded_pass_test.cpp Tests that each queued step is examined within a
 * bounded time, whatever stands before it in the queue.
 */

#include <boost/test/unit_test.hpp>

#include <functional>

#include "cell_fixture.h"

namespace bronze::sched {

namespace {

/** Interval at which an owner repeats the pass over the queue when nothing
 *  happens. */
constexpr Duration kTick = milliseconds(50);
/** Within this time, every step of a queue of the maximum length is examined.
 */
constexpr Duration kMaxRound = seconds(4);
constexpr uint64_t kWaitingJobs = 3000;
constexpr uint64_t kMaxOpenJobs = 20000;

struct BoundedPassFixture : CellFixture {
  BoundedPassFixture() {
    for (int at = 0; at < 3; ++at) AddRunner("r" + std::to_string(at));
  }

  /** @return a job that needs more cores than any runner has. */
  static JobSpec TooLarge(uint64_t aId, uint32_t aTasks = 1) {
    JobSpec spec = Spec(aId, aTasks);
    spec.m_steps[0].m_need.m_cores = Millicores(70000);
    return spec;
  }

  /** Submits aJobs jobs and, behind them, one that any runner can run.
   *  @return how long that one waited for its start; kMaxRound if it was not
   *          started within that time. */
  Duration WaitBehind(uint64_t aJobs,
                      const std::function<JobSpec(uint64_t)>& aSpecOf,
                      int aPriority = 0) {
    m_cell.m_window.m_limit = 1e9;
    for (uint64_t id = 1; id <= aJobs; ++id) SubmitOnly(aSpecOf(id));
    JobSpec last = Spec(aJobs + 1);
    last.m_policy.m_priority = aPriority;
    // A later objective puts it behind all others of its priority.
    last.m_policy.m_targetLatency = seconds(1000);
    SubmitOnly(last);
    const TimePoint begin = m_now;
    for (; m_now - begin < kMaxRound; AdvanceTime(kTick)) {
      m_cell.m_capacityChanged = true;
      PlaceTasks(m_cell, m_now);
      if (TaskOf(aJobs + 1).m_phase != TaskPhase::Ready) return m_now - begin;
    }
    return kMaxRound;
  }

 private:
  void SubmitOnly(const JobSpec& aSpec) {
    BOOST_REQUIRE(SubmitJob(m_cell, aSpec, m_now, m_unixNow).has_value());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(BoundedPassSuite, BoundedPassFixture)

/** Guards against accepted jobs that are never started on idle runners, behind
 *  steps with anti-affinity that are too large for any runner (review case 8).
 */
BOOST_AUTO_TEST_CASE(UnplaceableStepsWithAntiAffinityHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = TooLarge(aId);
    spec.m_steps[0].m_antiAffinity = 1;
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with steps of which anti-affinity itself excludes the last task. */
BOOST_AUTO_TEST_CASE(StepsThatExceedTheirAntiAffinityHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = Spec(aId, 4);
    spec.m_steps[0].m_antiAffinity = 1;
    spec.m_steps[0].m_need = {Millicores(1), Mebibytes(1), Accelerators()};
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with labels that no runner has, another one for each step. */
BOOST_AUTO_TEST_CASE(StepsWithUnknownLabelsHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = Spec(aId);
    spec.m_steps[0].m_requiredLabel = "absent-" + std::to_string(aId);
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with steps that wait for advice which never comes. */
BOOST_AUTO_TEST_CASE(StepsWithoutAdviceHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = Spec(aId);
    spec.m_policy.m_advice =
        AdvicePolicy{milliseconds(50), milliseconds(1), milliseconds(3000)};
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with steps that are too large, each a bit smaller than the one
 *  before. */
BOOST_AUTO_TEST_CASE(StepsOfManySizesHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = TooLarge(aId);
    spec.m_steps[0].m_need.m_cores = Millicores(90000 - int64_t(aId));
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with best-effort steps that are too large, each of its own image.
 */
BOOST_AUTO_TEST_CASE(BestEffortStepsOfManyImagesHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = TooLarge(aId);
    spec.m_steps[0].m_bestEffort = true;
    spec.m_steps[0].m_image = "image" + std::to_string(aId);
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with gangs whose members are too large. */
BOOST_AUTO_TEST_CASE(GangsOfTooLargeMembersHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = TooLarge(aId, 2);
    spec.m_steps[0].m_gang = true;
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with gangs of which only some members find room. */
BOOST_AUTO_TEST_CASE(GangsThatFindRoomInPartHideNoOther) {
  const Duration waited = WaitBehind(kWaitingJobs, [](uint64_t aId) {
    JobSpec spec = Spec(aId, 4);
    spec.m_steps[0].m_need.m_cores = Millicores(60000);
    spec.m_steps[0].m_gang = true;
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** The same with more urgent steps, which may stop others' tasks. */
BOOST_AUTO_TEST_CASE(UrgentUnplaceableStepsHideNoOther) {
  const Duration waited = WaitBehind(
      kWaitingJobs,
      [](uint64_t aId) {
        JobSpec spec = TooLarge(aId);
        spec.m_steps[0].m_antiAffinity = 1;
        return spec;
      },
      1);
  BOOST_TEST((waited < kMaxRound));
}

/** The same with steps of all these kinds, as many as there may be open jobs.
 */
BOOST_AUTO_TEST_CASE(QueueOfMaximumLengthHidesNoStep) {
  const Duration waited = WaitBehind(kMaxOpenJobs - 1, [](uint64_t aId) {
    JobSpec spec = TooLarge(aId, 2);
    StepSpec& step = spec.m_steps[0];
    switch (aId % 4) {
      case 0:
        step.m_antiAffinity = 1;
        break;
      case 1:
        step.m_requiredLabel = "absent-" + std::to_string(aId);
        break;
      case 2:
        spec.m_policy.m_advice =
            AdvicePolicy{milliseconds(50), milliseconds(1), milliseconds(3000)};
        break;
      default:
        step.m_gang = true;
        break;
    }
    return spec;
  });
  BOOST_TEST((waited < kMaxRound));
}

/** Guards against a round that is not measured, or that goes on in the metrics
 *  after the end of the queue was reached. */
BOOST_AUTO_TEST_CASE(RoundIsMeasuredUntilItsEnd) {
  m_cell.m_settings.m_maxLaterSearches = 1;
  const Duration waited = WaitBehind(100, [](uint64_t aId) {
    JobSpec spec = Spec(aId);
    spec.m_steps[0].m_requiredLabel = "absent-" + std::to_string(aId);
    return spec;
  });
  BOOST_TEST((waited > Duration::zero()));
  BOOST_TEST((m_cell.m_counts.m_longestQueueRound == waited));
  BOOST_TEST((QueueRoundTime(m_cell, m_now) == Duration::zero()));
}

/** Guards against a less urgent step that takes room from one at the front of
 *  the queue while a round continues behind the front. */
BOOST_AUTO_TEST_CASE(FrontIsExaminedBeforeARoundContinues) {
  m_cell.m_settings.m_maxLaterSearches = 1;
  m_cell.m_window.m_limit = 1e9;
  // All cores are taken by one task on each runner.
  JobSpec full = Spec(1, 3);
  full.m_steps[0].m_need.m_cores = Millicores(64000);
  Submit(full);
  BOOST_REQUIRE_EQUAL(StartAll().size(), 3U);
  for (uint64_t id = 2; id < 300; ++id) {
    JobSpec spec = Spec(id);
    spec.m_steps[0].m_antiAffinity = 1;
    spec.m_steps[0].m_need.m_cores = Millicores(64000);
    if (id > 2) spec.m_steps[0].m_requiredLabel = "l" + std::to_string(id);
    Submit(spec);
  }
  JobSpec last = Spec(300);
  last.m_policy.m_priority = 1;
  last.m_steps[0].m_need.m_cores = Millicores(64000);
  Submit(last);
  for (int pass = 0; pass < 4; ++pass) {
    AdvanceTime(kTick);
    m_cell.m_capacityChanged = true;
    BOOST_TEST(StartAll().empty());
  }
  BOOST_REQUIRE(m_cell.m_round.has_value());
  const RunnerIndex runner(0);
  const TaskKey ended = m_cell.m_runners[0].m_tasks.at(0);
  Report(runner, {}, {{EndNumber(1), ended, RunNumber(1), EndKind::Done, ""}});
  const auto starts = StartAll();
  BOOST_REQUIRE_EQUAL(starts.size(), 1U);
  BOOST_TEST((starts[0].m_task.m_job == JobId(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched
