/**
 * @file coordination_bench.cpp Cost of assigning units, checking authority and
 *                              sending heartbeats.
 */

#include <benchmark/benchmark.h>

#include "core/membership/membership_cmd.h"
#include "core/ownership/ownership_cmd.h"
#include "core/ownership/ownership_func.h"

namespace bronze {

namespace {

std::vector<Member> MakeMembers(int64_t aCount) {
  std::vector<Member> members;
  for (int64_t i = 0; i < aCount; ++i) {
    members.push_back({VmId(std::string("e").append(std::to_string(100 + i))),
                       Incarnation(1),
                       {}});
  }
  return members;
}

void BenchAssignUnits(benchmark::State& aState) {
  const auto members = MakeMembers(aState.range(0));
  for (auto _ : aState) benchmark::DoNotOptimize(AssignUnits(members));
}

void BenchMayAct(benchmark::State& aState) {
  OwnershipState state;
  state.m_self = VmId("e100");
  state.m_incarnation = Incarnation(1);
  Counters counters;
  OwnershipEffects effects;
  const TimePoint now{seconds(100)};
  const EpochRow row{Epoch(1), MakeMembers(aState.range(0)), {}, {}};
  AdoptEpoch(state, row, now, counters, effects);
  CommitAcknowledged(state, Epoch(1), now, now);
  const UnitId unit = state.m_units.begin()->first;
  for (auto _ : aState) benchmark::DoNotOptimize(MayAct(state, unit, now));
}

void BenchSendHeartbeats(benchmark::State& aState) {
  MembershipState state;
  state.m_self = VmId("e100");
  state.m_incarnation = Incarnation(1);
  Counters counters;
  std::vector<VmInfo> list;
  for (const Member& member : MakeMembers(aState.range(0))) {
    VmInfo vm;
    vm.m_id = member.m_vm.Value();
    vm.m_role = VmRole::Entry;
    list.push_back(vm);
  }
  MembershipEffects effects;
  ApplyVmList(state, list, TimePoint(seconds(100)), effects);
  for (auto _ : aState) {
    effects.clear();
    benchmark::DoNotOptimize(SendHeartbeats(state, {}, counters, effects));
  }
}

BENCHMARK(BenchAssignUnits)->Arg(9)->Arg(27);
BENCHMARK(BenchMayAct)->Arg(9)->Arg(27);
BENCHMARK(BenchSendHeartbeats)->Arg(9)->Arg(27);

}  // namespace

}  // namespace bronze

BENCHMARK_MAIN();
