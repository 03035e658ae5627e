/**
 * @file reply_limit_test.cpp Replies outside the limits are given up.
 */

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "net/http_client.h"

namespace bronze {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t kMaxAnswer = size_t{1} << 20;

/** Replies with m_first, and then with m_repeated until the client closes. */
class EndlessServer {
 public:
  EndlessServer(asio::io_context& aContext, std::string aFirst,
                std::string aRepeated)
      : m_acceptor(aContext, {asio::ip::address_v4::loopback(), 0}),
        m_socket(aContext),
        m_first(std::move(aFirst)),
        m_repeated(std::move(aRepeated)) {
    m_acceptor.async_accept(m_socket, [this](boost::system::error_code) {
      // The reply must not arrive before the call.
      m_socket.async_wait(tcp::socket::wait_read,
                          [this](boost::system::error_code) { Send(m_first); });
    });
  }

  [[nodiscard]] tcp::endpoint Address() const {
    return m_acceptor.local_endpoint();
  }

 private:
  void Send(const std::string& aPart) {
    asio::async_write(m_socket, asio::buffer(aPart),
                      [this](boost::system::error_code aError, size_t) {
                        if (!aError && !m_repeated.empty()) Send(m_repeated);
                      });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::string m_first;
  std::string m_repeated;
};

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Fixture {
  /** Calls a server with such a reply. @return the outcome, also in the list
   *  of all. */
  void Call(std::string aFirst, std::string aRepeated) {
    m_servers.push_back(std::make_unique<EndlessServer>(
        m_context, std::move(aFirst), std::move(aRepeated)));
    const size_t index = m_outcomes.size();
    m_outcomes.emplace_back();
    m_client.Call(m_servers.back()->Address(), {"GET", "/", {}, {}, {}},
                  seconds(60), [this, index](CallOutcome aOutcome) {
                    m_outcomes[index] = std::move(aOutcome);
                    if (++m_ended == m_outcomes.size()) m_context.stop();
                  });
  }

  /** Checks that the reply was given up for its size. */
  void CheckGivenUp(const std::string& aFirst, const std::string& aRepeated) {
    Call(aFirst, aRepeated);
    m_context.run();
    BOOST_TEST((m_outcomes[0].m_stage == CallStage::PartlyRead));
    BOOST_TEST(!m_outcomes[0].m_timedOut);
    BOOST_TEST(m_budget->m_refused == 1U);
    BOOST_TEST(m_budget->m_bytes == 0);
  }

  asio::io_context m_context;
  std::shared_ptr<ReplyBudget> m_budget =
      std::make_shared<ReplyBudget>(ByteCount(200'000));
  HttpClient m_client{m_context, {0, kMaxAnswer, SIZE_MAX, m_budget}};
  std::vector<std::unique_ptr<EndlessServer>> m_servers;
  std::vector<CallOutcome> m_outcomes;
  size_t m_ended = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(reply_limit, Fixture)

// The buffer of a reply grew by each trailer.
BOOST_AUTO_TEST_CASE(TrailersWithoutEnd) {
  CheckGivenUp(std::string(kChunked) + "1\r\nx\r\n0\r\n", "X-Trailer: a\r\n");
}

// The same with the head of a chunk.
BOOST_AUTO_TEST_CASE(ChunkExtensionWithoutEnd) {
  CheckGivenUp(std::string(kChunked) + "1;name=", std::string(1000, 'a'));
}

// The parser's limit on the head does not count lines that are complete.
BOOST_AUTO_TEST_CASE(HeaderLinesWithoutEnd) {
  CheckGivenUp("HTTP/1.1 200 OK\r\nX",
               "-Header: " + std::string(52, 'a') + "\r\nX");
}

// Chunk heads of any length around single bytes of the body.
BOOST_AUTO_TEST_CASE(LongChunkHeads) {
  CheckGivenUp(kChunked, "1;name=" + std::string(9000, 'a') + "\r\nx\r\n");
}

// A large reply beyond the total of all replies must not take the small ones
// with it.
BOOST_AUTO_TEST_CASE(LargeReplyIsGivenUpForTheTotal) {
  Call("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n",
       std::string(1000, 'a'));
  Call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBronze-Call: 2\r\n\r\nhello",
       "");
  m_context.run();
  BOOST_TEST((m_outcomes[0].m_stage == CallStage::PartlyRead));
  BOOST_TEST((m_outcomes[1].m_stage == CallStage::CompleteReply));
  BOOST_TEST(m_budget->m_bytes == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
