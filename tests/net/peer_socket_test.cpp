/**
 * @file peer_socket_test.cpp Message sockets between daemons, using nng.
 */

#include <boost/test/unit_test.hpp>

#include "net/peer_socket.h"

namespace bronze {

namespace {

const boost::asio::ip::tcp::endpoint kAnyPort(
    boost::asio::ip::address_v4::loopback(), 0);

}  // namespace

// Guards against messages that are lost or truncated between two running
// daemons.
BOOST_AUTO_TEST_CASE(MessagesArriveWholeAndInOrder) {
  constexpr size_t kMessages = 50;
  boost::asio::io_context context(1);
  std::vector<std::string> received;
  PeerListener listener(context, [&](std::string aBytes) {
    received.push_back(std::move(aBytes));
    if (received.size() == kMessages) context.stop();
  });
  const auto address = listener.Listen(kAnyPort);
  BOOST_REQUIRE(address.has_value());
  BOOST_TEST(address.value().port() != 0);
  PeerLink link(address.value());
  for (size_t i = 0; i < kMessages; ++i) {
    BOOST_REQUIRE(
        link.Send(std::string(i * 100, static_cast<char>('a' + i % 26))));
  }
  auto work = boost::asio::make_work_guard(context);
  context.run();
  for (size_t i = 0; i < kMessages; ++i) {
    BOOST_TEST(received[i].size() == i * 100);
  }
}

// Guards against a control thread that blocks while a peer is down.
BOOST_AUTO_TEST_CASE(SendToAStoppedPeerDropsInsteadOfBlocking) {
  boost::asio::io_context context(1);
  boost::asio::ip::tcp::endpoint stopped;
  {
    PeerListener listener(context, [](std::string) {});
    const auto address = listener.Listen(kAnyPort);
    BOOST_REQUIRE(address.has_value());
    stopped = address.value();
  }
  PeerLink link(stopped);
  constexpr int kMoreThanSendBuffer = 200;
  int dropped = 0;
  for (int i = 0; i < kMoreThanSendBuffer; ++i) {
    if (!link.Send("x")) ++dropped;
  }
  BOOST_TEST(dropped > 0);
}

}  // namespace bronze
