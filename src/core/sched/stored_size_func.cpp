/**
 * @file stored_size_func.cpp Upper bounds of the sizes of stored rows.
 */

#include "core/sched/stored_size_func.h"

#include <algorithm>
#include <unordered_set>

#include "core/sched/failed_runs_func.h"

namespace bronze::sched {

namespace {

/** Format version, ids, counters and the heads of the lists of a row. */
constexpr size_t kRowFrame = 100;
constexpr size_t kNumberBytes = 9;
constexpr size_t kListHead = 5;

/** @return the bytes of an integer; small ones take fewer. */
size_t IntegerBytes(uint64_t aValue) {
  if (aValue < 24) return 1;
  if (aValue <= UINT8_MAX) return 2;
  if (aValue <= UINT16_MAX) return 3;
  if (aValue <= UINT32_MAX) return 5;
  return kNumberBytes;
}

size_t SignedBytes(int64_t aValue) {
  return aValue < 0 ? kNumberBytes
                    : IntegerBytes(static_cast<uint64_t>(aValue));
}

/** A mask, and an entry in the list of those whose mask does not tell all. */
size_t FailedRunsBytesBound(const FailedRuns& aRuns) {
  if (aRuns.m_count == 0) return 0;
  if (IsMaskExact(aRuns)) return IntegerBytes(MaskOfFailedRuns(aRuns));
  size_t bytes = kNumberBytes + 4 * kListHead;
  for (const RunRange& range : aRuns.m_ranges) {
    bytes += IntegerBytes(range.m_first.Value()) +
             IntegerBytes(range.m_last.Value());
  }
  return bytes;
}

size_t TasksBytesBound(const std::vector<StoredTask>& aTasks) {
  size_t bytes = 2 * kListHead;
  // The id of each runner is stored once.
  std::unordered_set<std::string_view> runners;
  for (const StoredTask& task : aTasks) {
    bytes += StoredBytesBound(task);
    const std::string& runner = task.m_runner.Value();
    if (task.m_state == StoredTask::State::Placed &&
        runners.insert(runner).second) {
      bytes += TextBytesBound(runner);
    }
  }
  return bytes;
}

size_t StepBytesBound(const StepSpec& aStep) {
  size_t bytes =
      3 * kListHead + IntegerBytes(aStep.m_count) +
      SignedBytes(aStep.m_need.m_cores.Value()) +
      SignedBytes(aStep.m_need.m_memory.Value()) +
      SignedBytes(aStep.m_need.m_accelerators.Value()) +
      SignedBytes(aStep.m_estimate.count()) +
      IntegerBytes(aStep.m_antiAffinity) + IntegerBytes(aStep.m_mayMiss) +
      SignedBytes(aStep.m_tailTarget.count()) +
      TextBytesBound(aStep.m_requiredLabel) +
      TextBytesBound(aStep.m_affinityRack) + TextBytesBound(aStep.m_image);
  for (const uint32_t earlier : aStep.m_after) bytes += IntegerBytes(earlier);
  return bytes;
}

}  // namespace

size_t TextBytesBound(std::string_view aText) {
  return aText.size() + kListHead;
}

size_t StoredBytesBound(const StoredTask& aTask) {
  // The run number shares an integer with three bits of state.
  constexpr uint64_t kStateValues = 8;
  size_t bytes =
      aTask.m_run.Value() < UINT32_MAX / kStateValues
          ? IntegerBytes(aTask.m_run.Value() * kStateValues + kStateValues - 1)
          : kNumberBytes;
  bytes += FailedRunsBytesBound(aTask.m_failedRuns);
  if (aTask.m_state == StoredTask::State::Placed) {
    bytes += kListHead;  // Position of its runner in a list.
  }
  if (!aTask.m_checkpoint.empty()) {
    bytes += TextBytesBound(aTask.m_checkpoint);
  }
  return bytes;
}

size_t StoredBytesBound(const StoredState& aState) {
  size_t bytes = kRowFrame;
  for (const StoredOccurrence& occurrence : aState.m_occurrences) {
    bytes += kListHead + IntegerBytes(occurrence.m_number) +
             TasksBytesBound(occurrence.m_tasks);
  }
  return bytes;
}

size_t StoredBytesBound(const StoredTaskBlock& aBlock) {
  return kRowFrame + TasksBytesBound(aBlock.m_tasks);
}

size_t StoredBytesBound(const JobSpec& aSpec) {
  size_t bytes = 2 * kRowFrame + TextBytesBound(aSpec.m_queue.Value()) +
                 TextBytesBound(aSpec.m_policy.m_service.Value()) +
                 TextBytesBound(aSpec.m_payload);
  for (const StepSpec& step : aSpec.m_steps) bytes += StepBytesBound(step);
  return bytes;
}

size_t StoredBytesBound(const StoredInterference& aInterference) {
  size_t bytes = kRowFrame;
  for (const auto& lowest : aInterference.m_lowestTails) {
    bytes += kListHead + TextBytesBound(lowest.m_image) + kNumberBytes;
  }
  for (const auto& pair : aInterference.m_pairs) {
    bytes += kListHead + TextBytesBound(pair.m_bestEffortImage) +
             TextBytesBound(pair.m_latencyCriticalImage) + 2 * kNumberBytes;
  }
  return bytes;
}

size_t MemoryBytes(const JobSpec& aSpec) {
  size_t bytes = sizeof(JobSpec) + aSpec.m_payload.capacity() +
                 aSpec.m_steps.capacity() * sizeof(StepSpec);
  for (const StepSpec& step : aSpec.m_steps) {
    bytes += step.m_after.capacity() * sizeof(uint32_t) +
             step.m_requiredLabel.capacity() + step.m_affinityRack.capacity() +
             step.m_image.capacity();
  }
  return bytes;
}

uint32_t TasksPerBlock(size_t aRowBytes) {
  const size_t room = aRowBytes > kRowFrame ? aRowBytes - kRowFrame : 0;
  return static_cast<uint32_t>(std::max<size_t>(1, room / kMaxStoredTaskBytes));
}

}  // namespace bronze::sched
