/**
 * @file invariant_func.cpp Records events and detects violated invariants.
 */

#include "standin/invariant_func.h"

#include <fmt/format.h>

#include <algorithm>

namespace bronze {

namespace {

constexpr size_t kMaxViolations = 100;
/** One sample per second of the load generator's longest run, ten minutes. */
constexpr size_t kMaxSamples = 600;

std::string TaskText(const TaskId& aTask) {
  return fmt::format("{:016x}/{}", aTask.m_job.Value(), aTask.m_index);
}

void Integrate(SlotUse& aUse, TimePoint aNow) {
  const std::chrono::duration<double> elapsed = aNow - aUse.m_integratedUntil;
  aUse.m_integral += elapsed.count() * static_cast<double>(aUse.m_used.Value());
  aUse.m_integratedUntil = aNow;
}

}  // namespace

void CountEvent(RatePeak& aRate, TimePoint aNow) {
  const int64_t second =
      std::chrono::floor<seconds>(aNow.time_since_epoch()).count();
  if (second != aRate.m_second) {
    aRate.m_second = second;
    aRate.m_count = 0;
  }
  ++aRate.m_total;
  aRate.m_peak = std::max(aRate.m_peak, ++aRate.m_count);
}

void NoteViolation(Invariants& aInvariants, std::string aText) {
  if (aInvariants.m_violations.size() >= kMaxViolations) return;
  aInvariants.m_violations.push_back(std::move(aText));
}

void NoteTaskStart(Invariants& aInvariants, const TaskId& aTask,
                   const WorkerId& aWorker, FencingToken aToken,
                   bool aFromCheckpoint) {
  TaskHistory& history = aInvariants.m_tasks[aTask];
  ++aInvariants.m_tasksStarted;
  if (aFromCheckpoint) ++aInvariants.m_tasksResumed;
  const bool elsewhere =
      std::any_of(history.m_runningOn.begin(), history.m_runningOn.end(),
                  [&](const WorkerId& aPlace) { return aPlace != aWorker; });
  if (elsewhere || aToken < history.m_highestToken) {
    ++aInvariants.m_taskInTwoPlaces;
    NoteViolation(
        aInvariants,
        fmt::format("task {} started on {} with token {}: {}", TaskText(aTask),
                    aWorker.Value(), aToken.Value(),
                    elsewhere ? "it runs on another worker"
                              : "a higher token was accepted before"));
  }
  if (history.m_starts > history.m_lostRuns) {
    ++aInvariants.m_resumedTwice;
    NoteViolation(
        aInvariants,
        fmt::format("task {} started {} times, but only {} runs were lost",
                    TaskText(aTask), history.m_starts + 1, history.m_lostRuns));
  }
  ++history.m_starts;
  history.m_highestToken = std::max(history.m_highestToken, aToken);
  history.m_runningOn.insert(aWorker);
}

void NoteTaskEnd(Invariants& aInvariants, const TaskId& aTask,
                 const WorkerId& aWorker, bool aFinished) {
  TaskHistory& history = aInvariants.m_tasks[aTask];
  history.m_runningOn.erase(aWorker);
  if (aFinished) {
    ++aInvariants.m_tasksFinished;
  } else {
    ++history.m_lostRuns;
  }
}

void NoteResultLost(Invariants& aInvariants, const TaskId& aTask) {
  ++aInvariants.m_tasks[aTask].m_lostRuns;
}

void NoteOverCapacity(Invariants& aInvariants, const TaskId& aTask,
                      const WorkerId& aWorker) {
  ++aInvariants.m_overCapacity;
  NoteViolation(aInvariants, fmt::format("task {} needs more than {} has free",
                                         TaskText(aTask), aWorker.Value()));
}

void NoteNonIdempotentRun(Invariants& aInvariants, const std::string& aKey,
                          const std::string& aMarker) {
  const bool keyRepeated =
      !aKey.empty() && !aInvariants.m_keys.insert(aKey).second;
  const bool markerRepeated =
      !aMarker.empty() && !aInvariants.m_markers.insert(aMarker).second;
  if (!keyRepeated && !markerRepeated) return;
  ++aInvariants.m_nonIdempotentTwice;
  NoteViolation(
      aInvariants,
      fmt::format(
          "non-idempotent request with key \"{}\" and marker \"{}\" ran "
          "again",
          aKey, aMarker));
}

void NoteWorkOnVm(Invariants& aInvariants, const std::string& aVm,
                  std::optional<TimePoint> aLeavingSince, TimePoint aNow) {
  if (!aLeavingSince || aNow <= *aLeavingSince + kLeavingGrace) return;
  ++aInvariants.m_workAfterLeaving;
  NoteViolation(
      aInvariants,
      fmt::format("{} received work after it was listed as leaving", aVm));
}

void ChangeSlotUse(SlotUse& aUse, Slots aBy, TimePoint aNow) {
  Integrate(aUse, aNow);
  aUse.m_used += aBy;
  aUse.m_peak = std::max(aUse.m_peak, aUse.m_used);
}

void SampleSlotUse(SlotUse& aUse, TimePoint aNow) {
  const std::chrono::duration<double> length = aNow - aUse.m_sampleStart;
  if (length < seconds(1)) return;
  Integrate(aUse, aNow);
  const double whole =
      length.count() * static_cast<double>(aUse.m_total.Value());
  aUse.m_shareSeries.push_back(whole > 0.0 ? aUse.m_integral / whole : 0.0);
  if (aUse.m_shareSeries.size() > kMaxSamples) aUse.m_shareSeries.pop_front();
  aUse.m_integral = 0.0;
  aUse.m_sampleStart = aNow;
}

}  // namespace bronze
