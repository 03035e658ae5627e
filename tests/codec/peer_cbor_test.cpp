/**
 * @file peer_cbor_test.cpp Encodes and decodes messages between daemons.
 */

#include <boost/test/unit_test.hpp>
#include <random>

#include "codec/bounded_json.h"
#include "codec/peer_cbor.h"

namespace bronze {

namespace {

PeerMessage SampleHeartbeat() {
  Heartbeat beat;
  beat.m_sequence = HeartbeatSequence(12345);
  beat.m_echo = HeartbeatSequence(12344);
  beat.m_echoOf = Incarnation(77);
  beat.m_configInForce = ConfigVersion(9);
  beat.m_configHeld = ConfigVersion(10);
  beat.m_configCurrent = true;
  beat.m_suspects = {VmId("entry-7")};
  beat.m_racks = {{RackId("rack-1"),
                   {Millicores(60'000), Mebibytes(250'000), Accelerators(4)},
                   {Millicores(8'000), Mebibytes(9'000), Accelerators(1)}}};
  return {VmId("entry-1"), Incarnation(3), Epoch(42), beat};
}

PeerMessage SampleOffers() {
  TaskOffer offer;
  offer.m_task = {JobId(5), 6};
  offer.m_team = TeamId("team-1");
  offer.m_kind = KindId("season");
  offer.m_priority = -3;
  offer.m_urgent = true;
  offer.m_token = FencingToken(2);
  offer.m_waited = milliseconds(1500);
  offer.m_measured.m_memory = Mebibytes(77);
  offer.m_attempts = 2;
  offer.m_failedOn = WorkerId("worker-9");
  offer.m_share = 0.25;
  return {VmId("entry-2"), Incarnation(1), Epoch(1),
          TaskOffers{RackId("rack-1"), {offer, offer}}};
}

}  // namespace

// Guards against a member that is only encoded or only decoded.
BOOST_AUTO_TEST_CASE(MessagesSurviveARoundTrip) {
  for (const PeerMessage& sent : {SampleHeartbeat(), SampleOffers()}) {
    const std::string bytes = EncodePeerMessage(sent);
    const auto received = DecodePeerMessage(bytes);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(EncodePeerMessage(received.value()) == bytes);
    BOOST_TEST((received.value().m_from == sent.m_from));
    BOOST_TEST((received.value().m_epoch == sent.m_epoch));
  }
  const auto offers = DecodePeerMessage(EncodePeerMessage(SampleOffers()));
  const auto& offer =
      std::get<TaskOffers>(offers.value().m_body).m_offers.at(1);
  BOOST_TEST(offer.m_priority == -3);
  BOOST_TEST(offer.m_urgent);
  BOOST_TEST((offer.m_waited == Duration(milliseconds(1500))));
  BOOST_TEST((offer.m_task == TaskId{JobId(5), 6}));
  BOOST_TEST((offer.m_measured.m_memory == Mebibytes(77)));
  BOOST_TEST(offer.m_attempts == 2);
  BOOST_TEST((offer.m_failedOn == WorkerId("worker-9")));
  BOOST_TEST(offer.m_share == 0.25);
  const auto received = DecodePeerMessage(EncodePeerMessage(SampleHeartbeat()));
  const auto& beat = std::get<Heartbeat>(received.value().m_body);
  BOOST_TEST((beat.m_configHeld == ConfigVersion(10)));
  BOOST_TEST(beat.m_configCurrent);
}

// Guards against heartbeats that exceed the bandwidth budget of 11 KB/s: with
// one per second to each of 26 peers, 420 bytes are left for each.
BOOST_AUTO_TEST_CASE(HeartbeatIsSmall) {
  BOOST_TEST(EncodePeerMessage(SampleHeartbeat()).size() < 200u);
}

// Guards against a crash on damaged input, and against accepting a truncated
// message.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreRefused) {
  const std::string whole = EncodePeerMessage(SampleOffers());
  for (size_t size = 0; size < whole.size(); ++size) {
    const auto cut = DecodePeerMessage(whole.substr(0, size));
    BOOST_TEST(!cut.has_value());
  }
  std::minstd_rand random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = whole;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    const auto result = DecodePeerMessage(damaged);
    if (result.has_value()) continue;
    BOOST_TEST((result.error().m_kind == ErrorKind::PeerMalformed));
  }
}

// Guards against a stack overflow caused by deeply nested input, which needs
// only one byte per level.
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  const std::string cbor(1'000'000, '\x81');
  BOOST_TEST(!DecodePeerMessage(cbor).has_value());
  const std::string text(1'000'000, '[');
  BOOST_TEST(!ParseBoundedJson(text).has_value());
}

// Guards against decoding a number that is no enumerator.
BOOST_AUTO_TEST_CASE(UnknownEnumeratorsAreRefused) {
  const PeerMessage message{VmId("a"), {}, {}, KeyAnswer{}};
  std::string bytes = EncodePeerMessage(message);
  BOOST_REQUIRE_EQUAL(bytes.back(), static_cast<char>(KeyState::InDoubt));
  bytes.back() = 9;
  BOOST_TEST(!DecodePeerMessage(bytes).has_value());
}

}  // namespace bronze
