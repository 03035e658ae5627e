/**
 * @file lease_example.cpp The ownership of a unit moves between daemons.
 */

#include <fmt/core.h>

#include "core/ownership/ownership_cmd.h"
#include "core/ownership/ownership_func.h"

int main() {
  using namespace bronze;  // NOLINT(google-build-using-namespace)
  Counters counters;
  OwnershipEffects effects;
  TimePoint now{seconds(1)};
  const Member a{VmId("a"), Incarnation(1), {}};
  const Member b{VmId("b"), Incarnation(1), {}};
  const Member c{VmId("c"), Incarnation(1), {}};
  const std::vector<Member> before = {a, b, c};
  const std::vector<Member> after = {b, c};
  // Finds a runner whose unit moves from a to b.
  int number = 0;
  RunnerId runner("r0");
  while (OwnerIn(AssignUnits(before), RunnerUnit(runner)) != a.m_vm ||
         OwnerIn(AssignUnits(after), RunnerUnit(runner)) != b.m_vm) {
    runner = RunnerId(std::string("r").append(std::to_string(++number)));
  }
  OwnershipState successor;
  successor.m_self = b.m_vm;
  successor.m_incarnation = b.m_incarnation;
  SetListedUnits(successor, {runner}, {}, effects);

  // Epoch 2 without a: b gains the runner, but a may still act in epoch 1.
  const EpochRow row{Epoch(2), after, {}, {{Epoch(1), before, {}}}};
  AdoptEpoch(successor, row, now, counters, effects);
  // c has adopted epoch 2 as well, so a no longer has a majority in epoch 1.
  const PeerMessage fromC{c.m_vm, c.m_incarnation, Epoch(2), Heartbeat{}};
  HeartbeatReceived(successor, fromC, now);
  CommitAcknowledged(successor, Epoch(2), now, now);
  const UnitId unit = RunnerUnit(runner);
  int waited = 0;
  while (!MayAct(successor, unit, now)) {
    if (waited > 10000) return 1;
    waited += 100;
    now += milliseconds(100);
    CommitAcknowledged(successor, Epoch(2), now, now);
    TickOwnership(successor, now, counters, effects);
  }
  fmt::print("b acts for {} after {} ms\n", UnitName(unit), waited);

  // Without further commits the authority of b ends.
  now += seconds(5);
  fmt::print("5 s after its last commit b {} act\n",
             MayAct(successor, unit, now) ? "may" : "may not");
  return MayAct(successor, unit, now) ? 1 : 0;
}
