/**
 * @file rack_internal.h Functions that the rack_*_cmd.cpp files share.
 */

#ifndef BRONZE_CORE_BATCH_RACK_INTERNAL_H_
#define BRONZE_CORE_BATCH_RACK_INTERNAL_H_

#include <string_view>

#include "core/batch/rack_base.h"
#include "core/metrics/counter_func.h"

namespace bronze {

/** State, time and outputs of one rack command. */
struct RackContext {
  RackOwnerState& m_state;
  TimePoint m_now;
  Counters& m_counters;
  BatchEffects& m_effects;
};

/** Delay before a failed call to a worker is repeated. */
inline constexpr Duration kCallRetryDelay = seconds(1);

/**
 * Starts the next commit, read or call that the task needs, unless one is in
 * flight.
 */
void AdvanceTask(const RackContext& aContext, TaskId aTask);

/** Submits aNext as the new row of the task. */
void CommitRow(const RackContext& aContext, TaskId aTask, RackTask& aRackTask,
               TaskRow aNext);

/** Frees the capacity reserved for the task and removes its entry. */
void RemoveRackTask(const RackContext& aContext, TaskId aTask);

/** Reserves capacity for the task on its worker and adds its entry. */
RackTask& AddRackTask(RackOwnerState& aState, TaskId aTask, RackTask aRackTask);

/** Queues an update that the next tick sends to the team owner. */
void QueueUpdate(RackOwnerState& aState, TaskUpdate aUpdate);
/** Queues a refusal of the offer for the team owner. */
void RefuseOffer(RackOwnerState& aState, const TaskOffer& aOffer,
                 const RackId& aRack, std::string_view aReason);

/** Reads the task's row again, unless a read is in flight. */
void RequestRow(const RackContext& aContext, TaskId aTask, RackTask& aRackTask);

/** Places waiting offers of the rack; refuses those that waited too long. */
void PlaceOffers(const RackContext& aContext, const RackId& aRack);

/** Renews the worker's lease and requests a report when these are due. */
void CallWorker(const RackContext& aContext, Worker& aWorker);

/** @return whether the lease has lapsed, so that the worker runs no task. */
[[nodiscard]] bool IsLeaseOver(const RackOwnerState& aState,
                               const Worker& aWorker, TimePoint aNow);

/** Record the start and the end of a call that extends the lease. */
void LeaseCallSent(Worker& aWorker, TimePoint aNow);
void LeaseCallEnded(Worker& aWorker, WorkerCallEnd aEnd, TimePoint aNow);

/** Marks the task for eviction. */
void RequestEviction(const RackContext& aContext, TaskId aTask,
                     EvictReason aReason);

/** Takes one token from the eviction budget. @return whether there was one. */
[[nodiscard]] bool TryTakeEvictionToken(RackOwnerState& aState, TimePoint aNow);

/** Update the worker's health; failures may put it into quarantine. */
void RecordTaskFailure(const RackContext& aContext, Worker& aWorker,
                       TaskId aTask);
void RecordTaskSuccess(Worker& aWorker);

/**
 * Learns interference from the worker's last report. Throttles, and later
 * evicts, the task that is expected to slow the worker's services down most.
 */
void ReactToSlowdown(const RackContext& aContext, Worker& aWorker);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_RACK_INTERNAL_H_
