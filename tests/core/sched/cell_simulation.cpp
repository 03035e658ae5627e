/**
 * @file cell_simulation.cpp Simulation of runners, a store and several owners
 * in virtual time.
 */

#include "cell_simulation.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/sched/lease_func.h"
#include "pending_check.h"

namespace bronze::sched {

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr int kRunners = 5;
constexpr uint64_t kJobs = 10;
/** As in the daemon: starts are sent only for this long after the last commit,
 *  and a takeover follows only when the row has not changed for longer. */
constexpr Duration kAuthorityDuration = milliseconds(1800);
constexpr Duration kTakeoverAfter = milliseconds(2100);
constexpr Duration kOrderTimeout = milliseconds(600);
constexpr Duration kCommitInterval = milliseconds(500);
/** A runner's entry is removed when it has been silent for this long. */
constexpr Duration kEntryLifetime = milliseconds(4500);
const ServiceId kPool("pool");

}  // namespace

CellSimulation::CellSimulation(uint64_t aSeed, CellSettings aSettings,
                               size_t aCommitRows)
    : m_random(aSeed),
      m_cancelRandom(~aSeed),
      m_settings(aSettings),
      m_commitRows(aCommitRows) {
  for (int number = 0; number < kRunners; ++number) AddRunner(number);
  TakeOver();
  SubmitJobs();
}

bool CellSimulation::Chance(double aProbability) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) <
         aProbability;
}

int64_t CellSimulation::Between(int64_t aLeast, int64_t aMost) {
  return std::uniform_int_distribution<int64_t>(aLeast, aMost)(m_random);
}

void CellSimulation::After(Duration aDelay, std::function<void()> aAction) {
  m_events.emplace(m_now + aDelay, std::move(aAction));
}

void CellSimulation::ReportViolation(std::string aText) {
  m_violations.push_back(fmt::format(
      "{} ms: {}", (m_now - TimePoint(seconds(1000))).count() / 1000, aText));
}

void CellSimulation::AddRunner(int aNumber) {
  SimulatedRunner runner;
  runner.m_entry.m_id = RunnerId("r" + std::to_string(aNumber));
  runner.m_entry.m_service = kPool;
  runner.m_entry.m_address = "127.0.0.1:1";
  runner.m_entry.m_capacity = {Millicores(16000), Mebibytes(64000),
                               Accelerators()};
  runner.m_entry.m_labels = {"kind", "rack" + std::to_string(aNumber % 2)};
  runner.m_clockRate = 0.98 + 0.02 * static_cast<double>(Between(0, 10)) / 10.0;
  const int64_t age = Between(1, 100);
  runner.m_bootedAt = m_now - seconds(age);
  runner.m_entry.m_startedAt = m_unixNow - UnixMillis(age * 1000);
  m_runners.push_back(std::move(runner));
}

JobSpec CellSimulation::RandomJob(uint64_t aId) {
  JobSpec spec;
  spec.m_id = JobId(aId);
  spec.m_queue = QueueId("queue");
  spec.m_policy.m_service = kPool;
  spec.m_policy.m_maxAttempts = 3;
  spec.m_policy.m_priority = Chance(0.5) ? 0 : 2;
  spec.m_payload = "spec";
  const bool longRunning = Chance(0.2);
  const int64_t steps = longRunning ? 1 : Between(1, 3);
  for (int64_t at = 0; at < steps; ++at) {
    StepSpec step;
    // Long-running tasks leave room for each gang, so that all jobs can end.
    step.m_count = static_cast<uint32_t>(Between(1, longRunning ? 2 : 4));
    step.m_need = {Millicores(Between(1, longRunning ? 2 : 6) * 1000),
                   Mebibytes(1000), Accelerators()};
    step.m_estimate = milliseconds(Between(200, 2000));
    if (at > 0) step.m_after = {static_cast<uint32_t>(at - 1)};
    step.m_longRunning = longRunning;
    step.m_gang = !longRunning && Chance(0.2);
    step.m_antiAffinity = !step.m_gang && Chance(0.2) ? 1 : 0;
    spec.m_steps.push_back(std::move(step));
  }
  if (!longRunning && Chance(0.3)) {
    spec.m_maxRuns = static_cast<uint32_t>(Between(2, 3));
    spec.m_startTime = m_unixNow + UnixMillis(Between(0, 10000));
    spec.m_intervalMs = Between(200, 3000);
  }
  return spec;
}

