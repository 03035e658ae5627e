/**
 * @file runner_func.cpp Slots, health and concurrency limit of a runner.
 */

#include "core/request/runner_func.h"

#include <algorithm>

namespace bronze {

namespace {

constexpr int kExcludeAfterFailures = 3;
constexpr Duration kExclusionTime = seconds(1);

/** Factor over the slowdown floor; well above the noise of the mean. */
constexpr double kSlowdownThreshold = 2.0;
constexpr double kSlowdownWeight = 0.05;
/** A rise closes half of the gap to the mean in about 7,000 requests. */
constexpr double kSlowdownFloorRiseWeight = 1e-4;
constexpr double kLimitDecreaseFactor = 0.9;

Slots& RunningOf(RunningCount& aRunning, bool aLong) {
  return aLong ? aRunning.m_long : aRunning.m_short;
}

void FreeSlot(RequestState& aState, RunnerIndex aIndex, bool aLong) {
  RunnerState& runner = aState.m_runners.m_rows[aIndex];
  runner.m_busy -= Slots(1);
  RunningOf(aState.m_running, aLong) -= Slots(1);
  AddToFreeList(aState.m_runners, aIndex);
}

}  // namespace

RunnerState* FindRunner(RunnerPool& aPool, const RunnerId& aRunner) {
  const auto found = aPool.m_index.find(aRunner);
  return found == aPool.m_index.end() ? nullptr : &aPool.m_rows[found->second];
}

Slots UsableSlots(const RunnerState& aRunner) {
  if (aRunner.m_limit.m_limit < 1.0) return aRunner.m_granted;
  return std::min(aRunner.m_granted,
                  Slots(static_cast<int64_t>(aRunner.m_limit.m_limit)));
}

bool IsProbed(const RunnerState& aRunner) {
  return aRunner.m_failuresInRow >= kExcludeAfterFailures;
}

bool HasFreeSlot(const RunnerState& aRunner, TimePoint aNow) {
  if (aRunner.m_leaving || aRunner.m_excludedUntil > aNow) return false;
  if (aRunner.m_validUntil <= aNow) return false;
  if (IsProbed(aRunner)) {
    return aRunner.m_busy == Slots(0) && aRunner.m_granted > Slots(0);
  }
  return aRunner.m_busy < UsableSlots(aRunner);
}

void AddToFreeList(RunnerPool& aPool, RunnerIndex aIndex) {
  RunnerState& runner = aPool.m_rows[aIndex];
  if (runner.m_freeListIndex != kNotInFreeList ||
      runner.m_granted <= runner.m_busy)
    return;
  runner.m_freeListIndex = static_cast<uint32_t>(aPool.m_freeList.size());
  aPool.m_freeList.push_back(aIndex);
}

void RemoveFromFreeList(RunnerPool& aPool, RunnerIndex aIndex) {
  RunnerState& runner = aPool.m_rows[aIndex];
  if (runner.m_freeListIndex == kNotInFreeList) return;
  const RunnerIndex last = aPool.m_freeList.back();
  aPool.m_freeList[runner.m_freeListIndex] = last;
  aPool.m_rows[last].m_freeListIndex = runner.m_freeListIndex;
  aPool.m_freeList.pop_back();
  runner.m_freeListIndex = kNotInFreeList;
}

void SetGranted(RequestState& aState, RunnerIndex aIndex, Slots aSlots,
                TimePoint aValidUntil) {
  RunnerState& runner = aState.m_runners.m_rows[aIndex];
  aState.m_slots.m_grantedTotal += aSlots - runner.m_granted;
  runner.m_granted = aSlots;
  runner.m_validUntil = aValidUntil;
  if (aSlots > runner.m_busy) {
    AddToFreeList(aState.m_runners, aIndex);
  } else {
    RemoveFromFreeList(aState.m_runners, aIndex);
  }
}

void TakeSlot(RequestState& aState, const Attempt& aAttempt) {
  RunnerState& runner = aState.m_runners.m_rows[aAttempt.m_runner];
  if (aAttempt.m_class == KindClass::Standing) {
    ++runner.m_standing;
    return;
  }
  runner.m_busy += Slots(1);
  RunningOf(aState.m_running, aAttempt.m_class == KindClass::Long) += Slots(1);
  if (runner.m_busy >= runner.m_granted) {
    RemoveFromFreeList(aState.m_runners, aAttempt.m_runner);
  }
}

void EndSlot(RequestState& aState, const Attempt& aAttempt, bool aClosed,
             TimePoint aNow) {
  if (aAttempt.m_class == KindClass::Standing) {
    --aState.m_runners.m_rows[aAttempt.m_runner].m_standing;
    return;
  }
  const bool isLong = aAttempt.m_class == KindClass::Long;
  const TimePoint until = aAttempt.m_dispatched + aState.m_settings.m_maxWindow;
  if (aClosed && until > aNow) {
    aState.m_runners.m_closedSlots.emplace(
        until, ClosedSlot{aAttempt.m_runner, isLong});
  } else {
    FreeSlot(aState, aAttempt.m_runner, isLong);
  }
}

void AdvanceRunners(RequestState& aState, TimePoint aNow) {
  auto& closed = aState.m_runners.m_closedSlots;
  while (!closed.empty() && closed.begin()->first <= aNow) {
    const ClosedSlot slot = closed.begin()->second;
    closed.erase(closed.begin());
    FreeSlot(aState, slot.m_runner, slot.m_long);
  }
  auto& excluded = aState.m_runners.m_excluded;
  while (!excluded.empty() && excluded.begin()->first <= aNow) {
    AddToFreeList(aState.m_runners, excluded.begin()->second);
    excluded.erase(excluded.begin());
  }
}

void NoteRunnerHealth(RequestState& aState, const Attempt& aAttempt,
                      AttemptEnd aEnd, TimePoint aNow) {
  RunnerState& runner = aState.m_runners.m_rows[aAttempt.m_runner];
  if (aEnd == AttemptEnd::Answered) {
    runner.m_failuresInRow = 0;
    runner.m_lastSuccess = aNow;
    return;
  }
  // The runner answered other requests meanwhile, so the request itself is
  // slower than its window.
  if (aEnd == AttemptEnd::DeadlineReached &&
      runner.m_lastSuccess >= aAttempt.m_dispatched) {
    return;
  }
  if (++runner.m_failuresInRow < kExcludeAfterFailures) return;
  runner.m_excludedUntil = aNow + kExclusionTime;
  aState.m_runners.m_excluded.emplace(runner.m_excludedUntil,
                                      aAttempt.m_runner);
  RemoveFromFreeList(aState.m_runners, aAttempt.m_runner);
}

void NoteRunnerLatency(RequestState& aState, const Attempt& aAttempt,
                       Duration aRunTime, TimePoint aNow) {
  if (!aState.m_settings.m_adaptiveConcurrency) return;
  if (aAttempt.m_class != KindClass::Short) return;
  const auto kind = aState.m_kinds.find(aAttempt.m_kind);
  if (kind == aState.m_kinds.end() || kind->second.m_floorRun <= 0.0) return;
  RunnerState& runner = aState.m_runners.m_rows[aAttempt.m_runner];
  ConcurrencyLimit& limit = runner.m_limit;
  const double slots = static_cast<double>(runner.m_capacity.Value());
  if (limit.m_limit < 1.0) limit.m_limit = slots;
  const double slowdown =
      static_cast<double>(aRunTime.count()) / kind->second.m_floorRun;
  limit.m_slowdown += kSlowdownWeight * (slowdown - limit.m_slowdown);
  const bool rises = limit.m_slowdown > limit.m_slowdownFloor;
  limit.m_slowdownFloor +=
      (rises ? kSlowdownFloorRiseWeight : kSlowdownWeight) *
      (limit.m_slowdown - limit.m_slowdownFloor);
  if (limit.m_slowdown <= kSlowdownThreshold * limit.m_slowdownFloor) {
    limit.m_limit = std::min(slots, limit.m_limit + 1.0 / limit.m_limit);
    AddToFreeList(aState.m_runners, aAttempt.m_runner);
  } else if (aNow >= limit.m_nextDecrease) {
    limit.m_limit = std::max(1.0, limit.m_limit * kLimitDecreaseFactor);
    limit.m_nextDecrease = aNow + aRunTime;
  }
}

}  // namespace bronze
