/**
 * @file runner_func.h Slots, health and concurrency limit of a runner.
 */

#ifndef BRONZE_CORE_REQUEST_RUNNER_FUNC_H_
#define BRONZE_CORE_REQUEST_RUNNER_FUNC_H_

#include "core/request/request_base.h"

namespace bronze {

/** @return the row of a runner, or nullptr when it is not known. */
[[nodiscard]] RunnerState* FindRunner(RunnerPool& aPool,
                                      const RunnerId& aRunner);

/** @return the grant, capped by the concurrency limit. */
[[nodiscard]] Slots UsableSlots(const RunnerState& aRunner);

/** Whether a request that needs a slot may be dispatched to the runner now. */
[[nodiscard]] bool HasFreeSlot(const RunnerState& aRunner, TimePoint aNow);

/** Whether the runner failed and gets only one request at a time. */
[[nodiscard]] bool IsProbed(const RunnerState& aRunner);

/** Adds the row to those that may have a free slot, if it is not full. */
void AddToFreeList(RunnerPool& aPool, RunnerIndex aIndex);
/** Removes the row from those that may have a free slot. */
void RemoveFromFreeList(RunnerPool& aPool, RunnerIndex aIndex);

/** Sets the granted slots of a row and updates the total and the free list. */
void SetGranted(RequestState& aState, RunnerIndex aIndex, Slots aSlots,
                TimePoint aValidUntil);

/** Marks the slot of a new attempt as in use. */
void TakeSlot(RequestState& aState, const Attempt& aAttempt);

/**
 * Frees the slot of an attempt that ended. If this VM closed the connection
 * (aClosed), the runner may still run the request, so the slot stays busy until
 * the longest window has passed since the dispatch.
 */
void EndSlot(RequestState& aState, const Attempt& aAttempt, bool aClosed,
             TimePoint aNow);

/** Frees slots of closed connections and ends exclusions that are over. */
void AdvanceRunners(RequestState& aState, TimePoint aNow);

/** Counts consecutive failures; from the third on, excludes the runner. */
void NoteRunnerHealth(RequestState& aState, const Attempt& aAttempt,
                      AttemptEnd aEnd, TimePoint aNow);

/** Adapts the runner's concurrency limit to the run time of an attempt. */
void NoteRunnerLatency(RequestState& aState, const Attempt& aAttempt,
                       Duration aRunTime, TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_RUNNER_FUNC_H_
