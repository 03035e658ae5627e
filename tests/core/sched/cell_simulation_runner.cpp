/**
 * @file cell_simulation_runner.cpp The simulated runners, and the rules that
 * are checked at each start.
 */

#include <fmt/format.h>

#include <algorithm>

#include "cell_simulation.h"

namespace bronze::sched {

namespace {

constexpr RunnerMillis kLeaseCap(10000);
/** Fewer than on the platform, so that single runners have more. */
constexpr size_t kListedEnds = 3;
constexpr Duration kGangTimeout = seconds(3);

std::string Text(const TaskKey& aKey, RunNumber aRun) {
  return fmt::format("{}.{}.{}.{} run {}", aKey.m_job.Value(),
                     aKey.m_occurrence, aKey.m_step, aKey.m_index,
                     aRun.Value());
}

}  // namespace

RunnerMillis CellSimulation::ClockOf(const SimulatedRunner& aRunner) const {
  const double elapsed =
      static_cast<double>((m_now - aRunner.m_bootedAt).count());
  return RunnerMillis(
      static_cast<int64_t>(elapsed * aRunner.m_clockRate / 1000.0));
}

void CellSimulation::EndRun(SimulatedRunner& aRunner, const TaskKey& aKey,
                            EndKind aKind) {
  const auto run = aRunner.m_runs.find(aKey);
  aRunner.m_lastEnd = aRunner.m_lastEnd.Next();
  aRunner.m_ends.push_back(
      {aRunner.m_lastEnd, aKey, run->second.m_number, aKind, ""});
  if (aKind == EndKind::Done) m_done.insert(aKey);
  RunNumber& closedRun = aRunner.m_closedRuns[aKey];
  closedRun = std::max(closedRun, run->second.m_number);
  aRunner.m_runs.erase(run);
}

std::vector<SimulatedRunner::Run*> CellSimulation::GangRuns(const TaskKey& aKey,
                                                            RunNumber aRun) {
  std::vector<SimulatedRunner::Run*> members;
  for (SimulatedRunner& runner : m_runners) {
    for (auto& [key, run] : runner.m_runs) {
      if (key.m_job == aKey.m_job && key.m_occurrence == aKey.m_occurrence &&
          key.m_step == aKey.m_step && run.m_number == aRun) {
        members.push_back(&run);
      }
    }
  }
  return members;
}

void CellSimulation::BreakGangs() {
  for (SimulatedRunner& runner : m_runners) {
    const auto runs = runner.m_runs;
    for (const auto& [key, run] : runs) {
      const StepSpec& step = m_submitted.at(key.m_job).m_steps[key.m_step];
      if (!step.m_gang) continue;
      const bool whole = GangRuns(key, run.m_number).size() == step.m_count;
      if (run.m_gangComplete && !whole) EndRun(runner, key, EndKind::Broken);
      if (!run.m_gangComplete && m_now - run.m_begunAt > kGangTimeout) {
        EndRun(runner, key, EndKind::Alone);
      }
    }
  }
}

void CellSimulation::AdvanceRunner(SimulatedRunner& aRunner) {
  const bool lapsed = ClockOf(aRunner) > aRunner.m_deadline;
  if (lapsed) aRunner.m_lapsedEnds = aRunner.m_lastEnd;
  std::vector<TaskKey> ended;
  for (const auto& [key, run] : aRunner.m_runs) {
    if (lapsed || run.m_endsAt <= m_now) ended.push_back(key);
  }
  for (const TaskKey& key : ended) {
    const EndKind kind = lapsed ? EndKind::Lapsed
                         : m_alwaysFailing.count(key.m_job) > 0
                             ? EndKind::Failed
                             : EndKind::Done;
    EndRun(aRunner, key, kind);
  }
}

bool CellSimulation::PassesFence(SimulatedRunner& aRunner,
                                 FencingToken aFence) const {
  if (aFence < aRunner.m_fence) return false;
  aRunner.m_fence = aFence;
  return true;
}

void CellSimulation::ExtendLease(SimulatedRunner& aRunner,
                                 RunnerMillis aDeadline) {
  const RunnerMillis longest = ClockOf(aRunner) + kLeaseCap;
  aRunner.m_deadline =
      std::max(aRunner.m_deadline, std::min(aDeadline, longest));
}

size_t CellSimulation::RunsOf(JobId aJob) const {
  size_t runs = 0;
  for (const SimulatedRunner& runner : m_runners) {
    for (const auto& [key, run] : runner.m_runs) {
      if (key.m_job == aJob) ++runs;
    }
  }
  return runs;
}

OrderOutcome CellSimulation::ExecuteStart(SimulatedRunner& aRunner,
                                          const StartOrder& aOrder,
                                          FencingToken aFence,
                                          RunnerMillis aDeadline) {
  if (!PassesFence(aRunner, aFence)) return OrderOutcome::RefusedFence;
  if (aDeadline <= ClockOf(aRunner)) return OrderOutcome::RefusedLate;
  ExtendLease(aRunner, aDeadline);
  const auto running = aRunner.m_runs.find(aOrder.m_task);
  if (running != aRunner.m_runs.end() &&
      running->second.m_number == aOrder.m_run) {
    return OrderOutcome::Applied;
  }
  const auto closedRun = aRunner.m_closedRuns.find(aOrder.m_task);
  if (closedRun != aRunner.m_closedRuns.end() &&
      aOrder.m_run <= closedRun->second) {
    return OrderOutcome::RefusedOld;
  }
  const StepSpec& step =
      m_submitted.at(aOrder.m_task.m_job).m_steps[aOrder.m_task.m_step];
  CheckStart(aRunner, aOrder);
  ++m_starts;
  // Its owners may not know of the restart yet.
  const bool isNewInstance = m_now - aRunner.m_bootedAt < seconds(2);
  if (isNewInstance && CancelChance(0.5)) {
    CancelUntilStored(aOrder.m_task.m_job);
  }
  const Duration time = step.m_longRunning
                            ? Duration(seconds(100000))
                            : step.m_estimate * Between(50, 200) / 100;
  aRunner.m_runs[aOrder.m_task] = {aOrder.m_run, m_now + time, step.m_need,
                                   m_now, false};
  if (!step.m_gang) return OrderOutcome::Applied;
  // The members run and end together.
  const auto members = GangRuns(aOrder.m_task, aOrder.m_run);
  for (SimulatedRunner::Run* member : members) {
    member->m_gangComplete = members.size() == step.m_count;
    member->m_endsAt = member->m_gangComplete ? m_now + time : TimePoint::max();
  }
  return OrderOutcome::Applied;
}

void CellSimulation::CheckStart(const SimulatedRunner& aRunner,
                                const StartOrder& aOrder) {
  const TaskKey& key = aOrder.m_task;
  const JobSpec& spec = m_submitted.at(key.m_job);
  const StepSpec& step = spec.m_steps[key.m_step];
  for (SimulatedRunner& other : m_runners) {
    AdvanceRunner(other);
    if (other.m_runs.count(key) > 0) {
      ReportViolation("two runs at once: " + Text(key, aOrder.m_run));
    }
  }
  if (m_acknowledgedDone.count(key) > 0) {
    ReportViolation("start after its end: " + Text(key, aOrder.m_run));
  }
  const auto failed = m_acknowledgedFailures.find(key);
  if (failed != m_acknowledgedFailures.end() && !step.m_longRunning &&
      failed->second >= spec.m_policy.m_maxAttempts) {
    ReportViolation("start beyond the attempts: " + Text(key, aOrder.m_run));
  }
  for (const uint32_t earlier : step.m_after) {
    for (uint32_t at = 0; at < spec.m_steps[earlier].m_count; ++at) {
      const bool gangDone =
          spec.m_steps[earlier].m_gang &&
          std::any_of(m_done.begin(), m_done.end(), [&](const TaskKey& aDone) {
            return aDone.m_job == key.m_job &&
                   aDone.m_occurrence == key.m_occurrence &&
                   aDone.m_step == earlier;
          });
      const TaskKey before{key.m_job, key.m_occurrence, earlier, at};
      if (!gangDone && m_done.count(before) == 0) {
        ReportViolation("start before an earlier step: " +
                        Text(key, aOrder.m_run));
      }
    }
  }
  Resources used = step.m_need;
  uint32_t ofStep = 1;
  for (const auto& [other, run] : aRunner.m_runs) {
    used += run.m_need;
    if (other.m_job == key.m_job && other.m_occurrence == key.m_occurrence &&
        other.m_step == key.m_step) {
      ++ofStep;
    }
  }
  if (!Fits(used, aRunner.m_entry.m_capacity)) {
    ReportViolation("over the capacity: " + Text(key, aOrder.m_run));
  }
  if (step.m_antiAffinity > 0 && ofStep > step.m_antiAffinity) {
    ReportViolation("beyond the anti-affinity: " + Text(key, aOrder.m_run));
  }
}

OrderOutcome CellSimulation::ExecuteStop(SimulatedRunner& aRunner,
                                         const StopOrder& aOrder,
                                         FencingToken aFence) {
  if (!PassesFence(aRunner, aFence)) return OrderOutcome::RefusedFence;
  RunNumber& closedRun = aRunner.m_closedRuns[aOrder.m_task];
  closedRun = std::max(closedRun, aOrder.m_run);
  const auto run = aRunner.m_runs.find(aOrder.m_task);
  if (run != aRunner.m_runs.end() && run->second.m_number <= aOrder.m_run) {
    // A stop takes a moment, in which the run still counts.
    run->second.m_endsAt = TimePoint::max();
    const RunnerId id = aRunner.m_entry.m_id;
    const RunNumber number = run->second.m_number;
    After(milliseconds(Between(5, 400)),
          [this, id, key = aOrder.m_task, number] {
            for (SimulatedRunner& runner : m_runners) {
              const auto found = runner.m_runs.find(key);
              if (runner.m_entry.m_id == id && found != runner.m_runs.end() &&
                  found->second.m_number == number) {
                EndRun(runner, key, EndKind::Stopped);
              }
            }
          });
  }
  return OrderOutcome::Applied;
}

RunnerReport CellSimulation::ExecuteRenewal(SimulatedRunner& aRunner,
                                            const RenewalOrder& aOrder) {
  if (aOrder.m_deadline.Value() > 0) ExtendLease(aRunner, aOrder.m_deadline);
  std::erase_if(aRunner.m_ends, [&](const EndRow& aEnd) {
    if (aEnd.m_number > aOrder.m_lastSeen) return false;
    if (aEnd.m_kind == EndKind::Done && aEnd.m_number > aRunner.m_lapsedEnds) {
      m_acknowledgedDone.insert(aEnd.m_task);
    }
    if (aEnd.m_kind == EndKind::Failed) ++m_acknowledgedFailures[aEnd.m_task];
    return true;
  });
  RunnerReport report;
  report.m_clock = ClockOf(aRunner);
  report.m_startedAt = aRunner.m_entry.m_startedAt;
  for (const auto& [key, run] : aRunner.m_runs) {
    report.m_running.push_back({key, run.m_number, "", 100, 0});
  }
  const size_t listed = std::min(aRunner.m_ends.size(), kListedEnds);
  const auto first = aRunner.m_ends.begin();
  report.m_ended.assign(first, first + static_cast<ptrdiff_t>(listed));
  report.m_allEndsListed = listed < kListedEnds;
  return report;
}

void CellSimulation::Crash(SimulatedRunner& aRunner) {
  aRunner.m_runs.clear();
  aRunner.m_closedRuns.clear();
  aRunner.m_ends.clear();
  aRunner.m_lastEnd = EndNumber();
  aRunner.m_lapsedEnds = EndNumber();
  aRunner.m_fence = FencingToken();
  aRunner.m_deadline = RunnerMillis();
  aRunner.m_bootedAt = m_now;
  aRunner.m_entry.m_startedAt = m_unixNow;
  // The list of runners is updated with a delay.
  const RunnerEntry entry = aRunner.m_entry;
  After(milliseconds(Between(10, 2000)), [this, entry] {
    for (const OwnerPtr& owner : m_owners) {
      Deliver(owner, [this, owner, entry] {
        UpdateRunner(owner->m_cell, entry, m_now, m_unixNow);
      });
    }
  });
}

}  // namespace bronze::sched
