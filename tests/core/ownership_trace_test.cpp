/**
 * @file ownership_trace_test.cpp Replays counterexamples of spec/ownership.pml.
 *
 * Each file spec/traces/ownership-* is a counterexample that the model checker
 * finds when one rule is removed from the model: it ends with two members that
 * act for the unit at the same time. The test replays the events in the core,
 * which must not reach that state. The files are written by
 * `scripts/verify-models --traces spec/traces`.
 */

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/ownership/ownership_cmd.h"
#include "core/ownership/ownership_func.h"

namespace bronze {

namespace {

/** One tick of the model, in which LEASE is 2 ticks and CONF is 1 tick. Clock
 * drift and margin are zero, as in the model. */
constexpr Duration kTick = seconds(4);
const EpochTimes kTimes = {2 * kTick, kTick};

const std::array<VmId, 3> kVms = {VmId("e1"), VmId("e2"), VmId("e3")};

Member MakeMember(size_t aIndex) { return {kVms[aIndex], Incarnation(1), {}}; }

/** The member lists of the model's epochs 1 to 3. */
std::vector<Member> MembersOf(uint64_t aEpoch) {
  switch (aEpoch) {
    case 1:
      return {MakeMember(0), MakeMember(1), MakeMember(2)};
    case 2:
      return {MakeMember(1), MakeMember(2)};
    default:
      return {MakeMember(2)};
  }
}

/** A runner that the members 0, 1 and 2 own in the epochs 1, 2 and 3. */
RunnerId FindRunner() {
  for (int i = 0; i < 1000; ++i) {
    RunnerId runner(std::string("r").append(std::to_string(i)));
    bool fits = true;
    for (size_t epoch = 1; epoch <= 3; ++epoch) {
      const auto assignment = AssignUnits(MembersOf(epoch));
      fits = fits && OwnerIn(assignment, RunnerUnit(runner)) == kVms[epoch - 1];
    }
    if (fits) return runner;
  }
  BOOST_FAIL("no runner has the owners of the model");
  return {};
}

struct Replay {
  Replay() : m_runner(FindRunner()), m_unit(RunnerUnit(m_runner)) {
    for (size_t i = 0; i < 3; ++i) {
      Restart(i, 1);
      Adopt(i, 1);
    }
  }

  void Restart(size_t aIndex, uint64_t aIncarnation) {
    OwnershipState& state = m_states[aIndex];
    state = OwnershipState();
    state.m_self = kVms[aIndex];
    state.m_incarnation = Incarnation(aIncarnation);
    state.m_settings.m_clockMargin = Duration::zero();
    state.m_settings.m_clockDriftPercent = 0;
    OwnershipEffects effects;
    SetListedUnits(state, {m_runner}, {}, effects);
  }

  [[nodiscard]] EpochRow RowOf(uint64_t aEpoch) const {
    EpochRow row{Epoch(aEpoch), MembersOf(aEpoch), kTimes, {}};
    for (uint64_t earlier = 1; earlier < aEpoch; ++earlier) {
      if (earlier == 1 && aEpoch == 3 && !m_listsFirst) continue;
      row.m_unsettled.push_back({Epoch(earlier), MembersOf(earlier), kTimes});
    }
    return row;
  }

  void Adopt(size_t aIndex, uint64_t aEpoch) {
    OwnershipEffects effects;
    AdoptEpoch(m_states[aIndex], RowOf(aEpoch), m_now, m_counters, effects);
  }

  /** A heartbeat from aFrom to aTo that echoes the last one of aTo. */
  [[nodiscard]] PeerMessage HeartbeatOf(size_t aFrom, size_t aTo) {
    Heartbeat heartbeat;
    heartbeat.m_sequence = HeartbeatSequence(++m_sequence);
    heartbeat.m_echo = m_lastSent[aTo];
    heartbeat.m_echoIncarnation = m_states[aTo].m_incarnation;
    const OwnershipState& from = m_states[aFrom];
    return {from.m_self, from.m_incarnation, from.m_row.m_epoch, heartbeat};
  }