void CellSimulation::SubmitJobs() {
  for (uint64_t id = 1; id <= kJobs; ++id) {
    JobSpec spec = RandomJob(id);
    if (!spec.m_steps[0].m_longRunning && Chance(0.15)) {
      m_alwaysFailing.insert(spec.m_id);
    }
    After(milliseconds(Between(10, 12000)), [this, spec] {
      m_submitted[spec.m_id] = spec;
      SubmitUntilStored(spec);
    });
  }
}

void CellSimulation::SubmitUntilStored(const JobSpec& aSpec) {
  if (m_rows.m_specs.count(aSpec.m_id) > 0) return;
  const OwnerPtr& owner = m_owners.back();
  if (!owner->m_paused) {
    static_cast<void>(SubmitJob(owner->m_cell, aSpec, m_now, m_unixNow));
  }
  After(milliseconds(300), [this, aSpec] { SubmitUntilStored(aSpec); });
}

bool CellSimulation::CancelChance(double aProbability) {
  return m_withCancels &&
         std::bernoulli_distribution(aProbability)(m_cancelRandom);
}

void CellSimulation::CancelSomeJobs() {
  m_withCancels = true;
  std::uniform_int_distribution<int64_t> time(500, 20000);
  for (uint64_t id = 1; id <= kJobs; ++id) {
    if (!CancelChance(0.3)) continue;
    After(milliseconds(time(m_cancelRandom)),
          [this, id] { CancelUntilStored(JobId(id)); });
  }
}

void CellSimulation::CancelUntilStored(JobId aJob) {
  const auto state = m_rows.m_states.find(aJob);
  const bool hasEnded = state != m_rows.m_states.end() &&
                        state->second.m_phase != JobPhase::Active;
  if (hasEnded) {
    if (state->second.m_phase == JobPhase::Cancelled) ++m_cancels;
    return;
  }
  const OwnerPtr& owner = m_owners.back();
  if (!owner->m_paused) {
    static_cast<void>(CancelJob(owner->m_cell, aJob, m_now));
  }
  After(milliseconds(300), [this, aJob] { CancelUntilStored(aJob); });
}

void CellSimulation::Simulate(Duration aTime, Duration aCalm) {
  const TimePoint faultsEnd = m_now + aTime;
  const TimePoint end = faultsEnd + aCalm;
  while (m_now < end) Step(m_now < faultsEnd);
}

void CellSimulation::Step(bool aFaults) {
  m_now += kStep;
  m_unixNow += UnixMillis(kStep.count() / 1000);
  if (aFaults) {
    InjectFaults();
  } else {
    m_storeDown = false;
    for (SimulatedRunner& runner : m_runners) {
      runner.m_reachable = true;
      SetListed(runner, true);
    }
  }
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    const auto action = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    action();
  }
  for (SimulatedRunner& runner : m_runners) AdvanceRunner(runner);
  BreakGangs();
  const std::vector<OwnerPtr> owners = m_owners;
  for (const OwnerPtr& owner : owners) {
    if (!owner->m_paused && !owner->m_ended) Act(owner);
  }
  const bool rowIsStale = m_now - m_rowChangedAt > kTakeoverAfter;
  if (rowIsStale && !m_storeDown) TakeOver();
}

void CellSimulation::InjectFaults() {
  if (Chance(0.001)) {
    m_storeDown = true;
    After(milliseconds(Between(200, 5000)), [this] {
      m_storeDown = false;
      m_rowChangedAt = m_now;
    });
  }
  if (Chance(0.002)) {
    const auto owner = m_owners[static_cast<size_t>(
        Between(0, static_cast<int64_t>(m_owners.size()) - 1))];
    owner->m_paused = true;
    After(milliseconds(Between(100, 8000)), [owner] {
      owner->m_paused = false;
      const auto answers = std::move(owner->m_pendingAnswers);
      owner->m_pendingAnswers.clear();
      for (const auto& answer : answers) {
        if (!owner->m_ended) answer();
      }
    });
  }
  const size_t at = static_cast<size_t>(Between(0, kRunners - 1));
  if (Chance(0.002)) Crash(m_runners[at]);
  if (Chance(0.003)) CutOff(at);
}

