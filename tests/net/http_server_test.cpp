/**
 * @file http_server_test.cpp Replies of the HTTP server as a client sees them.
 */

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>

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

  /** Sends the bytes on a new connection and reads one reply per method. A
   *  reply to HEAD has no body. @return the bodies. */
  std::vector<std::string> Exchange(const std::string& aBytes,
                                    const std::vector<std::string>& aMethods) {
    namespace http = boost::beast::http;
    boost::asio::ip::tcp::socket socket(m_context);
    socket.connect(m_address);
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    boost::beast::flat_buffer buffer;
    std::vector<std::string> bodies;
    for (const std::string& method : aMethods) {
      http::response_parser<http::string_body> parser;
      parser.skip(method == "HEAD");
      boost::beast::error_code error;
      http::read(socket, buffer, parser, error);
      bodies.push_back(error ? "error: " + error.message()
                             : parser.get().body());
    }
    return bodies;
  }

  ThreadPool m_threads{1};
  Counters m_counters;
  boost::asio::io_context m_context;
  HttpServer m_server;
  HttpClient m_client;
  boost::asio::ip::tcp::endpoint m_address;
};

std::string HeadOf(const std::string& aMethod, const std::string& aTarget) {
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
}

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

// Guards against an answer that reaches another call on the connection: the
// calls are pipelined, each is answered twice, and each earlier one once more
// when a later one has arrived.
BOOST_AUTO_TEST_CASE(PipelinedCallsGetTheirOwnAnswers) {
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpResponder>> earlier;
  Fixture fixture([&](size_t, const HttpCall& aCall, auto aResponder) {
    const std::lock_guard<std::mutex> lock(mutex);
    HttpReply late;
    late.m_body = "late";
    for (const auto& responder : earlier) responder->Reply(late);
    HttpReply reply;
    reply.m_body = aCall.m_target;
    aResponder->Reply(reply);
    aResponder->Reply(late);
    earlier.push_back(aResponder);
  });
  std::string bytes;
  std::vector<std::string> expected;
  for (int call = 0; call < 20; ++call) {
    expected.push_back("/call/" + std::to_string(call));
    bytes += HeadOf("GET", expected.back());
  }
  const auto bodies =
      fixture.Exchange(bytes, std::vector<std::string>(expected.size(), "GET"));
  BOOST_TEST(bodies == expected, boost::test_tools::per_element());
  // They refer to sessions of the fixture.
  const std::lock_guard<std::mutex> lock(mutex);
  earlier.clear();
}

// Guards against a reply to HEAD with a body: the client does not expect it and
// reads it as the begin of the next reply.
BOOST_AUTO_TEST_CASE(ReplyToHeadHasNoBody) {
  Fixture fixture([](size_t, const HttpCall& aCall, auto aResponder) {
    HttpReply reply;
    reply.m_status = 405;
    reply.m_body = aCall.m_target;
    aResponder->Reply(reply);
  });
  const auto bodies = fixture.Exchange(
      HeadOf("HEAD", "/first") + HeadOf("GET", "/second"), {"HEAD", "GET"});
  BOOST_TEST(bodies == (std::vector<std::string>{"", "/second"}),
             boost::test_tools::per_element());
}

}  // namespace bronze
