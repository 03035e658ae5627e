/**
 * @file runner_func.cpp A simulated runner: run times, slots, repeated runs.
 */

#include "standin/runner_func.h"

#include <fmt/format.h>

#include "standin/fault_func.h"
#include "standin/invariant_func.h"
#include "standin/worker_func.h"

namespace bronze {

namespace {

const RequestKind& KindOf(const StandinState& aState, const KindId& aKind) {
  static const RequestKind kDefault;
  const auto found = aState.m_settings.m_requestKinds.find(aKind);
  return found == aState.m_settings.m_requestKinds.end() ? kDefault
                                                         : found->second;
}

double ColocatedSlowdown(const StandinState& aState, const RunnerState& aRunner,
                         const KindId& aKind) {
  const auto found = aState.m_workers.find(aRunner.m_colocatedWorker);
  if (found == aState.m_workers.end()) return 1.0;
  return SlowdownOf(aState, found->second, aKind);
}

}  // namespace

RequestRun BeginRequest(StandinState& aState, RunnerState& aRunner,
                        const RunnerRequest& aRequest, TimePoint aNow) {
  Invariants& invariants = aState.m_invariants;
  const RequestKind& kind = KindOf(aState, aRequest.m_kind);
  const std::string& vm = aRunner.m_id.Value();
  ++invariants.m_requestsRun;
  NoteWorkOnVm(invariants, vm, ListedLeavingSince(aState, vm), aNow);
  if (!kind.m_idempotent) {
    NoteNonIdempotentRun(invariants, aRequest.m_key, aRequest.m_marker);
  }
  RequestRun run;
  std::uniform_int_distribution<Duration::rep> between(
      kind.m_minRunTime.count(), kind.m_maxRunTime.count());
  double runTime = static_cast<double>(between(aState.m_random));
  run.m_usesSlot = !kind.m_standing;
  if (run.m_usesSlot) {
    runTime *= ColocatedSlowdown(aState, aRunner, aRequest.m_kind);
    if (aRunner.m_busy >= aRunner.m_slots) {
      ++invariants.m_slotOverCommitments;
      NoteViolation(
          invariants,
          fmt::format("{} runs {} requests but has only {} slots", vm,
                      aRunner.m_busy.Value() + 1, aRunner.m_slots.Value()));
    }
    aRunner.m_busy += Slots(1);
    ChangeSlotUse(invariants.m_slots, Slots(1), aNow);
  }
  run.m_runTime = Duration(static_cast<int64_t>(runTime));
  const Fault* const late =
      FindFault(aState.m_faults, FaultKind::RunnerLate, vm);
  if (late != nullptr && Occurs(aState, *late)) run.m_runTime += late->m_delay;
  return run;
}

void EndRequest(StandinState& aState, RunnerState& aRunner,
                const RequestRun& aRun, TimePoint aNow) {
  if (!aRun.m_usesSlot) return;
  aRunner.m_busy -= Slots(1);
  ChangeSlotUse(aState.m_invariants.m_slots, Slots(-1), aNow);
}

}  // namespace bronze
