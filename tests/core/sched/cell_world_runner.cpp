/**
 * @file cell_world_runner.cpp The runners of the world, and the rules that are
 * checked at each start.
 */

#include <fmt/format.h>

#include <algorithm>

#include "cell_world.h"

namespace bronze::sched {

namespace {

constexpr RunnerMillis kLeaseCap(10000);
constexpr Duration kGangTimeout = seconds(3);

std::string Text(const TaskKey& aKey, RunNumber aRun) {
  return fmt::format("{}.{}.{}.{} run {}", aKey.m_job.Value(),
                     aKey.m_occurrence, aKey.m_step, aKey.m_index,
                     aRun.Value());
}

}  // namespace

RunnerMillis CellWorld::ClockOf(const WorldRunner& aRunner) const {
  const double elapsed =
      static_cast<double>((m_now - aRunner.m_bootedAt).count());
  return RunnerMillis(
      static_cast<int64_t>(elapsed * aRunner.m_clockRate / 1000.0));
}

void CellWorld::EndRun(WorldRunner& aRunner, const TaskKey& aKey,
                       EndKind aKind) {
  const auto run = aRunner.m_runs.find(aKey);
  aRunner.m_lastEnd = aRunner.m_lastEnd.Next();
  aRunner.m_ends.push_back(
      {aRunner.m_lastEnd, aKey, run->second.m_number, aKind, ""});
  if (aKind == EndKind::Done) m_done.insert(aKey);
  RunNumber& shutOut = aRunner.m_shutOut[aKey];
  shutOut = std::max(shutOut, run->second.m_number);
  aRunner.m_runs.erase(run);
}

std::vector<WorldRunner::Run*> CellWorld::GangRuns(const TaskKey& aKey,
                                                   RunNumber aRun) {
  std::vector<WorldRunner::Run*> members;
  for (WorldRunner& runner : m_runners) {
    for (auto& [key, run] : runner.m_runs) {
      if (key.m_job == aKey.m_job && key.m_step == aKey.m_step &&
          run.m_number == aRun) {
        members.push_back(&run);
      }
    }
  }
  return members;
}

void CellWorld::BreakGangs() {
  for (WorldRunner& runner : m_runners) {
    const auto runs = runner.m_runs;
    for (const auto& [key, run] : runs) {
      const StepSpec& step = m_submitted.at(key.m_job).m_steps[key.m_step];
      if (!step.m_gang) continue;
      const bool whole = GangRuns(key, run.m_number).size() == step.m_count;
      if (run.m_together && !whole) EndRun(runner, key, EndKind::Broken);
      if (!run.m_together && m_now - run.m_begunAt > kGangTimeout) {
        EndRun(runner, key, EndKind::Alone);
      }
    }
  }
}

void CellWorld::AdvanceRunner(WorldRunner& aRunner) {
  const bool lapsed = ClockOf(aRunner) > aRunner.m_deadline;
  std::vector<TaskKey> ended;
  for (const auto& [key, run] : aRunner.m_runs) {
    if (lapsed || run.m_endsAt <= m_now) ended.push_back(key);
  }
  for (const TaskKey& key : ended) {
    const EndKind kind = lapsed                            ? EndKind::Lapsed
                         : m_hopeless.count(key.m_job) > 0 ? EndKind::Failed
                                                           : EndKind::Done;
    EndRun(aRunner, key, kind);
  }
}

bool CellWorld::PassesFence(WorldRunner& aRunner, FencingToken aFence) const {
  if (aFence < aRunner.m_fence) return false;
  aRunner.m_fence = aFence;
  return true;
}

void CellWorld::ExtendLease(WorldRunner& aRunner, RunnerMillis aDeadline) {
  const RunnerMillis longest = ClockOf(aRunner) + kLeaseCap;
  aRunner.m_deadline =
      std::max(aRunner.m_deadline, std::min(aDeadline, longest));
}

OrderOutcome CellWorld::CarryOutStart(WorldRunner& aRunner,
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
  const auto shutOut = aRunner.m_shutOut.find(aOrder.m_task);
  if (shutOut != aRunner.m_shutOut.end() && aOrder.m_run <= shutOut->second) {
    return OrderOutcome::RefusedOld;
  }
  const StepSpec& step =
      m_submitted.at(aOrder.m_task.m_job).m_steps[aOrder.m_task.m_step];
  CheckStart(aRunner, aOrder);
  ++m_starts;
  const Duration time = step.m_longRunning
                            ? Duration(seconds(100000))
                            : step.m_estimate * Between(50, 200) / 100;
  aRunner.m_runs[aOrder.m_task] = {aOrder.m_run, m_now + time, step.m_need,
                                   m_now, false};
  if (!step.m_gang) return OrderOutcome::Applied;
  // The members work, and end, together.
  const auto members = GangRuns(aOrder.m_task, aOrder.m_run);
  for (WorldRunner::Run* member : members) {
    member->m_together = members.size() == step.m_count;
    member->m_endsAt = member->m_together ? m_now + time : TimePoint::max();
  }
  return OrderOutcome::Applied;
}

void CellWorld::CheckStart(const WorldRunner& aRunner,
                           const StartOrder& aOrder) {
  const TaskKey& key = aOrder.m_task;
  const JobSpec& spec = m_submitted.at(key.m_job);
  const StepSpec& step = spec.m_steps[key.m_step];
  for (WorldRunner& other : m_runners) {
    AdvanceRunner(other);
    if (other.m_runs.count(key) > 0) {
      Violate("two runs at once: " + Text(key, aOrder.m_run));
    }
  }
  if (m_doneNoted.count(key) > 0) {
    Violate("start after its end: " + Text(key, aOrder.m_run));
  }
  const auto failed = m_failed.find(key);
  if (failed != m_failed.end() && !step.m_longRunning &&
      failed->second >= spec.m_policy.m_maxAttempts) {
    Violate("start beyond the attempts: " + Text(key, aOrder.m_run));
  }
  for (const uint32_t earlier : step.m_after) {
    for (uint32_t at = 0; at < spec.m_steps[earlier].m_count; ++at) {
      const bool gangDone =
          spec.m_steps[earlier].m_gang &&
          std::any_of(m_done.begin(), m_done.end(), [&](const TaskKey& aDone) {
            return aDone.m_job == key.m_job && aDone.m_step == earlier;
          });
      if (!gangDone && m_done.count({key.m_job, 0, earlier, at}) == 0) {
        Violate("start before an earlier step: " + Text(key, aOrder.m_run));
      }
    }
  }
  Resources used = step.m_need;
  uint32_t ofStep = 1;
  for (const auto& [other, run] : aRunner.m_runs) {
    used += run.m_need;
    if (other.m_job == key.m_job && other.m_step == key.m_step) ++ofStep;
  }
  if (!Fits(used, aRunner.m_entry.m_capacity)) {
    Violate("over the capacity: " + Text(key, aOrder.m_run));
  }
  if (step.m_antiAffinity > 0 && ofStep > step.m_antiAffinity) {
    Violate("beyond the anti-affinity: " + Text(key, aOrder.m_run));
  }
}

OrderOutcome CellWorld::CarryOutStop(WorldRunner& aRunner,
                                     const StopOrder& aOrder,
                                     FencingToken aFence) {
  if (!PassesFence(aRunner, aFence)) return OrderOutcome::RefusedFence;
  RunNumber& shutOut = aRunner.m_shutOut[aOrder.m_task];
  shutOut = std::max(shutOut, aOrder.m_run);
  const auto run = aRunner.m_runs.find(aOrder.m_task);
  if (run != aRunner.m_runs.end() && run->second.m_number <= aOrder.m_run) {
    // A stop takes a moment, in which the run still counts.
    run->second.m_endsAt = TimePoint::max();
    const RunnerId id = aRunner.m_entry.m_id;
    const RunNumber number = run->second.m_number;
    After(milliseconds(Between(5, 400)),
          [this, id, key = aOrder.m_task, number] {
            for (WorldRunner& runner : m_runners) {
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

RunnerReport CellWorld::CarryOutHold(WorldRunner& aRunner,
                                     const HoldOrder& aOrder) {
  if (aOrder.m_deadline.Value() > 0) ExtendLease(aRunner, aOrder.m_deadline);
  std::erase_if(aRunner.m_ends, [&](const EndRow& aEnd) {
    if (aEnd.m_number > aOrder.m_lastSeen) return false;
    if (aEnd.m_kind == EndKind::Done) m_doneNoted.insert(aEnd.m_task);
    if (aEnd.m_kind == EndKind::Failed) ++m_failed[aEnd.m_task];
    return true;
  });
  RunnerReport report;
  report.m_clock = ClockOf(aRunner);
  report.m_born = aRunner.m_entry.m_born;
  for (const auto& [key, run] : aRunner.m_runs) {
    report.m_running.push_back({key, run.m_number, "", 100, 0});
  }
  report.m_ended = aRunner.m_ends;
  return report;
}

void CellWorld::Crash(WorldRunner& aRunner) {
  aRunner.m_runs.clear();
  aRunner.m_shutOut.clear();
  aRunner.m_ends.clear();
  aRunner.m_lastEnd = EndNumber();
  aRunner.m_fence = FencingToken();
  aRunner.m_deadline = RunnerMillis();
  aRunner.m_bootedAt = m_now;
  aRunner.m_entry.m_born = UnixMillis(m_born++);
  // The list of runners lags behind.
  const RunnerEntry entry = aRunner.m_entry;
  After(milliseconds(Between(10, 2000)), [this, entry] {
    for (const OwnerPtr& owner : m_owners) {
      Deliver(owner, [this, owner, entry] {
        UpdateRunner(owner->m_cell, entry, m_now);
      });
    }
  });
}

}  // namespace bronze::sched
