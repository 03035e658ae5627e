/**
 * @file confdist_example.cpp A configuration version is accepted, pushed to
 *                            a peer and put in force.
 */

#include <fmt/core.h>

#include "core/confdist/confdist_cmd.h"

int main() {
  using namespace bronze;  // NOLINT(google-build-using-namespace)
  Counters counters;
  ConfdistEffects effects;
  TimePoint now{seconds(1)};
  const std::vector<Member> members = {{VmId("a"), Incarnation(1), {}},
                                       {VmId("b"), Incarnation(1), {}}};
  ConfdistState a;
  a.m_self = VmId("a");
  a.m_incarnation = Incarnation(1);
  SetConfigMembers(a, members, now, effects);
  ConfigHeadRead(a, ConfigVersion(), now, effects);  // No configuration yet.

  ConfigCommitted(a, OperatorCallId(1), ConfigVersion(1), "settings", now,
                  counters, effects);
  // The program would send the push; b reports in a heartbeat that it has it.
  Heartbeat heartbeat;
  heartbeat.m_configHeld = ConfigVersion(1);
  PeerMessage message{VmId("b"), Incarnation(1), Epoch(1), heartbeat};
  ConfigHeartbeat(a, message, now, counters, effects);
  fmt::print("in force at a: version {}\n", a.m_inForce.Value());

  effects.clear();
  std::get<Heartbeat>(message.m_body).m_configInForce = ConfigVersion(1);
  ConfigHeartbeat(a, message, now, counters, effects);
  for (const ConfdistEffect& effect : effects) {
    if (const auto* answer = std::get_if<AnswerOperator>(&effect)) {
      fmt::print("operator: version {} in force on {} of {}\n",
                 answer->m_version.Value(), answer->m_inForce,
                 answer->m_members);
      return 0;
    }
  }
  return 1;
}
