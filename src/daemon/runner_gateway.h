/**
 * @file runner_gateway.h Sends requests to runners from one traffic thread.
 */

#ifndef BRONZE_DAEMON_RUNNER_GATEWAY_H_
#define BRONZE_DAEMON_RUNNER_GATEWAY_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/request/request_type.h"
#include "daemon/caller_call.h"
#include "net/http_client.h"

namespace bronze {

/** Each traffic thread has one gateway; all functions run on that thread. */
class RunnerGateway {
 public:
  using EndHandler =
      std::function<void(std::shared_ptr<CallerCall>, AttemptResult)>;

  RunnerGateway(boost::asio::io_context& aContext, Counters& aCounters,
                EndHandler aOnEnd);

  /** Makes one attempt; the end handler runs exactly once, on this thread. */
  void Send(std::shared_ptr<CallerCall> aCall, const RunnerId& aRunner,
            const boost::asio::ip::tcp::endpoint& aAddress,
            TimePoint aDeadline);

  /** Closes the connection that carries this request, if any. */
  void Abort(RequestId aRequest);

 private:
  Counters& m_counters;
  EndHandler m_onEnd;
  HttpClient m_client;
  std::unordered_map<RequestId, std::shared_ptr<HttpExchange>> m_exchanges;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_RUNNER_GATEWAY_H_
