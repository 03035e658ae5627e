/**
 * @file queue_base.h Queue of the requests that wait for a slot at one entry
 * VM.
 */

#ifndef BRONZE_CORE_REQUEST_QUEUE_BASE_H_
#define BRONZE_CORE_REQUEST_QUEUE_BASE_H_

#include <array>
#include <compare>
#include <map>
#include <set>
#include <unordered_map>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/config/settings_type.h"

namespace bronze {

/** Flow: requests of one kind from one caller. Flows share slots by weight. */
struct FlowId {
  KindId m_kind;
  CallerId m_caller;

  friend auto operator<=>(const FlowId&, const FlowId&) = default;
};

/** A request's position in its flow; the earliest deadline comes first. */
struct QueuePosition {
  TimePoint m_deadline;
  uint64_t m_number = 0;  ///< Order of queueing, for equal deadlines.
  RequestId m_request;

  friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

/** Data of a queued request that is needed to remove it from the queue. */
struct QueueEntry {
  QueuePosition m_position;
  TimePoint m_latestStart;  ///< After it, the deadline cannot be met.
  Duration m_runTime = Duration::zero();  ///< Estimate when it was queued.
};

struct Flow {
  double m_served = 0.0;  ///< Virtual time: run time served / weight, in us.
  std::set<QueuePosition> m_positions;
};

/** Sort key of a flow with queued requests. */
struct FlowOrder {
  int64_t m_round = 0;   ///< Virtual time / kFlowRoundMicros.
  QueuePosition m_head;  ///< First request; orders flows of equal rounds.
  FlowId m_flow;

  friend auto operator<=>(const FlowOrder&, const FlowOrder&) = default;
};

/** The queued requests of one class (short or long). */
struct ClassQueue {
  std::map<FlowId, Flow> m_flows;
  std::set<FlowOrder> m_order;  ///< One entry for each flow with requests.
  double m_virtualTime = 0.0;   ///< Largest flow time served so far, in us.
  double m_served = 0.0;        ///< Run time served / class weight, in us.
  Duration m_work = Duration::zero();  ///< Expected run time of all requests.
  size_t m_size = 0;
};

inline constexpr size_t kClassCount = 3;  ///< Standing requests do not queue.

struct RequestQueue {
  std::array<ClassQueue, kClassCount> m_classes;  ///< Indexed by KindClass.
  std::set<std::pair<TimePoint, RequestId>> m_byLatestStart;
  std::unordered_map<CallerId, double> m_callerLoad;  ///< Sum of 1 / weight.
  uint64_t m_lastNumber = 0;
};

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_QUEUE_BASE_H_
