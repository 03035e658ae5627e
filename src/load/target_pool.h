/**
 * @file target_pool.h HTTP calls to the entry VMs, distributed as by a load
 * balancer.
 *
 * Calls run on the traffic threads. Targets are chosen and outcomes handled on
 * the control thread.
 */

#ifndef BRONZE_LOAD_TARGET_POOL_H_
#define BRONZE_LOAD_TARGET_POOL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "load/load_type.h"
#include "net/http_client.h"
#include "net/thread_pool.h"

namespace bronze {

using OutcomeHandler =
    std::function<void(const CallOutcome& aOutcome, TimePoint aEndedAt)>;

class TargetPool {
 public:
  TargetPool(const LoadOptions& aOptions, ThreadPool& aThreads,
             boost::asio::io_context& aControl);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  [[nodiscard]] size_t Size() const { return m_targets.size(); }

  /**
   * @return the next target that is not in aTried, preferably one that is not
   *         marked as down.
   */
  [[nodiscard]] size_t Choose(const std::vector<size_t>& aTried);

  /**
   * The handler runs on the control thread. Its aEndedAt is taken on the
   * traffic thread, so it excludes the time in the queue of the control thread.
   */
  void Call(size_t aTarget, HttpCall aCall, Duration aTimeout,
            OutcomeHandler aHandler);

 private:
  struct Target {
    boost::asio::ip::tcp::endpoint m_address;
    TimePoint m_downUntil;  ///< Set when it is unreachable or not ready.
  };

  ThreadPool& m_threads;
  boost::asio::io_context& m_control;
  std::vector<Target> m_targets;
  std::vector<std::unique_ptr<HttpClient>> m_clients;  ///< One per thread.
  size_t m_nextTarget = 0;
  size_t m_nextThread = 0;
};

}  // namespace bronze

#endif  // BRONZE_LOAD_TARGET_POOL_H_
