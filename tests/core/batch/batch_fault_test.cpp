/**
 * @file batch_fault_test.cpp Fault injection at every step of a task.
 *
 * Each scenario runs once without a fault to record its steps, and then once
 * per step with a fault injected at that step. After each step BatchWorld
 * checks that no task runs on two workers and that no worker is over capacity.
 */

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "batch_world.h"
#include "core/batch/row_key_func.h"

namespace bronze {

namespace {

constexpr Resources kWorker{Millicores(8'000), Mebibytes(32'000),
                            Accelerators(0)};
constexpr Duration kTakeoverDelay = seconds(9);
constexpr Duration kRunLimit = seconds(400);

enum class Scenario : uint8_t { Finish, EvictAndResume, Cancel };

enum class Fault : uint8_t {
  None,
  DaemonCrashes,
  TableDown,
  ReplyLost,
  DaemonPauses,  ///< Longer than the workers' leases; another one takes over.
  WorkerAnswersLost,  ///< The worker gets calls, but its answers are lost.
  WorkerCrashes,
  WorkerPauses,  ///< Twice, each time for less than a lease.
};

/** Runs one task through a scenario, with a fault at one step. */
class Run {
 public:
  Run(Scenario aScenario, Fault aFault, uint64_t aStep)
      : m_world(1, 3, kWorker),
        m_scenario(aScenario),
        m_fault(aFault),
        m_faultStep(aStep) {
    m_world.m_finishesOnce = aFault != Fault::WorkerAnswersLost &&
                             aFault != Fault::WorkerCrashes &&
                             aFault != Fault::WorkerPauses;
    // Long enough that the task still runs if a lease ends too early.
    if (!m_world.m_finishesOnce) m_world.m_runTime = seconds(70);
    m_world.AddDaemon();
    m_world.RunFor(seconds(2));
    m_firstStep = m_world.m_steps;
  }

  /** @return whether the task ended. */
  bool RunToEnd() {
    const TimePoint end = m_world.m_now + kRunLimit;
    while (m_world.m_now < end) {
      if (HasEnded()) {
        m_lastStep = m_world.m_steps;
        m_world.RunFor(seconds(70));  // For late calls, lapses and a scan.
        return true;
      }
      if (m_world.m_steps - m_firstStep == m_faultStep) InjectFault();
      LiftFault();
      IssueCalls();
      m_world.Step();
    }
    return false;
  }

  /** Steps with an action, and those before one. The others only let time
   * pass. */
  [[nodiscard]] std::vector<uint64_t> Steps() const {
    std::vector<uint64_t> steps;
    for (uint64_t step = m_firstStep; step <= m_lastStep; ++step) {
      if (m_world.m_actionSteps.contains(step) ||
          m_world.m_actionSteps.contains(step + 1)) {
        steps.push_back(step - m_firstStep);
      }
    }
    return steps;
  }

  [[nodiscard]] std::string Problem() const {
    if (!m_world.m_violations.empty()) return m_world.m_violations.front();
    if (!m_world.m_table.Scan("rack/").empty())
      return "a row of the rack is left";
    for (const auto& [id, worker] :
         m_world.m_daemons.back()->m_racks.m_workers) {
      if (worker.m_reserved != Resources{}) return "capacity is still reserved";
    }
    if (m_scenario != Scenario::Cancel) {
      const auto finishes = m_world.m_finishes.find(m_task);
      const int count =
          finishes == m_world.m_finishes.end() ? 0 : finishes->second;
      if (m_world.m_finishesOnce ? count != 1 : count < 1)
        return fmt::format("finished {} times", count);
    }
    if (m_world.Running() != 0) return "a task still runs on a worker";
    return "";
  }

 private:
  [[nodiscard]] FakeDaemon& Daemon() { return *m_world.m_daemons.back(); }

  [[nodiscard]] bool HasEnded() {
    const auto row = m_world.RowOf(m_task);
    if (!row || !IsEnded(row->m_state)) return false;
    return !row->m_worker.IsValid();
  }

  void InjectFault() {
    m_faultTime = m_world.m_now;
    switch (m_fault) {
      case Fault::None:
        break;
      case Fault::DaemonCrashes:
        m_world.Kill(Daemon());
        break;
      case Fault::TableDown:
        m_world.m_table.m_down = true;
        break;
      case Fault::ReplyLost:
        Daemon().m_loseReplies = 1;
        break;
      case Fault::DaemonPauses:
        Daemon().m_paused = true;
        break;
      case Fault::WorkerAnswersLost:
      case Fault::WorkerCrashes:
      case Fault::WorkerPauses:
        for (auto& [id, worker] : m_world.m_workers) {
          if (!m_faultWorker.IsValid()) m_faultWorker = id;
          if (!worker.m_runs.empty()) m_faultWorker = id;
        }
        if (m_fault == Fault::WorkerAnswersLost) {
          m_world.WorkerOf(m_faultWorker).m_answersLost = true;
        } else if (m_fault == Fault::WorkerPauses) {
          m_world.WorkerOf(m_faultWorker).m_paused = true;
        } else {
          m_world.WorkerOf(m_faultWorker).m_crashed = true;
          m_world.WorkerOf(m_faultWorker).m_runs.clear();
        }
        break;
    }
  }

