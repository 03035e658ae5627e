/**
 * @file queue_func.h The queue of requests that wait for a slot.
 */

#ifndef BRONZE_CORE_REQUEST_QUEUE_FUNC_H_
#define BRONZE_CORE_REQUEST_QUEUE_FUNC_H_

#include "core/request/request_base.h"

namespace bronze {

/** Puts a request into the queue of its class and sets its queue entry. */
void Enqueue(RequestState& aState, RequestId aRequest,
             PendingRequest& aPending);

/** Removes a request from any position of the queue. */
void RemoveQueued(RequestState& aState, RequestId aRequest,
                  const PendingRequest& aPending);

/** As RemoveQueued(), and charges the run time to its flow and class. */
void TakeQueued(RequestState& aState, RequestId aRequest,
                const PendingRequest& aPending);

/** @return the next request of a class queue that is not empty. */
[[nodiscard]] RequestId NextOf(const ClassQueue& aQueue);

/** @return the class to be served first when both have requests. */
[[nodiscard]] KindClass NextClass(const RequestQueue& aQueue);

[[nodiscard]] inline ClassQueue& QueueOf(RequestQueue& aQueue,
                                         KindClass aClass) {
  return aQueue.m_classes[static_cast<size_t>(aClass)];
}
[[nodiscard]] inline const ClassQueue& QueueOf(const RequestQueue& aQueue,
                                               KindClass aClass) {
  return aQueue.m_classes[static_cast<size_t>(aClass)];
}
[[nodiscard]] inline size_t QueuedCount(const RequestQueue& aQueue) {
  return aQueue.m_byLatestStart.size();
}

/** Erases empty flows whose virtual time is not ahead of their queue. */
void PruneFlows(RequestQueue& aQueue);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_QUEUE_FUNC_H_
