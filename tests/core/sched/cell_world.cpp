/**
 * @file cell_world.cpp A world of runners, a store and several owners in
 * virtual time.
 */

#include "cell_world.h"

#include <fmt/format.h>

#include <algorithm>

namespace bronze::sched {

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr int kRunners = 5;
constexpr uint64_t kJobs = 10;
/** As in the daemon: starts only so long after the last commit, and a takeover
 *  only after a longer silence of the row. */
constexpr Duration kAuthority = milliseconds(1800);
constexpr Duration kOwnerSilence = milliseconds(2100);
constexpr Duration kOrderTimeout = milliseconds(600);
constexpr Duration kBeat = milliseconds(500);
const ServiceId kPool("pool");

}  // namespace

CellWorld::CellWorld(uint64_t aSeed) : m_random(aSeed) {
  for (int number = 0; number < kRunners; ++number) AddRunner(number);
  TakeOver();
  SubmitJobs();
}

bool CellWorld::Chance(double aProbability) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) <
         aProbability;
}

int64_t CellWorld::Between(int64_t aLeast, int64_t aMost) {
  return std::uniform_int_distribution<int64_t>(aLeast, aMost)(m_random);
}

void CellWorld::After(Duration aDelay, std::function<void()> aAction) {
  m_events.emplace(m_now + aDelay, std::move(aAction));
}

void CellWorld::Violate(std::string aText) {
  m_violations.push_back(fmt::format(
      "{} ms: {}", (m_now - TimePoint(seconds(1000))).count() / 1000, aText));
}

void CellWorld::AddRunner(int aNumber) {
  WorldRunner runner;
  runner.m_entry.m_id = RunnerId("r" + std::to_string(aNumber));
  runner.m_entry.m_service = kPool;
  runner.m_entry.m_address = "127.0.0.1:1";
  runner.m_entry.m_capacity = {Millicores(16000), Mebibytes(64000),
                               Accelerators()};
  runner.m_entry.m_labels = {"kind", "rack" + std::to_string(aNumber % 2)};
  runner.m_entry.m_born = UnixMillis(m_born++);
  runner.m_clockRate = 0.98 + 0.02 * static_cast<double>(Between(0, 10)) / 10.0;
  runner.m_bootedAt = m_now - seconds(Between(1, 100));
  m_runners.push_back(std::move(runner));
}

JobSpec CellWorld::RandomJob(uint64_t aId) {
  JobSpec spec;
  spec.m_id = JobId(aId);
  spec.m_queue = QueueId("queue");
  spec.m_policy.m_service = kPool;
  spec.m_policy.m_maxAttempts = 3;
  spec.m_policy.m_priority = Chance(0.5) ? 0 : 2;
  spec.m_payload = "spec";
  const bool lasts = Chance(0.2);
  const int64_t steps = lasts ? 1 : Between(1, 3);
  for (int64_t at = 0; at < steps; ++at) {
    StepSpec step;
    // Tasks that last leave room for each gang, so that all jobs can end.
    step.m_count = static_cast<uint32_t>(Between(1, lasts ? 2 : 4));
    step.m_need = {Millicores(Between(1, lasts ? 2 : 6) * 1000),
                   Mebibytes(1000), Accelerators()};
    step.m_estimate = milliseconds(Between(200, 2000));
    if (at > 0) step.m_after = {static_cast<uint32_t>(at - 1)};
    step.m_longRunning = lasts;
    step.m_gang = !lasts && Chance(0.2);
    step.m_antiAffinity = !step.m_gang && Chance(0.2) ? 1 : 0;
    spec.m_steps.push_back(std::move(step));
  }
  return spec;
}

void CellWorld::SubmitJobs() {
  for (uint64_t id = 1; id <= kJobs; ++id) {
    JobSpec spec = RandomJob(id);
    if (!spec.m_steps[0].m_longRunning && Chance(0.15)) {
      m_hopeless.insert(spec.m_id);
    }
    After(milliseconds(Between(10, 12000)), [this, spec] {
      m_submitted[spec.m_id] = spec;
      HandIn(spec);
    });
  }
}

