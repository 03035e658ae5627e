/**
 * @file failed_runs_func.cpp Counts the failed runs of a task, each once.
 */

#include "core/sched/failed_runs_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** Runs of their own in a mask. */
constexpr uint64_t kMaskedRuns = 63;

bool Touches(const RunRange& aLeft, const RunRange& aRight) {
  return aLeft.m_last.Value() + 1 >= aRight.m_first.Value();
}

}  // namespace

bool AddFailedRun(FailedRuns& aRuns, RunNumber aRun) {
  if (aRun.Value() == 0) return false;
  auto& ranges = aRuns.m_ranges;
  auto at = std::find_if(
      ranges.begin(), ranges.end(),
      [aRun](const RunRange& aRange) { return aRun <= aRange.m_last; });
  if (at != ranges.end() && at->m_first <= aRun) return false;
  ++aRuns.m_count;
  at = ranges.insert(at, {aRun, aRun});
  if (at != ranges.begin() && Touches(*(at - 1), *at)) {
    (at - 1)->m_last = aRun;
    at = ranges.erase(at) - 1;
  }
  if (at + 1 != ranges.end() && Touches(*at, *(at + 1))) {
    at->m_last = (at + 1)->m_last;
    ranges.erase(at + 1);
  }
  if (ranges.size() > kMaxFailedRanges) {
    ranges[0].m_last = ranges[1].m_last;
    ranges.erase(ranges.begin() + 1);
  }
  return true;
}

void AddFailedRuns(FailedRuns& aRuns, const FailedRuns& aOther) {
  for (const RunRange& range : aOther.m_ranges) {
    for (RunNumber run = range.m_first; run <= range.m_last; run = run.Next()) {
      AddFailedRun(aRuns, run);
    }
  }
}

uint64_t MaskOfFailedRuns(const FailedRuns& aRuns) {
  uint64_t mask = 0;
  for (const RunRange& range : aRuns.m_ranges) {
    const uint64_t last = std::min(range.m_last.Value(), kMaskedRuns + 1);
    for (uint64_t run = range.m_first.Value(); run <= last; ++run) {
      mask |= uint64_t{1} << (run - 1);
    }
    if (range.m_last.Value() > kMaskedRuns) mask |= uint64_t{1} << kMaskedRuns;
  }
  return mask;
}

bool IsMaskExact(const FailedRuns& aRuns) {
  uint64_t runs = 0;
  for (const RunRange& range : aRuns.m_ranges) {
    runs += range.m_last.Value() - range.m_first.Value() + 1;
  }
  return runs == aRuns.m_count &&
         (aRuns.m_ranges.empty() ||
          aRuns.m_ranges.back().m_last.Value() <= kMaskedRuns);
}

FailedRuns FailedRunsOfMask(uint64_t aMask) {
  FailedRuns runs;
  for (uint64_t run = 1; run <= kMaskedRuns + 1; ++run) {
    if ((aMask >> (run - 1) & 1U) != 0) AddFailedRun(runs, RunNumber(run));
  }
  return runs;
}

}  // namespace bronze::sched
