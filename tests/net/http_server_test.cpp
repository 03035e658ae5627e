/**
 * @file http_server_test.cpp Replies of the HTTP server as a client sees them.
 */

#include <boost/test/unit_test.hpp>

#include "net/http_client.h"
#include "net/http_server.h"

namespace bronze {

namespace {

constexpr size_t kIdlePerAddress = 2;
constexpr size_t kMaxAnswerBytes = 1 << 20;

/** A server on a port chosen by the kernel, and a client of it. */
struct Fixture {
  explicit Fixture(HttpHandler aHandler)
      : m_server(m_threads, {}, m_counters, std::move(aHandler)),
        m_client(m_context, {kIdlePerAddress, kMaxAnswerBytes}) {
    m_address =
        m_server.Listen({boost::asio::ip::address_v4::loopback(), 0}).value();
  }
  ~Fixture() { m_threads.Stop(); }

  CallOutcome Call() {
    CallOutcome outcome;
    m_client.Call(m_address, {"GET", "/", {}, {}, {}}, seconds(30),
                  [&outcome](CallOutcome aOutcome) { outcome = aOutcome; });
    m_context.restart();
    m_context.run();
    return outcome;
  }

  ThreadPool m_threads{1};
  Counters m_counters;
  boost::asio::io_context m_context;
  HttpServer m_server;
  HttpClient m_client;
  boost::asio::ip::tcp::endpoint m_address;
};

}  // namespace

// Guards against a client that takes a truncated reply for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedReplyIsDetected) {
  Fixture fixture([](size_t, HttpCall, auto aResponder) {
    HttpReply reply;
    reply.m_body = "0123456789";
    reply.m_truncateAfter = 4;
    aResponder->Reply(reply);
  });
  const CallOutcome outcome = fixture.Call();
  BOOST_TEST((outcome.m_stage == CallStage::PartlyRead));
  BOOST_TEST(!outcome.m_timedOut);
  BOOST_TEST(outcome.m_error != "");
}

// Guards against complete replies that close the connection, as truncated ones
// must.
BOOST_AUTO_TEST_CASE(CompleteReplyKeepsTheConnection) {
  Fixture fixture([](size_t, HttpCall, auto aResponder) {
    HttpReply reply;
    reply.m_body = "0123456789";
    aResponder->Reply(reply);
  });
  for (const bool reused : {false, true}) {
    const CallOutcome outcome = fixture.Call();
    BOOST_TEST((outcome.m_stage == CallStage::CompleteReply));
    BOOST_TEST(outcome.m_reply.m_body == "0123456789");
    BOOST_TEST(outcome.m_reused == reused);
  }
}

}  // namespace bronze