void CellWorld::HandIn(const JobSpec& aSpec) {
  if (m_specs.count(aSpec.m_id) > 0) return;
  const OwnerPtr& owner = m_owners.back();
  if (!owner->m_frozen) {
    static_cast<void>(SubmitJob(owner->m_cell, aSpec, m_now, m_unixNow));
  }
  After(milliseconds(300), [this, aSpec] { HandIn(aSpec); });
}

void CellWorld::Play(Duration aTime, Duration aCalm) {
  const TimePoint faultsEnd = m_now + aTime;
  const TimePoint end = faultsEnd + aCalm;
  while (m_now < end) Step(m_now < faultsEnd);
}

void CellWorld::Step(bool aFaults) {
  m_now += kStep;
  m_unixNow += UnixMillis(kStep.count() / 1000);
  if (aFaults) {
    InjectFaults();
  } else {
    m_storeAway = false;
    for (WorldRunner& runner : m_runners) runner.m_reachable = true;
  }
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    const auto action = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    action();
  }
  for (WorldRunner& runner : m_runners) AdvanceRunner(runner);
  BreakGangs();
  const std::vector<OwnerPtr> owners = m_owners;
  for (const OwnerPtr& owner : owners) {
    if (!owner->m_frozen && !owner->m_ended) Act(owner);
  }
  const bool silent = m_now - m_rowChangedAt > kOwnerSilence;
  if (silent && !m_storeAway) TakeOver();
}

void CellWorld::InjectFaults() {
  if (Chance(0.001)) {
    m_storeAway = true;
    After(milliseconds(Between(200, 5000)), [this] {
      m_storeAway = false;
      m_rowChangedAt = m_now;
    });
  }
  if (Chance(0.002)) {
    const auto owner = m_owners[static_cast<size_t>(
        Between(0, static_cast<int64_t>(m_owners.size()) - 1))];
    owner->m_frozen = true;
    After(milliseconds(Between(100, 8000)), [owner] {
      owner->m_frozen = false;
      const auto inbox = std::move(owner->m_inbox);
      owner->m_inbox.clear();
      for (const auto& answer : inbox) {
        if (!owner->m_ended) answer();
      }
    });
  }
  const size_t at = static_cast<size_t>(Between(0, kRunners - 1));
  if (Chance(0.002)) Crash(m_runners[at]);
  if (Chance(0.003)) {
    m_runners[at].m_reachable = false;
    After(milliseconds(Between(200, 12000)),
          [this, at] { m_runners[at].m_reachable = true; });
  }
}

void CellWorld::TakeOver() {
  if (!m_owners.empty()) ++m_takeovers;
  const auto owner = std::make_shared<WorldOwner>();
  owner->m_rowVersion = ++m_version;
  owner->m_cell.m_fence = FencingToken(m_version);
  owner->m_cell.m_settings.m_maxLease = seconds(10);
  owner->m_lastCommitSentAt = m_now;
  m_rowChangedAt = m_now;
  for (const auto& [id, spec] : m_specs) {
    RestoreJob(owner->m_cell, spec, m_states.at(id), m_now, m_unixNow);
  }
  for (const SilentRunner& silent : m_silent) {
    RestoreSilence(owner->m_cell, silent, m_now);
  }
  for (const WorldRunner& runner : m_runners) {
    UpdateRunner(owner->m_cell, runner.m_entry, m_now);
  }
  m_owners.push_back(owner);
}

void CellWorld::Act(const OwnerPtr& aOwner) {
  AdvanceJobs(aOwner->m_cell, m_now, m_unixNow);
  AdvanceRunners(aOwner->m_cell, m_now);
  aOwner->m_cell.m_capacityChanged = true;
  PlaceTasks(aOwner->m_cell, m_now);
  SendOrders(aOwner);
  SendHolds(aOwner);
  StartCommit(aOwner);
}

