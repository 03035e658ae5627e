/**
 * @file rack_cmd.h Scheduling of tasks on the workers of the owned racks.
 *
 * The daemon calls these functions only while its authority is valid, and
 * checks the authority again immediately before it carries out an effect. It
 * passes each SubmitChange to the group commit.
 */

#ifndef BRONZE_CORE_BATCH_RACK_CMD_H_
#define BRONZE_CORE_BATCH_RACK_CMD_H_

#include <span>

#include "core/batch/rack_base.h"
#include "core/metrics/counter_func.h"

namespace bronze {

/** Starts to own a rack. Emits ScanRack, whose result goes to RecoverRack(). */
void OwnRack(RackOwnerState& aState, const RackId& aRack,
             BatchEffects& aEffects);

/** Ends the ownership of a rack: removes its state without any effect. */
void DropRack(RackOwnerState& aState, const RackId& aRack);

/**
 * Handles the rows of a rack scan. The first scan restores the state of the
 * rack; later ones detect rows that another daemon has changed.
 */
void RecoverRack(RackOwnerState& aState, const RackId& aRack,
                 std::span<const RackRecord> aRecords, TimePoint aNow,
                 Counters& aCounters, BatchEffects& aEffects);

/** Updates the workers of owned racks from the platform's list of VMs. */
void UseWorkerList(RackOwnerState& aState, std::span<const VmInfo> aVms,
                   TimePoint aNow);

void UseBatchSettings(RackOwnerState& aState, const BatchSettings& aSettings);

/** Starts or ends the drain of a worker that an operator asked for. */
[[nodiscard]] Result<void> DrainWorker(RackOwnerState& aState,
                                       const WorkerId& aWorker, bool aDrain);

/** Handle messages of team owners. */
void OffersArrived(RackOwnerState& aState, const TaskOffers& aOffers,
                   TimePoint aNow, Counters& aCounters, BatchEffects& aEffects);
void CancelArrived(RackOwnerState& aState, const TaskCancel& aCancel,
                   BatchEffects& aEffects);

/**
 * Handles the result of a commit.
 * @return false if the change was not submitted by these functions.
 */
bool RackChangeDone(RackOwnerState& aState, const ChangeDone& aDone,
                    TimePoint aNow, Counters& aCounters,
                    BatchEffects& aEffects);

/**
 * Handles the result of ReadTaskRow.
 * @param aRow not set if the row does not exist.
 * @param aVersion 0 if the row does not exist.
 */
void RackTaskRowRead(RackOwnerState& aState, TaskId aTask,
                     const std::optional<TaskRow>& aRow, RowVersion aVersion,
                     TimePoint aNow, Counters& aCounters,
                     BatchEffects& aEffects);
/** ReadTaskRow failed; the tick repeats it. */
void RackTaskRowReadFailed(RackOwnerState& aState, TaskId aTask);

/** Handle the results of calls to workers. */
void WorkerStartEnded(RackOwnerState& aState, const WorkerId& aWorker,
                      TaskId aTask, FencingToken aToken, WorkerCallEnd aEnd,
                      TimePoint aNow, Counters& aCounters,
                      BatchEffects& aEffects);
/** @param aAnswer state in the answer; Unknown: not known to the worker. */
void WorkerStopEnded(RackOwnerState& aState, const WorkerId& aWorker,
                     TaskId aTask, FencingToken aToken, WorkerCallEnd aEnd,
                     SeenAtWorker aAnswer, TimePoint aNow, Counters& aCounters,
                     BatchEffects& aEffects);
/**
 * @param aAnswer Finished or Failed if the task had ended before the call.
 * @param aCheckpoint the new checkpoint; invalid if there is none.
 */
void WorkerCheckpointEnded(RackOwnerState& aState, const WorkerId& aWorker,
                           TaskId aTask, FencingToken aToken,
                           WorkerCallEnd aEnd, SeenAtWorker aAnswer,
                           const ObjectName& aCheckpoint, TimePoint aNow,
                           Counters& aCounters, BatchEffects& aEffects);
/**
 * Handles the result of RenewWorkerLease.
 * @param aUnknown tasks of the renewal that the worker does not run.
 */
void WorkerRenewalEnded(RackOwnerState& aState, const WorkerId& aWorker,
                        WorkerCallEnd aEnd, std::span<const TaskId> aUnknown,
                        TimePoint aNow, Counters& aCounters,
                        BatchEffects& aEffects);
void WorkerReported(RackOwnerState& aState, const WorkerReport& aReport,
                    TimePoint aNow, Counters& aCounters,
                    BatchEffects& aEffects);
void WorkerReportFailed(RackOwnerState& aState, const WorkerId& aWorker);

/**
 * Renews leases, requests reports, repeats calls, places waiting offers,
 * handles lapsed leases and sends collected updates. Call it every 50 ms.
 */
void TickRacks(RackOwnerState& aState, TimePoint aNow, Counters& aCounters,
               BatchEffects& aEffects);

/** @return the free capacity of each owned rack, for the team owners. */
[[nodiscard]] std::vector<RackSummary> SummarizeRacks(
    const RackOwnerState& aState);

}  // namespace bronze

#endif  // BRONZE_CORE_BATCH_RACK_CMD_H_