void CellSimulation::CutOff(size_t aRunner) {
  SimulatedRunner& runner = m_runners[aRunner];
  if (!runner.m_reachable) return;
  runner.m_reachable = false;
  const Duration time = milliseconds(Between(200, 12000));
  if (time > kEntryLifetime && Chance(0.5)) {
    After(kEntryLifetime, [this, aRunner] {
      SetListed(m_runners[aRunner], m_runners[aRunner].m_reachable);
    });
  }
  After(time, [this, aRunner] {
    m_runners[aRunner].m_reachable = true;
    SetListed(m_runners[aRunner], true);
  });
}

void CellSimulation::SetListed(SimulatedRunner& aRunner, bool aListed) {
  if (aRunner.m_listed == aListed) return;
  aRunner.m_listed = aListed;
  for (const OwnerPtr& owner : m_owners) {
    Deliver(owner, [this, owner, entry = aRunner.m_entry, aListed] {
      if (aListed) {
        UpdateRunner(owner->m_cell, entry, m_now, m_unixNow);
      } else {
        RemoveRunner(owner->m_cell, entry.m_id);
      }
    });
  }
}

void CellSimulation::TakeOver() {
  if (!m_owners.empty()) ++m_takeovers;
  const auto owner = std::make_shared<SimulatedOwner>();
  owner->m_rowVersion = ++m_version;
  owner->m_cell.m_settings = m_settings;
  owner->m_cell.m_fence = FencingToken(m_version);
  owner->m_lastCommitSentAt = m_now;
  const Duration reach = LeaseReach(owner->m_cell.m_settings.m_lease);
  const TimePoint earlierLeasesEnd =
      m_owners.empty() ? m_now : m_rowChangedAt + reach;
  owner->m_cell.m_leaseHorizon = m_now + reach;
  m_rowChangedAt = m_now;
  for (const auto& [id, spec] : m_rows.m_specs) {
    RestoreJob(owner->m_cell, spec, m_rows.StateOf(id), m_now, m_unixNow);
  }
  BeginTerm(owner->m_cell, earlierLeasesEnd);
  for (const UnresponsiveRunner& unresponsive : m_unresponsive) {
    RestoreUnresponsiveRunner(owner->m_cell, unresponsive);
  }
  for (const SimulatedRunner& runner : m_runners) {
    if (runner.m_listed)
      UpdateRunner(owner->m_cell, runner.m_entry, m_now, m_unixNow);
  }
  m_owners.push_back(owner);
}

void CellSimulation::Act(const OwnerPtr& aOwner) {
  AdvanceJobs(aOwner->m_cell, m_now, m_unixNow);
  AdvanceRunners(aOwner->m_cell, m_now);
  aOwner->m_cell.m_capacityChanged = true;
  PlaceTasks(aOwner->m_cell, m_now);
  SendOrders(aOwner);
  SendRenewals(aOwner);
  StartCommit(aOwner);
  if (!PendingCountIsExact(aOwner->m_cell)) {
    ReportViolation("the number of pending jobs differs from their states");
  }
}

void CellSimulation::Deliver(const OwnerPtr& aOwner,
                             std::function<void()> aAnswer) {
  if (aOwner->m_ended) return;
  if (aOwner->m_paused) {
    aOwner->m_pendingAnswers.push_back(std::move(aAnswer));
    return;
  }
  aAnswer();
}

