/**
 * @file traffic_test.cpp Which connections are closed first, and how much they
 * may hold.
 */

#include <boost/test/unit_test.hpp>

#include "core/overload/traffic_func.h"

namespace bronze {

namespace {

ConnectionUse Use(uint64_t aId, const std::string& aClient,
                  ConnectionStage aStage, int64_t aBytes = 0) {
  return {ConnectionId(aId), ClientAddress(aClient), aStage, ByteCount(aBytes),
          ActivityNumber(aId)};
}

std::vector<uint64_t> Values(const std::vector<ConnectionId>& aIds) {
  std::vector<uint64_t> values;
  values.reserve(aIds.size());
  for (const ConnectionId id : aIds) values.push_back(id.Value());
  return values;
}

using Ids = std::vector<uint64_t>;
constexpr int64_t kMebibyte = int64_t{1} << 20;

}  // namespace

BOOST_AUTO_TEST_SUITE(traffic)

// What connections may hold has to leave the rest of the memory to the state of
// the process.
BOOST_AUTO_TEST_CASE(SumOfAllBoundsStaysBelowTheLimits) {
  for (const int64_t memory : {64, 96, 160, 260, 512}) {
    for (const size_t descriptors : {400, 1024, 4100, 8192}) {
      const TrafficLimits limits =
          TrafficLimitsOf({Mebibytes(memory), descriptors});
      size_t connections = 0;
      for (const size_t count : limits.m_connections) connections += count;
      BOOST_TEST(limits.m_callBytes.Value() + limits.m_replyBytes.Value() +
                     static_cast<int64_t>(connections) * 8192 <=
                 memory * kMebibyte * 9 / 16 + kMebibyte / 2);
      BOOST_TEST(connections * 9 / 8 < descriptors - 200);
    }
  }
}

// Ordinary deployments must not meet the bounds.
BOOST_AUTO_TEST_CASE(SmallestVmOfThePlatform) {
  const TrafficLimits limits = TrafficLimitsOf(ProcessLimits());
  BOOST_TEST(limits.m_callBytes.Value() == 40 * kMebibyte);
  BOOST_TEST(limits.m_replyBytes.Value() == 20 * kMebibyte);
  BOOST_TEST(limits.m_connections[0] == 1462U);
  BOOST_TEST(limits.m_connections[1] == 975U);
  BOOST_TEST(limits.m_connections[2] == 32U);
}

// A machine with few descriptors still serves each role.
BOOST_AUTO_TEST_CASE(EachRoleHasRoom) {
  for (const size_t count : TrafficLimitsOf({Mebibytes(1), 10}).m_connections) {
    BOOST_TEST(count >= 1U);
  }
}

// An ordinary call was closed although a large unfinished one held the memory.
BOOST_AUTO_TEST_CASE(LargestUnfinishedGoesFirst) {
  const std::vector<ConnectionUse> uses = {
      Use(1, "a", ConnectionStage::Reading, 2000),
      Use(2, "a", ConnectionStage::Reading, 900'000),
      Use(3, "a", ConnectionStage::InProgress, 990'000),
      Use(4, "b", ConnectionStage::Replying, 950'000),
      Use(5, "b", ConnectionStage::Reading, 20'000)};
  BOOST_TEST(Values(ChooseForBytes(uses, ByteCount(1))) == Ids({4}));
  BOOST_TEST(Values(ChooseForBytes(uses, ByteCount(1'000'000))) == Ids({4, 2}));
  // A complete call may run, and an ordinary one frees nothing.
  BOOST_TEST(Values(ChooseForBytes(uses, ByteCount(9'000'000))) ==
             Ids({4, 2, 5}));
  BOOST_TEST(ChooseForBytes(uses, ByteCount()).empty());
}

// One address must not keep others from connecting.
BOOST_AUTO_TEST_CASE(AddressWithMostConnectionsGoesFirst) {
  const std::vector<ConnectionUse> uses = {
      Use(1, "ordinary", ConnectionStage::Idle),
      Use(2, "crowd", ConnectionStage::Idle),
      Use(3, "crowd", ConnectionStage::Reading),
      Use(4, "crowd", ConnectionStage::InProgress),
      Use(5, "ordinary", ConnectionStage::InProgress)};
  BOOST_TEST(Values(ChooseForRoom(uses, 1)) == Ids({2}));
  // With two connections each, the one without progress for longest goes.
  BOOST_TEST(Values(ChooseForRoom(uses, 2)) == Ids({2, 1}));
  // Complete calls stay.
  BOOST_TEST(Values(ChooseForRoom(uses, 9)) == Ids({2, 1, 3}));
}

// A new connection was refused although idle ones held all the room.
BOOST_AUTO_TEST_CASE(OldestIdleConnectionGoes) {
  const std::vector<ConnectionUse> uses = {Use(7, "a", ConnectionStage::Idle),
                                           Use(3, "a", ConnectionStage::Idle),
                                           Use(5, "a", ConnectionStage::Idle)};
  BOOST_TEST(Values(ChooseForRoom(uses, 2)) == Ids({3, 5}));
}

// Large replies of one server must not keep the small ones of others away.
BOOST_AUTO_TEST_CASE(LargeReplyEndsBeyondTheTotal) {
  const ByteCount limit(8'000'000);
  BOOST_TEST(
      MayHoldReply(ByteCount(4'000'000), ByteCount(8'000'000), 2, limit));
  BOOST_TEST(
      !MayHoldReply(ByteCount(4'000'000), ByteCount(8'000'001), 4, limit));
  BOOST_TEST(MayHoldReply(ByteCount(9000), ByteCount(9'000'000), 400, limit));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
