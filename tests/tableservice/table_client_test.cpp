/**
 * @file table_client_test.cpp Tests what the client of the table service
 * concludes from a reply to a commit.
 */

#include "tableservice/table_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>

#include "net/http_server.h"

namespace bronze {

namespace {

constexpr Duration kTimeout = seconds(60);
constexpr size_t kMaxAnswer = size_t{1} << 20;

/** A server that sends the same reply to each call. */
struct Fixture {
  Fixture() : m_address(m_server.Listen(kLoopback).value()) {}
  ~Fixture() { m_threads.Stop(); }

  /** @return the outcome of a commit whose reply has this status and body. */
  CommitOutcome Commit(int aStatus, std::string aBody) {
    {
      const std::lock_guard lock(m_mutex);
      m_reply.m_status = aStatus;
      m_reply.m_body = std::move(aBody);
    }
    CommitOutcome outcome = CommitOutcome::Committed;
    m_client.Commit({}, kTimeout, [&](const CommitReply& aReply) {
      outcome = aReply.m_outcome;
      m_context.stop();
    });
    m_context.restart();
    m_context.run();
    return outcome;
  }

  inline static const boost::asio::ip::tcp::endpoint kLoopback{
      boost::asio::ip::address_v4::loopback(), 0};

  std::mutex m_mutex;
  HttpReply m_reply;
  ThreadPool m_threads{1};
  Counters m_counters;
  boost::asio::io_context m_context;
  HttpServer m_server{m_threads,
                      {},
                      m_counters,
                      [this](size_t, const HttpCall&, auto aResponder) {
                        const std::lock_guard lock(m_mutex);
                        aResponder->Reply(m_reply);
                      }};
  boost::asio::ip::tcp::endpoint m_address;
  HttpClient m_http{m_context, {1, kMaxAnswer}};
  TableClient m_client{m_http, m_address, m_counters};
};

constexpr char kCommitted[] = R"({"committed": true, "version": 3})";
constexpr char kConflict[] = R"({"committed": false, "conflicts": ["a"]})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TableClientSuite, Fixture)

/** Guards against a commit that counts as not written, and is followed by
 *  another, although its status does not say so. */
BOOST_AUTO_TEST_CASE(StatusOfACommitDecides) {
  BOOST_TEST((Commit(200, kCommitted) == CommitOutcome::Committed));
  BOOST_TEST((Commit(409, kConflict) == CommitOutcome::Conflict));
  for (const int status : {400, 403, 404, 429, 503, 507}) {
    BOOST_TEST((Commit(status, "{}") == CommitOutcome::Unavailable), status);
  }
  for (const int status : {201, 302, 408, 500, 502, 504}) {
    BOOST_TEST((Commit(status, "{}") == CommitOutcome::ReplyLost), status);
  }
}

/** Guards against a reply that is used although it is not whole. */
BOOST_AUTO_TEST_CASE(ReplyThatIsNotWholeDecidesNothing) {
  for (const int status : {200, 409}) {
    for (const auto* body :
         {"", "{}", R"({"committed": true)", R"({"committed": true})"}) {
      BOOST_TEST((Commit(status, body) == CommitOutcome::ReplyLost),
                 status << " " << body);
    }
  }
}

/** Guards against a reply whose status and body contradict each other. */
BOOST_AUTO_TEST_CASE(StatusAndBodyMustAgree) {
  BOOST_TEST((Commit(200, kConflict) == CommitOutcome::ReplyLost));
  BOOST_TEST((Commit(409, kCommitted) == CommitOutcome::ReplyLost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
