/**
 * @file target_pool.cpp HTTP calls to the entry VMs, distributed as by a load
 * balancer.
 */

#include "load/target_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "standin/clock.h"

namespace bronze {

namespace {

constexpr size_t kMaxAnswerBytes = size_t{16} << 20;
/** A load balancer would skip a failed target until its next health check. */
constexpr Duration kDownTime = milliseconds(500);

/** Whether a load balancer's health check would fail. */
bool IsUnhealthy(const CallOutcome& aOutcome) {
  constexpr int kUnavailable = 503;
  if (aOutcome.m_stage == CallStage::NotConnected) return true;
  if (aOutcome.m_stage != CallStage::CompleteReply ||
      aOutcome.m_reply.m_status != kUnavailable) {
    return false;
  }
  const auto body =
      nlohmann::json::parse(aOutcome.m_reply.m_body, nullptr, false);
  if (!body.is_object()) return false;
  const auto error = body.find("error");
  return error != body.end() && (*error == "draining" || *error == "not_ready");
}

}  // namespace

TargetPool::TargetPool(const LoadOptions& aOptions, ThreadPool& aThreads,
                       boost::asio::io_context& aControl)
    : m_threads(aThreads), m_control(aControl) {
  for (const auto& address : aOptions.m_targets) {
    m_targets.push_back({address, TimePoint()});
  }
  for (size_t i = 0; i < aThreads.Size(); ++i) {
    m_clients.push_back(std::make_unique<HttpClient>(
        aThreads.Context(i),
        HttpClientLimits{static_cast<size_t>(aOptions.m_connections),
                         kMaxAnswerBytes}));
  }
}

TargetPool::~TargetPool() { m_threads.Stop(); }

size_t TargetPool::Choose(const std::vector<size_t>& aTried) {
  const TimePoint now = ReadClock();
  const size_t first = m_nextTarget++;
  size_t chosen = first % m_targets.size();
  bool isUntried = false;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const size_t target = (first + i) % m_targets.size();
    if (std::find(aTried.begin(), aTried.end(), target) != aTried.end()) {
      continue;
    }
    if (m_targets[target].m_downUntil <= now) return target;
    if (!isUntried) chosen = target;
    isUntried = true;
  }
  return chosen;
}

void TargetPool::Call(size_t aTarget, HttpCall aCall, Duration aTimeout,
                      OutcomeHandler aHandler) {
  const size_t thread = m_nextThread++ % m_clients.size();
  auto onOutcome = [this, aTarget,
                    handler = std::move(aHandler)](CallOutcome aOutcome) {
    const TimePoint end = ReadClock();
    boost::asio::post(m_control, [this, aTarget, handler, end,
                                  outcome = std::move(aOutcome)] {
      if (IsUnhealthy(outcome)) {
        m_targets[aTarget].m_downUntil = end + kDownTime;
      }
      handler(outcome, end);
    });
  };
  boost::asio::post(
      m_threads.Context(thread),
      [client = m_clients[thread].get(), address = m_targets[aTarget].m_address,
       call = std::move(aCall), aTimeout,
       handler = std::move(onOutcome)]() mutable {
        client->Call(address, call, aTimeout, std::move(handler));
      });
}

}  // namespace bronze