void CellSimulation::Order(
    const OwnerPtr& aOwner, RunnerIndex aRunner,
    std::function<OrderOutcome(SimulatedRunner&)> aExecute,
    std::function<void(OrderOutcome)> aAnswer) {
  const RunnerId id = aOwner->m_cell.m_runners[aRunner.Value()].m_entry.m_id;
  const FencingToken sent = aOwner->m_cell.m_runners[aRunner.Value()].m_fence;
  const auto answer = [aOwner, aRunner, aAnswer, sent](OrderOutcome aOutcome) {
    Deliver(aOwner, [aOwner, aRunner, aAnswer, sent, aOutcome] {
      const Runner& runner = aOwner->m_cell.m_runners[aRunner.Value()];
      if (aOutcome == OrderOutcome::RefusedFence && sent >= runner.m_fence) {
        aOwner->m_ended = true;
      }
      if (!aOwner->m_ended) aAnswer(aOutcome);
    });
  };
  const auto found = std::find_if(
      m_runners.begin(), m_runners.end(),
      [&](const SimulatedRunner& aEach) { return aEach.m_entry.m_id == id; });
  const size_t at = static_cast<size_t>(found - m_runners.begin());
  const auto execute = [this, at, aExecute] {
    AdvanceRunner(m_runners[at]);
    return aExecute(m_runners[at]);
  };
  const bool reachable = found->m_reachable;
  const Duration travel = milliseconds(Between(1, 20));
  if (!reachable || Chance(0.01)) {
    After(kOrderTimeout, [answer] { answer(OrderOutcome::Unknown); });
    return;
  }
  if (Chance(0.02)) {
    // The order is executed seconds later, after its sender has given up. A new
    // instance that has seen no higher fencing token yet would accept an order
    // to the earlier one; no sender can prevent that, so this case is left out.
    After(milliseconds(Between(700, 6000)),
          [this, at, execute, sent, startedAt = found->m_entry.m_startedAt] {
            const SimulatedRunner& runner = m_runners[at];
            const bool sameInstance = runner.m_entry.m_startedAt == startedAt;
            if (sameInstance || runner.m_fence > sent) execute();
          });
    After(kOrderTimeout, [answer] { answer(OrderOutcome::Unknown); });
    return;
  }
  const bool answerLost = Chance(0.02);
  After(travel, [this, answer, execute, answerLost, travel] {
    const OrderOutcome outcome = execute();
    if (answerLost) {
      After(kOrderTimeout, [answer] { answer(OrderOutcome::Unknown); });
    } else {
      After(travel, [answer, outcome] { answer(outcome); });
    }
  });
}

void CellSimulation::SendOrders(const OwnerPtr& aOwner) {
  const std::vector<sched::Order> orders = std::move(aOwner->m_cell.m_orders);
  aOwner->m_cell.m_orders.clear();
  const auto fenceOf = [&aOwner](RunnerIndex aRunner) {
    return aOwner->m_cell.m_runners[aRunner.Value()].m_fence;
  };
  for (const sched::Order& order : orders) {
    if (const auto* start = std::get_if<StartOrder>(&order)) {
      if (m_now - aOwner->m_lastCommitSentAt >= kAuthorityDuration) {
        ApplyStartAnswer(aOwner->m_cell, *start, OrderOutcome::Withdrawn, {},
                         m_now);
        continue;
      }
      const RunnerMillis deadline = OrderDeadline(
          aOwner->m_cell, aOwner->m_cell.m_runners[start->m_runner.Value()],
          m_now);
      const auto clock = std::make_shared<RunnerMillis>();
      Order(
          aOwner, start->m_runner,
          [this, wanted = *start, fence = fenceOf(start->m_runner), deadline,
           clock](SimulatedRunner& aRunner) {
            *clock = ClockOf(aRunner);
            return ExecuteStart(aRunner, wanted, fence, deadline);
          },
          [this, aOwner, wanted = *start, clock](OrderOutcome aOutcome) {
            const auto told = aOutcome == OrderOutcome::Unknown
                                  ? std::optional<RunnerMillis>()
                                  : *clock;
            ApplyStartAnswer(aOwner->m_cell, wanted, aOutcome, told, m_now);
          });
    } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
      if (CancelChance(0.3)) {
        After(kOrderTimeout, [this, aOwner, wanted = *stop] {
          Deliver(aOwner, [this, aOwner, wanted] {
            ApplyStopAnswer(aOwner->m_cell, wanted, OrderOutcome::Unknown,
                            m_now);
          });
        });
        continue;
      }
      Order(
          aOwner, stop->m_runner,
          [this, wanted = *stop,
           fence = fenceOf(stop->m_runner)](SimulatedRunner& aRunner) {
            return ExecuteStop(aRunner, wanted, fence);
          },
          [this, aOwner, wanted = *stop](OrderOutcome aOutcome) {
            ApplyStopAnswer(aOwner->m_cell, wanted, aOutcome, m_now);
          });
    }
  }
}

