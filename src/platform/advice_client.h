/**
 * @file advice_client.h Client of the advice service, which decides which
 * runners may run a step.
 */

#ifndef BRONZE_PLATFORM_ADVICE_CLIENT_H_
#define BRONZE_PLATFORM_ADVICE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "platform/wire_decode.h"

namespace bronze {

class AdviceClient {
 public:
  /** @param aAddress if not set, the deployment has no advice service and each
   *         call fails. */
  AdviceClient(boost::asio::io_context& aContext,
               std::optional<boost::asio::ip::tcp::endpoint> aAddress,
               std::shared_ptr<ReplyBudget> aBudget = nullptr);

  /** Asks which of aRunners may run the step of aOrder. */
  void Ask(const sched::AdviceOrder& aOrder,
           const std::vector<RunnerId>& aRunners,
           std::function<void(Result<AdviceAnswer>)> aHandler);

 private:
  std::optional<boost::asio::ip::tcp::endpoint> m_address;
  HttpClient m_client;
};

}  // namespace bronze

#endif  // BRONZE_PLATFORM_ADVICE_CLIENT_H_
