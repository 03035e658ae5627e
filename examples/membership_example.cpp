/**
 * @file membership_example.cpp Two daemons discover each other; then one stops
 *                              sending heartbeats.
 */

#include <fmt/core.h>

#include "core/membership/membership_cmd.h"
#include "core/membership/membership_func.h"

int main() {
  using namespace bronze;  // NOLINT(google-build-using-namespace)
  Counters counters;
  TimePoint now{seconds(1)};
  std::vector<VmInfo> list;
  for (const VmId& id : {VmId("a"), VmId("b")}) {
    VmInfo vm;
    vm.m_id = id.Value();
    vm.m_role = VmRole::Entry;
    list.push_back(vm);
  }
  MembershipState a;
  a.m_self = VmId("a");
  a.m_incarnation = Incarnation(1);
  MembershipState b;
  b.m_self = VmId("b");
  b.m_incarnation = Incarnation(1);
  MembershipEffects effects;
  for (MembershipState* state : {&a, &b}) {
    StartMembership(*state, now);
    ApplyVmList(*state, list, now, effects);
    AdoptEpochRow(*state, EpochRow{}, RowVersion(), counters);  // No row yet.
  }
  // b sends its heartbeats; this program delivers the one to a.
  effects.clear();
  SendHeartbeats(b, {}, counters, effects);
  const PeerMessage heartbeat = std::get<SendToPeer>(effects.at(0)).m_message;
  if (!ReceiveHeartbeat(a, heartbeat, now, counters, effects)) return 1;

  const auto first = ProposeEpoch(a, {}, now);
  if (!first || first->m_members.size() != 2) return 1;
  fmt::print("a proposes epoch 1 with {} members\n", first->m_members.size());
  AdoptEpochRow(a, *first, RowVersion(1), counters);

  for (int step = 0; step < 60; ++step) {
    now += milliseconds(100);
    TickMembership(a, now, counters, effects);
    if (const auto next = ProposeEpoch(a, {}, now)) {
      fmt::print(
          "after {} ms without heartbeats a proposes epoch 2 with {} member\n",
          (step + 1) * 100, next->m_members.size());
      return 0;
    }
  }
  return 1;
}
