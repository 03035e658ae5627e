/**
 * @file confdist_test.cpp Acceptance and distribution of the configuration.
 */

#include "core/confdist/confdist_cmd.h"

#include <boost/test/unit_test.hpp>

namespace bronze {

namespace {

const std::vector<Member> kMembers = {{VmId("e1"), Incarnation(1), {}},
                                      {VmId("e2"), Incarnation(1), {}},
                                      {VmId("e3"), Incarnation(1), {}}};

template <class T>
size_t CountOf(const ConfdistEffects& aEffects) {
  size_t count = 0;
  for (const auto& effect : aEffects) {
    if (std::holds_alternative<T>(effect)) ++count;
  }
  return count;
}

template <class T>
const T* FirstOf(const ConfdistEffects& aEffects) {
  for (const auto& effect : aEffects) {
    if (const T* found = std::get_if<T>(&effect)) return found;
  }
  return nullptr;
}

/** Member e1 of three, without a configuration yet. */
struct Fixture {
  Fixture() {
    m_state.m_self = VmId("e1");
    m_state.m_incarnation = Incarnation(1);
    Start();
  }

  void Start() {
    ConfdistEffects effects;
    SetConfigMembers(m_state, kMembers, m_now, effects);
  }

  ConfdistEffects DeliverHeartbeat(const char* aVm, uint64_t aInForce,
                                   uint64_t aHeld, bool aCurrent = true,
                                   uint64_t aIncarnation = 1) {
    Heartbeat heartbeat;
    heartbeat.m_configInForce = ConfigVersion(aInForce);
    heartbeat.m_configHeld = ConfigVersion(aHeld);
    heartbeat.m_configCurrent = aCurrent;
    ConfdistEffects effects;
    ConfigHeartbeat(m_state,
                    {VmId(aVm), Incarnation(aIncarnation), Epoch(1), heartbeat},
                    m_now, m_counters, effects);
    return effects;
  }

  ConfdistEffects DeliverText(uint64_t aVersion) {
    ConfdistEffects effects;
    ConfigReceived(m_state, ConfigVersion(aVersion), "text", m_now, effects);
    return effects;
  }

  ConfdistEffects DeliverHead(uint64_t aVersion) {
    ConfdistEffects effects;
    ConfigHeadRead(m_state, ConfigVersion(aVersion), m_now, effects);
    return effects;
  }

  ConfdistEffects Tick() {
    ConfdistEffects effects;
    TickConfdist(m_state, m_now, m_counters, effects);
    return effects;
  }