void CellSimulation::SendRenewals(const OwnerPtr& aOwner) {
  Cell& cell = aOwner->m_cell;
  for (uint32_t at = 0; at < cell.m_runners.size(); ++at) {
    const auto renewal = NextRenewal(cell, RunnerIndex(at), m_now);
    if (!renewal) continue;
    const auto report = std::make_shared<RunnerReport>();
    Order(
        aOwner, renewal->m_runner,
        [this, wanted = *renewal, report](SimulatedRunner& aRunner) {
          if (!PassesFence(aRunner, wanted.m_fence)) {
            return OrderOutcome::RefusedFence;
          }
          *report = ExecuteRenewal(aRunner, wanted);
          return OrderOutcome::Applied;
        },
        [this, aOwner, wanted = *renewal, report,
         sentAt = m_now](OrderOutcome aOutcome) {
          if (aOutcome == OrderOutcome::Applied) {
            ApplyReport(aOwner->m_cell, wanted.m_runner, *report, sentAt,
                        m_now);
          } else {
            ApplyRenewalFailure(aOwner->m_cell, wanted.m_runner, aOutcome,
                                m_now);
          }
        });
  }
}

void CellSimulation::StartCommit(const OwnerPtr& aOwner) {
  if (aOwner->m_commit) return;
  if (!HasCommit(aOwner->m_cell) &&
      m_now - aOwner->m_lastCommitSentAt < kCommitInterval) {
    return;
  }
  aOwner->m_commit = TakeCommit(aOwner->m_cell, m_commitRows, m_now);
  aOwner->m_commitSentAt = m_now;
  After(milliseconds(Between(5, 40)), [this, aOwner] { FinishCommit(aOwner); });
}

void CellSimulation::FinishCommit(const OwnerPtr& aOwner) {
  if (m_storeDown) {
    // The commit is sent again unchanged until its outcome is known.
    After(milliseconds(100), [this, aOwner] {
      if (!aOwner->m_paused) aOwner->m_commitSentAt = m_now;
      FinishCommit(aOwner);
    });
    return;
  }
  if (aOwner != m_owners.back()) {
    Deliver(aOwner, [aOwner] { aOwner->m_ended = true; });
    return;
  }
  const Commit& commit = *aOwner->m_commit;
  m_rows.Apply(commit);
  m_unresponsive = commit.m_unresponsive;
  aOwner->m_rowVersion = ++m_version;
  m_rowChangedAt = m_now;
  Deliver(aOwner, [this, aOwner] {
    aOwner->m_lastCommitSentAt = aOwner->m_commitSentAt;
    Cell& cell = aOwner->m_cell;
    cell.m_leaseHorizon =
        aOwner->m_commitSentAt + LeaseReach(cell.m_settings.m_lease);
    aOwner->m_cell.m_newestFence = FencingToken(aOwner->m_rowVersion);
    ApplyCommitted(aOwner->m_cell, *aOwner->m_commit, m_now);
    aOwner->m_commit.reset();
  });
}

std::vector<std::string> CellSimulation::Unfinished() const {
  std::vector<std::string> unfinished;
  for (const auto& [id, spec] : m_submitted) {
    const auto state = m_rows.m_states.find(id);
    const bool failed = state != m_rows.m_states.end() &&
                        state->second.m_phase == JobPhase::Failed;
    const bool completed = state != m_rows.m_states.end() &&
                           state->second.m_phase == JobPhase::Completed;
    const bool cancelled = state != m_rows.m_states.end() &&
                           state->second.m_phase == JobPhase::Cancelled;
    if (cancelled) {
      if (RunsOf(id) == 0) continue;
    } else if (spec.m_steps[0].m_longRunning) {
      if (RunsOf(id) == spec.m_steps[0].m_count) continue;
    } else if (m_alwaysFailing.count(id) > 0 ? failed : completed) {
      continue;
    }
    unfinished.push_back(fmt::format("job {}", id.Value()));
  }
  return unfinished;
}

}  // namespace bronze::sched