  void LiftFault() {
    if (!m_faultTime || m_faultLifted) return;
    const Duration since = m_world.m_now - *m_faultTime;
    if (m_fault == Fault::DaemonCrashes && since >= kTakeoverDelay) {
      m_world.AddDaemon();
      m_faultLifted = true;
    } else if (m_fault == Fault::TableDown && since >= seconds(30)) {
      m_world.m_table.m_down = false;
      m_faultLifted = true;
    } else if (m_fault == Fault::DaemonPauses && since >= seconds(50)) {
      // Its authority has ended, and its next commit conflicts with the epoch.
      m_world.AddDaemon();
      m_world.m_daemons.front()->m_paused = false;
      m_faultLifted = true;
    } else if (m_fault == Fault::WorkerPauses && since >= seconds(34)) {
      m_world.Resume(m_faultWorker);
      m_faultLifted = true;
    } else if (m_fault == Fault::WorkerPauses && since >= seconds(17) &&
               !m_pausedAgain) {
      m_world.Resume(m_faultWorker);
      m_world.WorkerOf(m_faultWorker).m_paused = true;
      m_pausedAgain = true;
    } else if (m_fault == Fault::WorkerAnswersLost && since >= seconds(100)) {
      m_world.WorkerOf(m_faultWorker).m_answersLost = false;
      m_faultLifted = true;
    }
  }

  void IssueCalls() {
    if (Daemon().m_paused) return;
    const auto row = m_world.RowOf(m_task);
    if (!Daemon().m_teams.m_jobs.contains(m_task.m_job)) {
      if (m_world.m_now < m_nextCall) return;
      m_nextCall = m_world.m_now + seconds(1);
      JobRow job;
      job.m_spec.m_team = TeamId("blue");
      job.m_spec.m_kind = KindId("sort");
      job.m_spec.m_resources = {Millicores(5'000), Mebibytes(8'000),
                                Accelerators(0)};
      job.m_submissionId = "one";
      m_task.m_job = JobIdFor(job.m_spec.m_team, job.m_submissionId, 0);
      Daemon().Submit(job);
      return;
    }
    if (m_scenario == Scenario::Cancel && row &&
        (row->m_state == TaskState::Running || m_cancelled) &&
        m_world.m_now >= m_nextCall) {
      m_cancelled = true;
      m_nextCall = m_world.m_now + seconds(1);
      Daemon().Cancel(m_task.m_job);
    }
    if (m_scenario == Scenario::EvictAndResume && row &&
        row->m_state == TaskState::Running && !m_evicted) {
      m_evicted = true;
      m_world.WorkerOf(row->m_worker).m_info.m_state = VmState::Leaving;
    }
  }

  BatchWorld m_world;
  Scenario m_scenario;
  Fault m_fault;
  uint64_t m_faultStep;
  uint64_t m_firstStep = 0;
  uint64_t m_lastStep = 0;
  TaskId m_task{JobId(), 0};
  std::optional<TimePoint> m_faultTime;
  TimePoint m_nextCall;
  WorkerId m_faultWorker;
  bool m_faultLifted = false;
  bool m_pausedAgain = false;
  bool m_cancelled = false;
  bool m_evicted = false;
};

void InjectAtEveryStep(Scenario aScenario, Fault aFault) {
  Run plain(aScenario, Fault::None, 0);
  BOOST_REQUIRE(plain.RunToEnd());
  BOOST_REQUIRE_EQUAL(plain.Problem(), "");
  for (const uint64_t step : plain.Steps()) {
    Run run(aScenario, aFault, step);
    const bool ended = run.RunToEnd();
    BOOST_TEST(ended, "step " << step << ": the task did not end");
    const std::string problem = run.Problem();
    BOOST_TEST(problem.empty(), "step " << step << ": " << problem);
  }
}

void InjectInAllScenarios(Fault aFault) {
  InjectAtEveryStep(Scenario::Finish, aFault);
  InjectAtEveryStep(Scenario::EvictAndResume, aFault);
  InjectAtEveryStep(Scenario::Cancel, aFault);
}

}  // namespace

// Guards against tasks that are lost, run twice or get stuck when the daemon
// crashes between two steps of a start, eviction, resumption, end or
// cancellation.
BOOST_AUTO_TEST_CASE(DaemonCrashesAtAnyStep) {
  InjectInAllScenarios(Fault::DaemonCrashes);
}

// Guards against results that are dropped while the table is down.
BOOST_AUTO_TEST_CASE(TableIsDownFromAnyStep) {
  InjectInAllScenarios(Fault::TableDown);
}

// Guards against a commit that is repeated because its reply was lost.
BOOST_AUTO_TEST_CASE(ReplyIsLostAtAnyStep) {
  InjectInAllScenarios(Fault::ReplyLost);
}

// Guards against a daemon that continues with outdated state after a pause,
// while another one owns the rack and the workers' leases have lapsed.
BOOST_AUTO_TEST_CASE(DaemonPausesAtAnyStep) {
  InjectInAllScenarios(Fault::DaemonPauses);
}

// Guards against a second start while a worker whose answers are lost still
// runs the task.
BOOST_AUTO_TEST_CASE(WorkerAnswersAreLostFromAnyStep) {
  InjectInAllScenarios(Fault::WorkerAnswersLost);
}

// Guards against a second start while a renewal is in the receive buffer of a
// paused worker, which extends its lease by it when it resumes.
BOOST_AUTO_TEST_CASE(WorkerPausesAtAnyStep) {
  InjectInAllScenarios(Fault::WorkerPauses);
}

// Guards against tasks that stay assigned to a worker that never comes back.
BOOST_AUTO_TEST_CASE(WorkerCrashesAtAnyStep) {
  InjectInAllScenarios(Fault::WorkerCrashes);
}

}  // namespace bronze