void CellWorld::Deliver(const OwnerPtr& aOwner, std::function<void()> aAnswer) {
  if (aOwner->m_ended) return;
  if (aOwner->m_frozen) {
    aOwner->m_inbox.push_back(std::move(aAnswer));
    return;
  }
  aAnswer();
}

void CellWorld::Order(const OwnerPtr& aOwner, RunnerIndex aRunner,
                      std::function<OrderOutcome(WorldRunner&)> aCarryOut,
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
      [&](const WorldRunner& aEach) { return aEach.m_entry.m_id == id; });
  const size_t at = static_cast<size_t>(found - m_runners.begin());
  const auto carryOut = [this, at, aCarryOut] {
    AdvanceRunner(m_runners[at]);
    return aCarryOut(m_runners[at]);
  };
  const bool reachable = found->m_reachable;
  const Duration travel = milliseconds(Between(1, 20));
  if (!reachable || Chance(0.01)) {
    After(kOrderTimeout, [answer] { answer(OrderOutcome::Unknown); });
    return;
  }
  if (Chance(0.02)) {
    // Carried out seconds later, after its sender has given up.
    // A new life that has seen no fence yet would take an order to the earlier
    // one; no sender can prevent that, so it is left out.
    After(milliseconds(Between(700, 6000)),
          [this, at, carryOut, born = found->m_entry.m_born] {
            const WorldRunner& runner = m_runners[at];
            const bool sameLife = runner.m_entry.m_born == born;
            if (sameLife || runner.m_fence.Value() > 0) carryOut();
          });
    After(kOrderTimeout, [answer] { answer(OrderOutcome::Unknown); });
    return;
  }
  const bool answerLost = Chance(0.02);
  After(travel, [this, answer, carryOut, answerLost, travel] {
    const OrderOutcome outcome = carryOut();
    if (answerLost) {
      After(kOrderTimeout, [answer] { answer(OrderOutcome::Unknown); });
    } else {
      After(travel, [answer, outcome] { answer(outcome); });
    }
  });
}

void CellWorld::SendOrders(const OwnerPtr& aOwner) {
  const std::vector<sched::Order> orders = std::move(aOwner->m_cell.m_orders);
  aOwner->m_cell.m_orders.clear();
  const auto fenceOf = [&aOwner](RunnerIndex aRunner) {
    return aOwner->m_cell.m_runners[aRunner.Value()].m_fence;
  };
  for (const sched::Order& order : orders) {
    if (const auto* start = std::get_if<StartOrder>(&order)) {
      if (m_now - aOwner->m_lastCommitSentAt >= kAuthority) {
        ApplyStartAnswer(aOwner->m_cell, *start, OrderOutcome::NotSent, m_now);
        continue;
      }
      const RunnerMillis deadline = OrderDeadline(
          aOwner->m_cell, aOwner->m_cell.m_runners[start->m_runner.Value()],
          m_now);
      Order(
          aOwner, start->m_runner,
          [this, wanted = *start, fence = fenceOf(start->m_runner),
           deadline](WorldRunner& aRunner) {
            return CarryOutStart(aRunner, wanted, fence, deadline);
          },
          [this, aOwner, wanted = *start](OrderOutcome aOutcome) {
            ApplyStartAnswer(aOwner->m_cell, wanted, aOutcome, m_now);
          });
    } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
      Order(
          aOwner, stop->m_runner,
          [this, wanted = *stop,
           fence = fenceOf(stop->m_runner)](WorldRunner& aRunner) {
            return CarryOutStop(aRunner, wanted, fence);
          },
          [this, aOwner, wanted = *stop](OrderOutcome aOutcome) {
            ApplyStopAnswer(aOwner->m_cell, wanted, aOutcome, m_now);
          });
    }
  }
}

