/**
 * @file advice_client.cpp Client of the advice service, which decides which
 * runners may run a step.
 */

#include "platform/advice_client.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "core/sched/name_func.h"

namespace bronze {

namespace {

/** The scheduler has at most this many calls in progress at a time. */
constexpr int64_t kCallsInProgress = 2;
constexpr size_t kMaxAnswerBytes = size_t{64} << 10;
/** Added to the decision time given in the configuration. */
constexpr Duration kAnswerTimeoutMargin = seconds(1);

}  // namespace

AdviceClient::AdviceClient(
    boost::asio::io_context& aContext,
    std::optional<boost::asio::ip::tcp::endpoint> aAddress,
    std::shared_ptr<ReplyBudget> aBudget)
    : m_address(std::move(aAddress)),
      // Nothing in an answer names its call, so a connection carries one.
      m_client(aContext, {0, kMaxAnswerBytes, SIZE_MAX, std::move(aBudget)}) {}

void AdviceClient::Ask(const sched::AdviceOrder& aOrder,
                       const std::vector<RunnerId>& aRunners,
                       std::function<void(Result<AdviceAnswer>)> aHandler) {
  if (!m_address) {
    aHandler(MakeError(ErrorKind::ConnectionFailed,
                       "no advice service in the settings"));
    return;
  }
  boost::json::array workers;
  for (const RunnerId& runner : aRunners) workers.emplace_back(runner.Value());
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/bronzeworks/advise";
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = boost::json::serialize(
      boost::json::object{{"step", sched::StepText(aOrder.m_step)},
                          {"workers", std::move(workers)}});
  // The service handles the calls of one VM one after the other.
  const Duration decision =
      aOrder.m_policy.m_decision +
      aOrder.m_policy.m_perRunner * static_cast<int64_t>(aRunners.size());
  m_client.Call(
      *m_address, call, decision * kCallsInProgress + kAnswerTimeoutMargin,
      [handler = std::move(aHandler)](CallOutcome aOutcome) {
        if (aOutcome.m_stage != CallStage::CompleteReply) {
          handler(MakeError(ErrorKind::ConnectionFailed, aOutcome.m_error));
        } else if (aOutcome.m_reply.m_status != 200) {
          handler(MakeError(
              ErrorKind::ConnectionFailed,
              fmt::format("the advice service answered with HTTP status {}",
                          aOutcome.m_reply.m_status)));
        } else {
          handler(DecodeAdviceAnswer(aOutcome.m_reply.m_body));
        }
      });
}

}  // namespace bronze