  void Apply(const std::string& aLine) {
    std::istringstream words(aLine);
    std::string event;
    size_t first = 0;
    size_t second = 0;
    words >> event >> first >> second;
    if (event == "tick") {
      m_now += kTick;
    } else if (event == "propose") {
      m_tableEpoch = first;
      // The row lists the epochs that are not settled for the proposer.
      m_listsFirst = second == 1;
    } else if (event == "adopt") {
      Adopt(first, second);
    } else if (event == "renew") {
      m_renewSent = m_now;
      m_renewEpoch = m_states[first].m_row.m_epoch;
      m_committed = false;
    } else if (event == "commit") {
      // The table checks the epoch row.
      m_committed = m_renewEpoch == Epoch(m_tableEpoch);
    } else if (event == "ack") {
      if (!m_committed) return;
      CommitAcknowledged(m_states[first], m_renewEpoch, m_renewSent, m_now);
    } else if (event == "heartbeat") {
      m_lastSent[first] = HeartbeatSequence(++m_sequence);
      HeartbeatsSent(m_states[first], m_lastSent[first], m_now);
    } else if (event == "echo") {
      m_echo = HeartbeatOf(second, first);
    } else if (event == "confirm") {
      HeartbeatReceived(m_states[first], m_echo, m_now);
    } else if (event == "hear") {
      for (size_t peer = 0; peer < 3; ++peer) {
        if (peer == first) continue;
        HeartbeatReceived(m_states[first], HeartbeatOf(peer, first), m_now);
      }
    } else if (event == "restart") {
      Restart(first, 2);
      Adopt(first, 1);  // A peer still in epoch 1 sends it that epoch's row.
    } else if (event == "give_up") {
      OwnershipEffects effects;
      ReleaseAll(m_states[first], m_now, m_counters, effects);
    } else if (event == "take") {
      // The model reads releases in this step; here the lease rows contain
      // them.
      for (size_t peer = 0; peer < 3; ++peer) {
        if (peer == first) continue;
        LeaseRowRead(m_states[first], MakeLeaseRow(m_states[peer], {}, {}),
                     m_now);
      }
      OwnershipEffects effects;
      TickOwnership(m_states[first], m_now, m_counters, effects);
    } else if (event != "violated") {
      BOOST_FAIL("unknown event " + event);
    }
  }

  [[nodiscard]] size_t Owners() const {
    size_t owners = 0;
    for (const OwnershipState& state : m_states) {
      // As in the model, member 2 counts without regard to its authority.
      const auto found = state.m_units.find(m_unit);
      const bool last = state.m_self == kVms[2] &&
                        found != state.m_units.end() &&
                        found->second == UnitState::Acting;
      if (last || MayAct(state, m_unit, m_now)) ++owners;
    }
    return owners;
  }

  RunnerId m_runner;
  UnitId m_unit;
  std::array<OwnershipState, 3> m_states;
  std::array<HeartbeatSequence, 3> m_lastSent;
  uint64_t m_sequence = 0;
  uint64_t m_tableEpoch = 1;
  bool m_listsFirst = true;
  bool m_committed = false;
  TimePoint m_renewSent;
  Epoch m_renewEpoch;
  PeerMessage m_echo;
  TimePoint m_now{seconds(1000)};
  Counters m_counters;
};

}  // namespace

// Guards against a core that violates a rule of ownership: the traces show the
// fault that follows when the rule is removed from the model.
BOOST_AUTO_TEST_CASE(TracesOfMutatedModelsDoNotHappenInTheCore) {
  size_t replayed = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(BRONZE_TRACE_FOLDER)) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with("ownership-")) continue;
    ++replayed;
    Replay replay;
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);) {
      replay.Apply(line);
      BOOST_TEST(replay.Owners() <= 1U, name << " at " << line);
    }
    // Exactly one owner is left, so the rule took effect in this trace.
    BOOST_TEST(replay.Owners() == 1U, name << " ends without an owner");
  }
  BOOST_TEST(replayed >= 7U);
}

}  // namespace bronze
