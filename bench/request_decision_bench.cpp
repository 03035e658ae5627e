/**
 * @file request_decision_bench.cpp Cost of scheduling one request.
 *
 * Measures the arrival of a request including its routing, and the end of an
 * attempt, which frees a slot for a waiting request.
 */

#include <benchmark/benchmark.h>

#include <chrono>
#include <deque>

#include "core/request/request_cmd.h"
#include "measure_line.h"

namespace bronze {

namespace {

constexpr int64_t kSlotsEach = 8;

/** An entry VM to which all slots of aRunners runners are granted. */
struct EntryVm {
  EntryVm(int64_t aRunners, bool aBaseline) {
    RequestSettings& settings = m_state.m_settings;
    for (int kind = 0; kind < 3; ++kind) {
      settings.m_kinds[KindId("kind-" + std::to_string(kind))] = {};
    }
    settings.m_queueLimit = 1'000'000;
    settings.m_callerSharePercent = 100;
    settings.m_maxWindow = seconds(3600);
    if (aBaseline) {
      settings.m_queuePolicy = QueuePolicy::Fifo;
      settings.m_routePolicy = RoutePolicy::Random;
      settings.m_adaptiveConcurrency = false;
    }
    UnitOwners owners;
    owners.m_epoch = Epoch(1);
    owners.m_members = {{m_owner, Incarnation(1)}};
    for (int64_t i = 0; i < aRunners; ++i) {
      const RunnerId runner("runner-" + std::to_string(i));
      SetRunner(m_state, runner, Slots(kSlotsEach), false);
      owners.m_runners[runner] = m_owner;
    }
    SetUnitOwners(m_state, owners, m_now, m_counters, m_effects);
    SlotGrant grant;
    grant.m_sequence = GrantSequence(1);
    grant.m_demandSequence = HeartbeatSequence(1);
    for (const auto& [runner, owner] : owners.m_runners) {
      grant.m_items.push_back({runner, Slots(kSlotsEach), seconds(3600)});
    }
    TakeSlotGrant(m_state, {m_owner, Incarnation(1), Epoch(1)}, grant, m_now,
                  m_counters, m_effects);
    m_effects.clear();
  }

  void ArriveOne() {
    m_now += Duration(5);
    const uint64_t id = ++m_lastRequest;
    Arrive(m_state,
           {RequestId(id), m_kinds[id % m_kinds.size()],
            m_callers[id % m_callers.size()], IdempotencyKey(), seconds(1800)},
           m_now, m_counters, m_effects);
    CollectDispatches();
  }

  /** Ends the oldest attempt. */
  void EndOne() {
    m_now += Duration(5);
    const DispatchRequest ended = m_running.front();
    m_running.pop_front();
    EndAttempt(m_state,
               {ended.m_request, ended.m_runner, AttemptEnd::Answered,
                milliseconds(5)},
               m_now, m_counters, m_effects);
    CollectDispatches();
  }

  /** Collects the dispatched requests from the effects. */
  void CollectDispatches() {
    for (const RequestEffect& effect : m_effects) {
      const auto* dispatch = std::get_if<DispatchRequest>(&effect);
      if (dispatch != nullptr) m_running.push_back(*dispatch);
    }
    m_effects.clear();
  }

  const VmId m_owner{"entry-1"};
  std::vector<KindId> m_kinds = {KindId("kind-0"), KindId("kind-1"),
                                 KindId("kind-2")};
  std::vector<CallerId> m_callers = {CallerId("10.0.0.1"), CallerId("10.0.0.2"),
                                     CallerId("10.0.0.3"),
                                     CallerId("10.0.0.4")};
  RequestState m_state;
  Counters m_counters;
  RequestEffects m_effects;
  TimePoint m_now{seconds(100)};
  uint64_t m_lastRequest = 0;
  std::deque<DispatchRequest> m_running;
};

/**
 * @param aWaiting number of requests that wait for a slot throughout; with 0,
 *        half of the slots are free.
 * @return mean microseconds for an arrival and for the end of an attempt.
 */
std::pair<double, double> MeanCost(int64_t aRunners, size_t aWaiting,
                                   bool aBaseline, size_t aRounds) {
  EntryVm vm(aRunners, aBaseline);
  const auto slots = static_cast<size_t>(aRunners * kSlotsEach);
  const size_t open = aWaiting > 0 ? slots + aWaiting : slots / 2;
  for (size_t i = 0; i < open; ++i) vm.ArriveOne();
  std::chrono::nanoseconds arrive{};
  std::chrono::nanoseconds end{};
  for (size_t i = 0; i < aRounds; ++i) {
    const auto start = std::chrono::steady_clock::now();
    vm.ArriveOne();
    const auto middle = std::chrono::steady_clock::now();
    vm.EndOne();
    arrive += middle - start;
    end += std::chrono::steady_clock::now() - middle;
  }
  const auto rounds = static_cast<double>(aRounds) * 1000.0;
  return {static_cast<double>(arrive.count()) / rounds,
          static_cast<double>(end.count()) / rounds};
}

std::vector<Measure>& Measures() {
  static std::vector<Measure> sMeasures;
  return sMeasures;
}

void BmDecision(benchmark::State& aState) {
  constexpr size_t kRounds = 100'000;
  const int64_t runners = aState.range(0);
  const auto waiting = static_cast<size_t>(aState.range(1));
  std::pair<double, double> now;
  for (auto unused : aState) {
    now = MeanCost(runners, waiting, false, kRounds);
  }
  const auto baseline = MeanCost(runners, waiting, true, kRounds);
  aState.counters["arrive_us"] = now.first;
  aState.counters["end_us"] = now.second;
  const std::string load =
      fmt::format("{} runners, {} waiting", runners, waiting);
  Measures().push_back({"arrive + route, us, " + load,
                        fmt::format("{:.2f}", baseline.first),
                        fmt::format("{:.2f}", now.first), "< 5"});
  Measures().push_back({"end of attempt + next, us, " + load,
                        fmt::format("{:.2f}", baseline.second),
                        fmt::format("{:.2f}", now.second), "< 5"});
}

BENCHMARK(BmDecision)
    ->ArgsProduct({{50, 200, 780}, {0, 1000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace bronze

int main(int aCount, char** aValues) {
  benchmark::Initialize(&aCount, aValues);
  benchmark::RunSpecifiedBenchmarks();
  bronze::PrintMeasures(bronze::Measures());
  return 0;
}
