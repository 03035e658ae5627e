/**
 * @file runner_client.h Client of the runners' HTTP interface.
 */

#ifndef BRONZE_PLATFORM_RUNNER_CLIENT_H_
#define BRONZE_PLATFORM_RUNNER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "core/sched/cell_base.h"
#include "core/sched/runner_cmd.h"
#include "net/http_client.h"

namespace bronze {

/** The runner that gets an order, and the fencing token to send with it. */
struct RunnerTarget {
  std::string m_address;
  RunnerId m_id;
  FencingToken m_fence;
};

struct OrderAnswer {
  sched::OrderOutcome m_outcome = sched::OrderOutcome::Unknown;
  /** The runner's clock when it answered a start, if it has told it. */
  std::optional<sched::RunnerMillis> m_clock;
  std::string m_error;   ///< HTTP status or error; for the log.
  ReplyOrigin m_origin;  ///< For the log.
};

struct RenewalAnswer {
  sched::OrderOutcome m_outcome = sched::OrderOutcome::Unknown;
  sched::RunnerReport m_report;  ///< Only set with Applied.
  std::string m_error;
  ReplyOrigin m_origin;
};

class RunnerClient {
 public:
  explicit RunnerClient(boost::asio::io_context& aContext,
                        std::shared_ptr<ReplyBudget> aBudget = nullptr);

  /** @param aMayBegin asked right before the order is sent, as it may wait for
   *  a connection; if it returns false, the outcome is NotSent. */
  void Start(const RunnerTarget& aTarget, const sched::StartOrder& aOrder,
             const std::string& aPayload, sched::RunnerMillis aDeadline,
             std::function<bool()> aMayBegin,
             std::function<void(OrderAnswer)> aHandler);
  void Stop(const RunnerTarget& aTarget, const sched::StopOrder& aOrder,
            std::function<void(OrderAnswer)> aHandler);
  void Pace(const RunnerTarget& aTarget, const sched::PaceOrder& aOrder,
            std::function<void(OrderAnswer)> aHandler);
  void RenewLease(const sched::RenewalOrder& aOrder,
                  std::function<void(RenewalAnswer)> aHandler);

  /** @return the number of connections to runners that were opened. */
  [[nodiscard]] uint64_t Connections() const { return m_client.Connections(); }
  [[nodiscard]] uint64_t MismatchedReplies() const {
    return m_client.MismatchedReplies();
  }

 private:
  void Post(const RunnerTarget& aTarget, std::string aPath, std::string aBody,
            Duration aTimeout, std::function<void(CallOutcome)> aHandler,
            CallOptions aOptions);

  HttpClient m_client;
};

}  // namespace bronze

#endif  // BRONZE_PLATFORM_RUNNER_CLIENT_H_
