/**
 * @file failed_runs_type.h The runs of a task that have ended as failed.
 */

#ifndef BRONZE_CORE_SCHED_FAILED_RUNS_TYPE_H_
#define BRONZE_CORE_SCHED_FAILED_RUNS_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/base/strong_type.h"

namespace bronze::sched {

using RunNumber = Sequence<struct RunNumberTag>;

/** Consecutive runs, both ends included. */
struct RunRange {
  RunNumber m_first;
  RunNumber m_last;

  friend bool operator==(const RunRange&, const RunRange&) = default;
};

/** Ranges that are kept; with fewer failures than this, none are joined. */
inline constexpr size_t kMaxFailedRanges = 12;

/**
 * Kept per run, since an end may be listed again to a later owner, and ends of
 * different runners arrive in any order. A run number says nothing of the
 * number of failures: it rises with each placement, also if the runner refuses.
 */
struct FailedRuns {
  /** Failed runs. Exact: each was in no range when it was counted. */
  uint32_t m_count = 0;
  /** Ascending, with a gap between two. They contain each counted run, so none
   *  counts twice. At most kMaxFailedRanges: the two lowest are joined beyond
   *  that. A run between these is older than kMaxFailedRanges later failures;
   * if its failure is read only then, it does not count. */
  std::vector<RunRange> m_ranges;

  friend bool operator==(const FailedRuns&, const FailedRuns&) = default;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_FAILED_RUNS_TYPE_H_
