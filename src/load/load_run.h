/**
 * @file load_run.h Sends the requests of a run and checks their answers.
 */

#ifndef BRONZE_LOAD_LOAD_RUN_H_
#define BRONZE_LOAD_LOAD_RUN_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "load/answer_check.h"
#include "load/arrival_func.h"
#include "load/load_result.h"
#include "load/target_pool.h"

namespace bronze {

/** Sends requests and checks answers. Runs on the control thread. */
class LoadRun {
 public:
  /** An attempt without an answer this long after the window counts as lost. */
  static constexpr Duration kGrace = seconds(5);

  /** @param aGrace replaces kGrace; shorter in tests. */
  LoadRun(const LoadOptions& aOptions, TargetPool& aTargets,
          boost::asio::io_context& aControl, LoadResult& aResult,
          Duration aGrace = kGrace);

  /** aOnEnd runs once, after the last request has ended. */
  void Start(std::function<void()> aOnEnd);

 private:
  using RequestPtr = std::shared_ptr<LoadRequest>;

  void ScheduleArrival();
  void StartDueRequests();
  void StartRequest(const RequestPtr& aRequest);
  void Send(const RequestPtr& aRequest);
  void OnOutcome(const RequestPtr& aRequest, const CallOutcome& aOutcome,
                 TimePoint aEndedAt);
  void EndIfDone();

  const LoadOptions& m_options;
  TargetPool& m_targets;
  boost::asio::steady_timer m_timer;
  LoadResult& m_result;
  Duration m_grace;
  ArrivalState m_arrivals;
  ReceivedMarkers m_receivedMarkers;
  TimePoint m_begin;
  std::optional<Duration> m_nextArrival;
  std::deque<RequestPtr> m_waiting;  ///< Delayed by the connection limit.
  int64_t m_inFlight = 0;
  std::function<void()> m_onEnd;
};

}  // namespace bronze

#endif  // BRONZE_LOAD_LOAD_RUN_H_
