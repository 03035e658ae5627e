/**
 * @file platform_client_test.cpp Tests what the clients of runners and of the
 * store conclude from a reply.
 */

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "fixed_reply_server.h"
#include "platform/runner_client.h"
#include "platform/store_client.h"

namespace bronze {

namespace {

using sched::OrderOutcome;

constexpr Duration kTimeout = seconds(60);

/** A server that sends the same reply to each call. */
struct Fixture {
  /** @return the answer to a start whose reply has this status and body. */
  OrderAnswer Start(int aStatus, std::string aBody) {
    HttpReply reply;
    reply.m_status = aStatus;
    reply.m_body = std::move(aBody);
    return Start(std::move(reply));
  }
  OrderAnswer Start(HttpReply aReply) {
    m_server.SetReply(std::move(aReply));
    // Each reply is the first on its connection, so that only its contents
    // decide.
    RunnerClient client(m_context);
    OrderAnswer answer;
    client.Start({m_server.Address().address().to_string() + ":" +
                      std::to_string(m_server.Address().port()),
                  RunnerId("r1"), FencingToken(1)},
                 {}, "{}", sched::RunnerMillis(1000), {},
                 [&](OrderAnswer aAnswer) {
                   answer = std::move(aAnswer);
                   m_context.stop();
                 });
    Run();
    return answer;
  }

  /** @return the outcome of a transaction. */
  StoreOutcome Transact(int aStatus, std::string aBody,
                        Duration aTimeout = kTimeout) {
    HttpReply reply;
    reply.m_status = aStatus;
    reply.m_body = std::move(aBody);
    m_server.SetReply(std::move(reply));
    StoreClient client(m_context, m_server.Address(),
                       [] { return TimePoint(); });
    StoreOutcome outcome = StoreOutcome::Done;
    client.Transact({}, aTimeout, [&](const TransactionResult& aResult) {
      outcome = aResult.m_outcome;
      m_context.stop();
    });
    Run();
    return outcome;
  }

  /** @return the answer to a wait for changes of table "t" that lists these
   *  rows. */
  RowsResult Watch(const std::vector<std::string>& aRows) {
    std::string rows;
    for (const std::string& row : aRows) {
      rows += (rows.empty() ? "" : ",") + row;
    }
    HttpReply reply;
    reply.m_body = R"({"ver": 3, "now_ms": 5, "rows": [)" + rows + "]}";
    m_server.SetReply(std::move(reply));
    StoreClient client(m_context, m_server.Address(),
                       [] { return TimePoint(); });
    RowsResult answer;
    client.Watch("t", RowVersion(1), milliseconds(10), [&](RowsResult aResult) {
      answer = std::move(aResult);
      m_context.stop();
    });
    Run();
    return answer;
  }

  void Run() {
    m_context.restart();
    m_context.run();
  }

