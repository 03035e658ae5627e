/**
 * @file table_client_test.cpp Tests what the client of the table service
 * concludes from a reply to a commit.
 */

#include "tableservice/table_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "fixed_reply_server.h"

namespace bronze {

namespace {

constexpr Duration kTimeout = seconds(60);
constexpr size_t kMaxAnswer = size_t{1} << 20;

/** A server that sends the same reply to each call. */
struct Fixture {
  /** @return the outcome of a commit whose reply has this status and body. */
  CommitOutcome Commit(int aStatus, std::string aBody) {
    HttpReply reply;
    reply.m_status = aStatus;
    reply.m_body = std::move(aBody);
    m_server.SetReply(std::move(reply));
    CommitOutcome outcome = CommitOutcome::Committed;
    m_client.Commit({}, kTimeout, [&](const CommitReply& aReply) {
      outcome = aReply.m_outcome;
      m_context.stop();
    });
    m_context.restart();
    m_context.run();
    return outcome;
  }

  Counters m_counters;
  boost::asio::io_context m_context;
  FixedReplyServer m_server{m_counters};
  HttpClient m_http{m_context, {1, kMaxAnswer}};
  TableClient m_client{m_http, m_server.Address(), m_counters};
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