void CellWorld::SendHolds(const OwnerPtr& aOwner) {
  Cell& cell = aOwner->m_cell;
  for (uint32_t at = 0; at < cell.m_runners.size(); ++at) {
    const auto hold = NextHold(cell, RunnerIndex(at), m_now);
    if (!hold) continue;
    const auto report = std::make_shared<RunnerReport>();
    Order(
        aOwner, hold->m_runner,
        [this, wanted = *hold, report](WorldRunner& aRunner) {
          if (!PassesFence(aRunner, wanted.m_fence)) {
            return OrderOutcome::RefusedFence;
          }
          *report = CarryOutHold(aRunner, wanted);
          return OrderOutcome::Applied;
        },
        [this, aOwner, wanted = *hold, report,
         sentAt = m_now](OrderOutcome aOutcome) {
          if (aOutcome == OrderOutcome::Applied) {
            ApplyReport(aOwner->m_cell, wanted.m_runner, *report, sentAt,
                        m_now);
          } else {
            ApplyHoldFailure(aOwner->m_cell, wanted.m_runner, aOutcome, m_now);
          }
        });
  }
}

void CellWorld::StartCommit(const OwnerPtr& aOwner) {
  if (aOwner->m_commit) return;
  if (!HasCommit(aOwner->m_cell) &&
      m_now - aOwner->m_lastCommitSentAt < kBeat) {
    return;
  }
  aOwner->m_commit = TakeCommit(aOwner->m_cell, 10, m_now);
  aOwner->m_commitSentAt = m_now;
  After(milliseconds(Between(5, 40)), [this, aOwner] { FinishCommit(aOwner); });
}

void CellWorld::FinishCommit(const OwnerPtr& aOwner) {
  if (m_storeAway) {
    // Sent again, unchanged, until its outcome is known.
    After(milliseconds(100), [this, aOwner] {
      if (!aOwner->m_frozen) aOwner->m_commitSentAt = m_now;
      FinishCommit(aOwner);
    });
    return;
  }
  if (aOwner != m_owners.back()) {
    Deliver(aOwner, [aOwner] { aOwner->m_ended = true; });
    return;
  }
  const Commit& commit = *aOwner->m_commit;
  for (const JobWrite& write : commit.m_writes) {
    if (write.m_spec) m_specs[write.m_job] = *write.m_spec;
    m_states[write.m_job] = write.m_state;
  }
  m_silent = commit.m_silent;
  aOwner->m_rowVersion = ++m_version;
  m_rowChangedAt = m_now;
  Deliver(aOwner, [this, aOwner] {
    aOwner->m_lastCommitSentAt = aOwner->m_commitSentAt;
    aOwner->m_cell.m_newestFence = FencingToken(aOwner->m_rowVersion);
    ApplyCommitted(aOwner->m_cell, *aOwner->m_commit, m_now);
    aOwner->m_commit.reset();
  });
}

std::vector<std::string> CellWorld::Unfinished() const {
  std::vector<std::string> unfinished;
  for (const auto& [id, spec] : m_submitted) {
    const auto state = m_states.find(id);
    const bool failed =
        state != m_states.end() && state->second.m_phase == JobPhase::Failed;
    const bool completed =
        state != m_states.end() && state->second.m_phase == JobPhase::Completed;
    if (spec.m_steps[0].m_longRunning) {
      size_t running = 0;
      for (const WorldRunner& runner : m_runners) {
        for (const auto& [key, run] : runner.m_runs) {
          if (key.m_job == id) ++running;
        }
      }
      if (running == spec.m_steps[0].m_count) continue;
    } else if (m_hopeless.count(id) > 0 ? failed : completed) {
      continue;
    }
    unfinished.push_back(fmt::format("job {}", id.Value()));
  }
  return unfinished;
}

}  // namespace bronze::sched
