/**
 * @file runner_gateway_test.cpp Tests what the gateway concludes from a
 * runner's answer.
 */

#include "daemon/runner_gateway.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "daemon/clock.h"
#include "fixed_reply_server.h"

namespace bronze {

namespace {

constexpr RequestId kRequest{5};
constexpr RequestId kOtherRequest{6};

/** A runner that sends the same answer to each request. */
struct Fixture {
  /** @return the end of an attempt whose answer has this status and names this
   *          request; empty: none. */
  AttemptEnd Attempt(int aStatus, std::optional<RequestId> aNamed) {
    HttpReply reply;
    reply.m_status = aStatus;
    if (aNamed) {
      reply.m_headers = {
          {"Bronze-Request-Id", fmt::format("{:016x}", aNamed->Value())}};
    }
    m_server.SetReply(std::move(reply));
    auto call = std::make_shared<CallerCall>();
    call->m_request = kRequest;
    call->m_kind = KindId("k");
    m_gateway.Send(call, RunnerId("r1"), m_server.Address(),
                   Now() + seconds(60));
    m_context.restart();
    m_context.run();
    return m_end;
  }

  Counters m_counters;
  boost::asio::io_context m_context;
  FixedReplyServer m_server{m_counters};
  AttemptEnd m_end = AttemptEnd::Answered;
  RunnerGateway m_gateway{
      m_context, m_counters,
      [this](const std::shared_ptr<CallerCall>&, const AttemptResult& aResult) {
        m_end = aResult.m_end;
        m_context.stop();
      }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerGatewaySuite, Fixture)

/** Guards against an answer that is not passed on, or a refusal that counts as
 *  one. */
BOOST_AUTO_TEST_CASE(AnswerOfTheRequestDecides) {
  for (const auto named : {std::optional<RequestId>(), {kRequest}}) {
    for (const int status : {200, 404, 500, 502, 504}) {
      BOOST_TEST((Attempt(status, named) == AttemptEnd::Answered), status);
    }
    BOOST_TEST((Attempt(503, named) == AttemptEnd::RunnerBusy));
  }
}

/** Guards against the answer to another request, which must neither reach the
 *  caller nor say that this one has not run. */
BOOST_AUTO_TEST_CASE(AnswerOfAnotherRequestDecidesNothing) {
  for (const int status : {200, 500, 503}) {
    BOOST_TEST((Attempt(status, kOtherRequest) == AttemptEnd::AnswerLost),
               status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
