/**
 * @file invariant_func.h Records events and detects violated invariants.
 */

#ifndef BRONZE_STANDIN_INVARIANT_FUNC_H_
#define BRONZE_STANDIN_INVARIANT_FUNC_H_

#include <optional>

#include "standin/invariant_type.h"

namespace bronze {

/** Work that a VM receives later than this after it is listed as leaving is a
 * violation (requirement R7). */
inline constexpr Duration kLeavingGrace = seconds(3);

void CountEvent(RatePeak& aRate, TimePoint aNow);

/** Stores the description of a violation, up to a maximum number. */
void NoteViolation(Invariants& aInvariants, std::string aText);

/** Records that a worker accepted a start with this token. */
void NoteTaskStart(Invariants& aInvariants, const TaskId& aTask,
                   const WorkerId& aWorker, FencingToken aToken,
                   bool aFromCheckpoint);

/** Records that the task no longer runs on the worker. */
void NoteTaskEnd(Invariants& aInvariants, const TaskId& aTask,
                 const WorkerId& aWorker, bool aFinished);

/** Allows the task another run: its result was lost when its worker crashed. */
void NoteResultLost(Invariants& aInvariants, const TaskId& aTask);

/** Records a start that needs more than the worker has free. */
void NoteOverCapacity(Invariants& aInvariants, const TaskId& aTask,
                      const WorkerId& aWorker);

/** Records the start of a request that may run only once. */
void NoteNonIdempotentRun(Invariants& aInvariants, const std::string& aKey,
                          const std::string& aMarker);

/**
 * Records a violation if the VM receives work later than kLeavingGrace after
 * aLeavingSince, the time since which the VM list has shown it as leaving.
 */
void NoteWorkOnVm(Invariants& aInvariants, const std::string& aVm,
                  std::optional<TimePoint> aLeavingSince, TimePoint aNow);

/** Changes the number of slots in use by aBy, which may be negative. */
void ChangeSlotUse(SlotUse& aUse, Slots aBy, TimePoint aNow);

/** Completes the current sample if it is at least one second long. */
void SampleSlotUse(SlotUse& aUse, TimePoint aNow);

}  // namespace bronze

#endif  // BRONZE_STANDIN_INVARIANT_FUNC_H_