  ConfdistState m_state;
  Counters m_counters;
  TimePoint m_now{seconds(100)};
};

}  // namespace

// Guards against a version in force that could be lost in a restart, because
// less than a majority holds it.
BOOST_FIXTURE_TEST_CASE(VersionIsInForceOnceAMajorityHoldsIt, Fixture) {
  BOOST_TEST(CountOf<ApplyConfig>(DeliverText(2)) == 0U);
  BOOST_TEST(CountOf<ApplyConfig>(DeliverHeartbeat("e2", 1, 2)) == 1U);
  BOOST_TEST((m_state.m_inForce == ConfigVersion(2)));
}

// Guards against a late message that puts an earlier version in force again.
BOOST_FIXTURE_TEST_CASE(VersionNeverDecreases, Fixture) {
  DeliverHeartbeat("e2", 3, 3);
  DeliverText(3);
  BOOST_TEST(DeliverText(2).empty());
  DeliverHead(1);
  DeliverHeartbeat("e2", 1, 1);
  DeliverHeartbeat("e3", 1, 1);
  BOOST_TEST((m_state.m_inForce == ConfigVersion(3)));
}

// Guards against an operator's call that waits for a member that is down, or
// that is answered before a majority has the version in force.
BOOST_FIXTURE_TEST_CASE(OperatorIsAnsweredByMajorityOrAfterOneSecond, Fixture) {
  ConfdistEffects effects;
  ConfigCommitted(m_state, OperatorCallId(7), ConfigVersion(2), "text", m_now,
                  m_counters, effects);
  BOOST_TEST(CountOf<PushConfig>(effects) == 2U);
  BOOST_TEST(CountOf<AnswerOperator>(effects) == 0U);
  BOOST_TEST(CountOf<AnswerOperator>(DeliverHeartbeat("e2", 1, 2)) == 0U);
  const auto answered = DeliverHeartbeat("e2", 2, 2);
  BOOST_REQUIRE(FirstOf<AnswerOperator>(answered) != nullptr);
  BOOST_TEST(FirstOf<AnswerOperator>(answered)->m_inForce == 2U);
  effects.clear();
  ConfigCommitted(m_state, OperatorCallId(8), ConfigVersion(3), "text", m_now,
                  m_counters, effects);
  m_now += seconds(1);
  const auto late = Tick();
  BOOST_REQUIRE(FirstOf<AnswerOperator>(late) != nullptr);
  BOOST_TEST(FirstOf<AnswerOperator>(late)->m_inForce == 0U);
  BOOST_TEST(FirstOf<AnswerOperator>(late)->m_members == 3U);
}

// Guards against a daemon that restarts during an outage of the table and
// serves with an earlier version.
BOOST_FIXTURE_TEST_CASE(RestartedDaemonWaitsForAMajority, Fixture) {
  m_state.m_incarnation = Incarnation(2);
  Start();
  BOOST_TEST(CountOf<ConfigReady>(DeliverHeartbeat("e2", 1, 1)) == 0U);
  BOOST_TEST(CountOf<ConfigReady>(DeliverText(1)) == 0U);
  // e3 holds version 2, which may already be in force elsewhere.
  BOOST_TEST(CountOf<ConfigReady>(DeliverHeartbeat("e3", 1, 2)) == 0U);
  BOOST_TEST(CountOf<ConfigReady>(DeliverText(2)) == 0U);
  BOOST_TEST(CountOf<ConfigReady>(DeliverHeartbeat("e2", 1, 2)) == 1U);
  BOOST_TEST((m_state.m_inForce == ConfigVersion(2)));
}

// Guards against daemons that restarted at the same time and make each other
// ready with an earlier version.
BOOST_FIXTURE_TEST_CASE(RestartedPeersDoNotCountTowardsReadiness, Fixture) {
  m_state.m_incarnation = Incarnation(2);
  Start();
  DeliverText(1);
  BOOST_TEST(CountOf<ConfigReady>(DeliverHeartbeat("e2", 1, 1, true, 2)) == 0U);
  BOOST_TEST(CountOf<ConfigReady>(DeliverHeartbeat("e3", 1, 1, false)) == 0U);
  BOOST_TEST(!m_state.m_ready);
}

// Guards against a daemon that has read config/head and serves before that
// version is in force.
BOOST_FIXTURE_TEST_CASE(TableMakesReadyOnceItsHeadIsInForce, Fixture) {
  const auto read = DeliverHead(4);
  BOOST_REQUIRE(FirstOf<ReadConfigRow>(read) != nullptr);
  BOOST_TEST((FirstOf<ReadConfigRow>(read)->m_version == ConfigVersion(4)));
  BOOST_TEST(!IsConfigCurrent(m_state));
  BOOST_TEST(CountOf<ConfigReady>(DeliverText(4)) == 0U);
  BOOST_TEST(IsConfigCurrent(m_state));
  // The lease rows show which versions unreachable peers hold.
  BOOST_TEST(CountOf<ReadLeaseRows>(Tick()) == 1U);
  LeaseRow row;
  row.m_vm = VmId("e3");
  row.m_incarnation = Incarnation(1);
  row.m_configHeld = ConfigVersion(4);
  ConfdistEffects effects;
  ConfigLeaseRow(m_state, row, m_now, effects);
  BOOST_TEST(CountOf<ConfigReady>(effects) == 1U);
}

// Guards against a lost push: a higher version in a heartbeat must be pulled.
BOOST_FIXTURE_TEST_CASE(HigherVersionIsPulledUntilItArrives, Fixture) {
  const auto effects = DeliverHeartbeat("e2", 5, 5);
  BOOST_REQUIRE(FirstOf<PullConfig>(effects) != nullptr);
  BOOST_TEST((FirstOf<PullConfig>(effects)->m_from == VmId("e2")));
  BOOST_TEST(CountOf<PullConfig>(Tick()) == 0U);
  m_now += seconds(1);
  BOOST_TEST(CountOf<PullConfig>(Tick()) == 1U);
  BOOST_TEST(ConfigStatuses(m_state, m_now).size() == 2U);
}

}  // namespace bronze
