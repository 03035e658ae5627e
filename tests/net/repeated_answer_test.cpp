/**
 * @file repeated_answer_test.cpp Calls to a server whose answers arrive twice,
 * or in parts.
 */

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

#include "net/http_client.h"
#include "net/http_server.h"
#include "repeating_proxy.h"

namespace bronze {

namespace {

constexpr size_t kMaxAnswer = size_t{1} << 20;

/** A server that answers each call with its target, behind a proxy. */
struct Fixture {
  Fixture()
      : m_server(m_threads, {}, m_counters,
                 [](size_t, const HttpCall& aCall, auto aResponder) {
                   HttpReply reply;
                   reply.m_body = aCall.m_target;
                   aResponder->Reply(reply);
                 }),
        m_proxy(m_context,
                m_server.Listen({boost::asio::ip::address_v4::loopback(), 0})
                    .value(),
                1),
        m_client(m_context, {2, kMaxAnswer, 2}) {}
  ~Fixture() { m_threads.Stop(); }

  /** Makes calls in turn, aPause after the outcome of the one before. */
  void CallInTurn(int aCalls, Duration aPause) {
    const std::string target = "/call/" + std::to_string(aCalls);
    m_client.Call(
        m_proxy.Address(), {"GET", target, {}, {}, {}}, seconds(30),
        [this, target, aCalls, aPause](const CallOutcome& aOutcome) {
          if (aOutcome.m_stage == CallStage::CompleteReply) {
            m_bodies[target] = aOutcome.m_reply.m_body;
          }
          if (aCalls == 1) {
            m_context.stop();
            return;
          }
          m_timer.expires_after(aPause);
          m_timer.async_wait([this, aCalls, aPause](boost::system::error_code) {
            CallInTurn(aCalls - 1, aPause);
          });
        });
  }

  /** @return how many calls got the answer to another one. */
  [[nodiscard]] size_t ForeignAnswers() const {
    return static_cast<size_t>(std::count_if(
        m_bodies.begin(), m_bodies.end(),
        [](const auto& aBody) { return aBody.first != aBody.second; }));
  }

  ThreadPool m_threads{1};
  Counters m_counters;
  boost::asio::io_context m_context;
  HttpServer m_server;
  RepeatingProxy m_proxy;
  HttpClient m_client;
  boost::asio::steady_timer m_timer{m_context};
  std::map<std::string, std::string> m_bodies;  ///< By the call's target.
};

constexpr int kCalls = 100;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RepeatedAnswerSuite, Fixture)

/** Guards against a second answer that is taken for that of the next call,
 *  after which each call on the connection gets the one before. */
BOOST_AUTO_TEST_CASE(NoCallGetsTheAnswerOfAnother) {
  m_proxy.SetRepetition({0.3, Duration(0), milliseconds(4), SIZE_MAX, {}});
  CallInTurn(kCalls, milliseconds(1));
  m_context.run();
  BOOST_TEST(m_proxy.Repeated() > 0U);
  BOOST_TEST(m_bodies.size() > size_t{kCalls} / 2);
  BOOST_TEST(ForeignAnswers() == 0U);
}

/** Guards against a second answer that is cut, so that the answer of the next
 *  call becomes a part of it. */
BOOST_AUTO_TEST_CASE(NoAnswerConsistsOfTwoParts) {
  for (size_t bytes = 1; bytes < 140; ++bytes) {
    m_bodies.clear();
    m_proxy.SetRepetition({0.5, Duration(0), milliseconds(2), bytes, {}});
    CallInTurn(10, milliseconds(1));
    m_context.restart();
    m_context.run();
    BOOST_TEST(ForeignAnswers() == 0U, "cut after " << bytes);
  }
}

/** Guards against a new connection for each call to a server that answers
 *  properly. */
BOOST_AUTO_TEST_CASE(ProperAnswersKeepTheConnection) {
  CallInTurn(kCalls, Duration(0));
  m_context.run();
  BOOST_TEST(m_bodies.size() == size_t{kCalls});
  BOOST_TEST(m_client.Connections() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
