/**
 * @file queue_func.cpp The queue of requests that wait for a slot.
 *
 * Start-time fair queueing between the flows of a class, and earliest deadline
 * first within a round of it.
 */

#include "core/request/queue_func.h"

#include <algorithm>

#include "core/request/kind_func.h"

namespace bronze {

namespace {

/**
 * Length of a round of virtual time. Flows in the same round are served by
 * deadline alone. A round is a few run times of short requests, so that
 * fairness does not reorder those.
 */
constexpr double kFlowRoundMicros = 100'000.0;

/** Weights of short and long requests for run time under contention. */
constexpr double kShortWeight = 3.0;
constexpr double kLongWeight = 1.0;

double ClassWeight(KindClass aClass) {
  return aClass == KindClass::Short ? kShortWeight : kLongWeight;
}

int64_t RoundOf(const Flow& aFlow) {
  return static_cast<int64_t>(aFlow.m_served / kFlowRoundMicros);
}

/** The class queue in which a request waits; FIFO has one queue for all. */
KindClass QueueClassOf(const RequestState& aState,
                       const PendingRequest& aPending) {
  return aState.m_settings.m_queuePolicy == QueuePolicy::Fifo
             ? KindClass::Short
             : aPending.m_class;
}

FlowId FlowOf(const RequestState& aState, const PendingRequest& aPending) {
  if (aState.m_settings.m_queuePolicy == QueuePolicy::Fifo) return {};
  return {aPending.m_kind, aPending.m_caller};
}

double WeightOf(const RequestState& aState, const KindId& aKind) {
  const auto found = aState.m_settings.m_kinds.find(aKind);
  if (found == aState.m_settings.m_kinds.end()) return 1.0;
  return static_cast<double>(std::max<int64_t>(1, found->second.m_weight));
}

bool IsAnyQueued(const RequestQueue& aQueue) {
  return std::any_of(aQueue.m_classes.begin(), aQueue.m_classes.end(),
                     [](const ClassQueue& aOne) { return aOne.m_size > 0; });
}

void ChangeCallerLoad(RequestState& aState, const PendingRequest& aPending,
                      double aSign) {
  auto& loads = aState.m_queue.m_callerLoad;
  double& load = loads[aPending.m_caller];
  load += aSign / WeightOf(aState, aPending.m_kind);
  // A remainder this small is a rounding error; 1 / weight is far larger.
  if (load < 1e-6) loads.erase(aPending.m_caller);
}

void RemoveFromFlow(ClassQueue& aQueue, const FlowId& aId,
                    const QueuePosition& aPosition) {
  Flow& flow = aQueue.m_flows.at(aId);
  const QueuePosition head = *flow.m_positions.begin();
  flow.m_positions.erase(aPosition);
  if (aPosition != head) return;
  aQueue.m_order.erase({RoundOf(flow), head, aId});
  if (flow.m_positions.empty()) return;
  aQueue.m_order.insert({RoundOf(flow), *flow.m_positions.begin(), aId});
}

}  // namespace

void Enqueue(RequestState& aState, RequestId aRequest,
             PendingRequest& aPending) {
  RequestQueue& queue = aState.m_queue;
  aPending.m_stage = RequestStage::Queued;
  aPending.m_class = ClassOf(aState, aPending.m_kind);
  QueueEntry& queueEntry = aPending.m_queueEntry;
  queueEntry.m_runTime = ExpectedRun(aState, aPending.m_kind);
  const bool fifo = aState.m_settings.m_queuePolicy == QueuePolicy::Fifo;
  // A FIFO queue keeps a request until its deadline. So do probes, which find
  // out whether a slow kind has become faster.
  const bool tooSlow =
      aPending.m_arrived + queueEntry.m_runTime > aPending.m_deadline;
  queueEntry.m_latestStart = fifo || tooSlow
                                 ? aPending.m_deadline
                                 : aPending.m_deadline - queueEntry.m_runTime;
  queueEntry.m_position = {fifo ? aPending.m_arrived : aPending.m_deadline,
                           ++queue.m_lastNumber, aRequest};
  ClassQueue& classQueue = QueueOf(queue, QueueClassOf(aState, aPending));
  if (classQueue.m_size == 0 && IsAnyQueued(queue)) {
    // An idle class gets no credit for the time in which it had no requests.
    for (const ClassQueue& other : queue.m_classes) {
      if (other.m_size > 0) {
        classQueue.m_served = std::max(classQueue.m_served, other.m_served);
      }
    }
  }
  const FlowId id = FlowOf(aState, aPending);
  Flow& flow = classQueue.m_flows[id];
  if (flow.m_positions.empty()) {
    flow.m_served = std::max(flow.m_served, classQueue.m_virtualTime);
  } else {
    classQueue.m_order.erase({RoundOf(flow), *flow.m_positions.begin(), id});
  }
  flow.m_positions.insert(queueEntry.m_position);
  classQueue.m_order.insert({RoundOf(flow), *flow.m_positions.begin(), id});
  classQueue.m_work += queueEntry.m_runTime;
  ++classQueue.m_size;
  queue.m_byLatestStart.insert({queueEntry.m_latestStart, aRequest});
  ChangeCallerLoad(aState, aPending, 1.0);
}

void RemoveQueued(RequestState& aState, RequestId aRequest,
                  const PendingRequest& aPending) {
  RequestQueue& queue = aState.m_queue;
  ClassQueue& classQueue = QueueOf(queue, QueueClassOf(aState, aPending));
  const QueueEntry& queueEntry = aPending.m_queueEntry;
  RemoveFromFlow(classQueue, FlowOf(aState, aPending), queueEntry.m_position);
  classQueue.m_work -= queueEntry.m_runTime;
  --classQueue.m_size;
  queue.m_byLatestStart.erase({queueEntry.m_latestStart, aRequest});
  ChangeCallerLoad(aState, aPending, -1.0);
}

void TakeQueued(RequestState& aState, RequestId aRequest,
                const PendingRequest& aPending) {
  RemoveQueued(aState, aRequest, aPending);
  if (aState.m_settings.m_queuePolicy == QueuePolicy::Fifo) return;
  ClassQueue& classQueue = QueueOf(aState.m_queue, aPending.m_class);
  const FlowId id = FlowOf(aState, aPending);
  Flow& flow = classQueue.m_flows.at(id);
  classQueue.m_virtualTime = std::max(classQueue.m_virtualTime, flow.m_served);
  const double run =
      static_cast<double>(aPending.m_queueEntry.m_runTime.count());
  if (!flow.m_positions.empty()) {
    classQueue.m_order.erase({RoundOf(flow), *flow.m_positions.begin(), id});
  }
  flow.m_served += run / WeightOf(aState, aPending.m_kind);
  if (!flow.m_positions.empty()) {
    classQueue.m_order.insert({RoundOf(flow), *flow.m_positions.begin(), id});
  }
  classQueue.m_served += run / ClassWeight(aPending.m_class);
}

RequestId NextOf(const ClassQueue& aQueue) {
  return aQueue.m_order.begin()->m_head.m_request;
}

KindClass NextClass(const RequestQueue& aQueue) {
  const double shortServed = QueueOf(aQueue, KindClass::Short).m_served;
  const double longServed = QueueOf(aQueue, KindClass::Long).m_served;
  return longServed < shortServed ? KindClass::Long : KindClass::Short;
}

void PruneFlows(RequestQueue& aQueue) {
  for (ClassQueue& classQueue : aQueue.m_classes) {
    std::erase_if(classQueue.m_flows, [&](const auto& aEntry) {
      const Flow& flow = aEntry.second;
      return flow.m_positions.empty() &&
             flow.m_served <= classQueue.m_virtualTime;
    });
  }
}

}  // namespace bronze