  Counters m_counters;
  boost::asio::io_context m_context;
  FixedReplyServer m_server{m_counters};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformClientSuite, Fixture)

/** Guards against whole answers that are not understood. */
BOOST_AUTO_TEST_CASE(WholeAnswerToAStartDecides) {
  const OrderAnswer applied = Start(200, R"({"clock_ms": 17})");
  BOOST_TEST((applied.m_outcome == OrderOutcome::Applied));
  BOOST_REQUIRE(applied.m_clock.has_value());
  BOOST_TEST(applied.m_clock->Value() == 17);
  const auto refused = [&](const std::string& aReason) {
    return Start(409, R"({"clock_ms": 17, "reason": ")" + aReason + "\"}")
        .m_outcome;
  };
  BOOST_TEST((refused("fence") == OrderOutcome::RefusedFence));
  BOOST_TEST((refused("old") == OrderOutcome::RefusedOld));
  BOOST_TEST((refused("late") == OrderOutcome::RefusedLate));
  BOOST_TEST((refused("room") == OrderOutcome::RefusedRoom));
  BOOST_TEST((refused("ticket") == OrderOutcome::RefusedTicket));
  BOOST_TEST((refused("other") == OrderOutcome::RefusedOther));
}

/** Guards against a task that counts as running, or as refused and is started
 *  elsewhere, after a reply that no runner has sent as a whole. */
BOOST_AUTO_TEST_CASE(AnswerThatIsNotWholeDecidesNothing) {
  for (const int status : {200, 409}) {
    for (const auto* body :
         {"", "{}", "[]", "17", R"({"reason": "room"})", R"({"clock_ms": 17)",
          R"({"clock_ms": "17", "reason": "room"})",
          R"({"clock_ms": -1, "reason": "room"})",
          R"({"clock_ms": 17, "reason": "room"}HTTP/1.1 200 OK)"}) {
      const OrderAnswer answer = Start(status, body);
      BOOST_TEST((answer.m_outcome == OrderOutcome::Unknown),
                 status << " " << body);
      BOOST_TEST(!answer.m_clock.has_value(), status << " " << body);
    }
    HttpReply cut;
    cut.m_status = status;
    cut.m_body = R"({"clock_ms": 17, "reason": "room"})";
    cut.m_truncateAfter = cut.m_body.size() - 1;
    BOOST_TEST((Start(cut).m_outcome == OrderOutcome::Unknown), status);
  }
}

/** Guards against a status that says whether the order was executed, but is
 *  not understood, and against others that count as such. */
BOOST_AUTO_TEST_CASE(StatusOfAStartDecides) {
  BOOST_TEST((Start(421, "{}").m_outcome == OrderOutcome::WrongInstance));
  for (const int status : {400, 429, 503}) {
    BOOST_TEST((Start(status, "{}").m_outcome == OrderOutcome::RefusedOther),
               status);
  }
  for (const int status : {201, 302, 404, 408, 500, 502, 504}) {
    BOOST_TEST((Start(status, R"({"clock_ms": 17})").m_outcome ==
                OrderOutcome::Unknown),
               status);
  }
}

/** Guards against a transaction that counts as not written although its status
 *  does not say so, and against one that stays open although it does. */
BOOST_AUTO_TEST_CASE(StatusOfATransactionDecides) {
  BOOST_TEST(
      (Transact(200, R"({"ver": 3, "now_ms": 5})") == StoreOutcome::Done));
  BOOST_TEST((Transact(412, R"({"rows": [], "now_ms": 5})") ==
              StoreOutcome::Conflict));
  for (const int status : {429, 503, 507}) {
    BOOST_TEST((Transact(status, "{}") == StoreOutcome::Refused), status);
  }
  // The same transaction would be answered in the same way.
  for (const int status : {400, 403, 404}) {
    BOOST_TEST((Transact(status, "{}") == StoreOutcome::Rejected), status);
  }
  for (const int status : {201, 302, 408, 500, 502, 504}) {
    BOOST_TEST((Transact(status, R"({"now_ms": 5})") == StoreOutcome::Unknown),
               status);
  }
  // Only an interim reply comes.
  BOOST_TEST((Transact(100, "", milliseconds(100)) == StoreOutcome::Unknown));
}

/** Guards against a store's answer that is used although it is not whole. */
BOOST_AUTO_TEST_CASE(StoreAnswerThatIsNotWholeIsMalformed) {
  for (const int status : {200, 412}) {
    for (const auto* body :
         {"", "{}", R"({"ver": 3})", R"({"ver": 3, "now_ms": 5)",
          R"({"ver": "3", "now_ms": 5})", R"({"rows": 1, "now_ms": 5})"}) {
      BOOST_TEST((Transact(status, body) == StoreOutcome::Malformed),
                 status << " " << body);
    }
  }
}

/** Guards against changes that are missed: the store does not say that it has
 *  left some out. A row that can't be read takes up room in the answer, too. */
BOOST_AUTO_TEST_CASE(FullAnswerMayLackChanges) {
  constexpr size_t kAnswerRows = 500;
  const std::string row =
      R"({"table": "t", "part": "", "key": "k", "ver": 3, "value": "eA=="})";
  BOOST_TEST(!Watch({}).m_isFull);
  BOOST_TEST(!Watch(std::vector<std::string>(kAnswerRows - 1, row)).m_isFull);
  BOOST_TEST(Watch(std::vector<std::string>(kAnswerRows, row)).m_isFull);
  std::vector<std::string> rows(kAnswerRows, row);
  rows.front() = R"({"table": 1})";
  const RowsResult unreadable = Watch(rows);
  BOOST_TEST(unreadable.m_rows.size() == kAnswerRows - 1);
  BOOST_TEST(unreadable.m_isFull);
  // Few large rows.
  constexpr size_t kLargeValue = size_t{65536} / 3 * 4;
  const std::string large =
      R"({"table": "t", "part": "", "key": "k", "ver": 3, "value": ")" +
      std::string(kLargeValue, 'A') + "\"}";
  BOOST_TEST(!Watch({large, large}).m_isFull);
  constexpr size_t kLargeRows = 15;
  BOOST_TEST(Watch(std::vector<std::string>(kLargeRows, large)).m_isFull);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
